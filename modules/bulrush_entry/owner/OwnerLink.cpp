#include "bulrush_entry/owner/OwnerLink.h"

#include "bulrush_core/errors/Error.h"
#include "bulrush_entry/owner/MemberName.h"
#include "bulrush_steps/dispatch/Dispatcher.h"
#include "bulrush_wire/frames/OwnerFrames.h"

namespace bulrush {

namespace {

/** Time after which a question that the owner has not answered fails. */
constexpr milliseconds questionTimeout { 500 };

/** Minimum delay between the end of a search for the owner, such as one that found none, and the
    next search. */
constexpr milliseconds searchInterval { 150 };

constexpr milliseconds searchTimeout { 400 };

} // namespace

OwnerLink::OwnerLink(EventLoop &eventLoop, const Clock &systemClock, MemberGroup &memberGroup,
                     const Dispatcher &localDispatcher, const MemberName &ownName,
                     Listener &linkListener)
    : loop(eventLoop)
    , clock(systemClock)
    , group(memberGroup)
    , dispatcher(localDispatcher)
    , listener(linkListener)
    , transport(eventLoop, ownName.endpoint, FrameTransport::Limits(), *this)
    , inquiry(systemClock, this->transport, ownName, linkListener)
    , relay(systemClock, this->transport)
    , relayed(systemClock, this->transport)
{
}

void OwnerLink::askState(const JobId &job, OwnerQuestions::Callback callback)
{
    this->ask(Kind::State, job.name(), std::move(callback));
}

void OwnerLink::askWaitingCount(const std::string &queue, OwnerQuestions::Callback callback)
{
    this->ask(Kind::Waiting, queue, std::move(callback));
}

void OwnerLink::ask(Kind kind, std::string text, OwnerQuestions::Callback callback)
{
    if (this->dispatcher.active()) {
        const OwnerAnswer answer = this->answerLocally(kind, text);
        this->loop.schedule(Duration::zero(),
                            [answer, callback = std::move(callback)] { callback(answer); });
        return;
    }
    Question question;
    question.kind = kind;
    question.text = std::move(text);
    question.deadline = this->clock.now() + questionTimeout;
    question.callback = std::move(callback);
    this->questions.emplace(this->nextNumber++, std::move(question));
    this->sendPendingQuestions();
}

OwnerAnswer OwnerLink::answerLocally(Kind kind, const std::string &text) const
{
    OwnerAnswer answer;
    answer.jobMemory = this->dispatcher.jobMemory();
    if (kind == Kind::Waiting) {
        answer.kind = OwnerAnswer::Kind::Known;
        answer.waiting = this->dispatcher.waitingJobs(text);
        return answer;
    }
    const std::optional<JobState> state = this->dispatcher.stateOf(JobId(text));
    answer.kind = state ? OwnerAnswer::Kind::Known : OwnerAnswer::Kind::NotKnown;
    answer.state = state.value_or(JobState::Queued);
    return answer;
}

void OwnerLink::sendPendingQuestions()
{
    if (!this->holder) {
        this->findHolder();
        return;
    }
    if (this->link == 0) {
        this->linkOpen = false;
        this->link = this->transport.connect(*this->holder);
        return;
    }
    if (!this->linkOpen) {
        return;
    }
    for (auto &[number, question] : this->questions) {
        if (question.sent) {
            continue;
        }
        wire::OwnerQuestionT message;
        message.number = number;
        message.kind = question.kind == Kind::State ? wire::OwnerQuestionKind::JobState
                                                    : wire::OwnerQuestionKind::WaitingJobs;
        message.text = question.text;
        question.sent = this->transport.send(this->link, wire::encodeOwnerFrame(message));
    }
}

void OwnerLink::findHolder()
{
    if (this->searching || this->clock.now() < this->nextSearchAt) {
        return;
    }
    this->searching = true;
    this->group.findHolder(searchTimeout, [this](const PartitionHolder &found) {
        this->searching = false;
        this->nextSearchAt = this->clock.now() + searchInterval;
        this->holderFound(found);
    });
}

void OwnerLink::holderFound(const PartitionHolder &found)
{
    if (found.outcome != StoreOutcome::Done) {
        return;
    }
    const std::optional<MemberName> name = MemberName::parse(found.member);
    if (name) {
        this->holder = name->endpoint;
        this->sendPendingQuestions();
    }
}

bool OwnerLink::takesRecords()
{
    if (this->dispatcher.active()) {
        return false;
    }
    if (!this->linkOpen) {
        this->sendPendingQuestions();
    }
    return this->relay.takesRecords();
}

void OwnerLink::announceSlowStore()
{
    if (this->dispatcher.active()) {
        this->relayed.announceSlowStore();
    }
}

void OwnerLink::resetHolder()
{
    this->holder.reset();
    this->relay.linkLost();
    if (this->link != 0) {
        this->transport.close(this->link);
    }
    this->link = 0;
    this->linkOpen = false;
    for (auto &[number, question] : this->questions) {
        question.sent = false;
    }
}

void OwnerLink::tick()
{
    const Instant now = this->clock.now();
    std::vector<std::uint64_t> overdue;
    bool unresponsive = false;
    for (const auto &[number, question] : this->questions) {
        if (now >= question.deadline) {
            overdue.push_back(number);
            unresponsive = unresponsive || question.sent || (this->link != 0 && !this->linkOpen);
        }
    }
    if (unresponsive) {
        this->resetHolder();
    }
    for (const std::uint64_t number : overdue) {
        this->complete(number, OwnerAnswer());
    }
    this->relay.tick();
    if (!this->questions.empty()) {
        this->sendPendingQuestions();
    }
}

void OwnerLink::complete(std::uint64_t number, const OwnerAnswer &answer)
{
    const auto found = this->questions.find(number);
    if (found == this->questions.end()) {
        return;
    }
    const OwnerQuestions::Callback callback = std::move(found->second.callback);
    this->questions.erase(found);
    callback(answer);
}

void OwnerLink::linkOpened(LinkId opened, bool accepted)
{
    if (this->inquiry.owns(opened)) {
        this->inquiry.linkOpened(opened);
        return;
    }
    if (accepted) {
        this->relayed.linkOpened(opened);
    } else if (opened == this->link && this->holder) {
        this->linkOpen = true;
        this->relay.linkOpened(opened, *this->holder);
        this->sendPendingQuestions();
    }
}

void OwnerLink::linkClosed(LinkId closed, std::string_view /*reason*/)
{
    if (this->inquiry.owns(closed)) {
        this->inquiry.linkClosed(closed);
        return;
    }
    this->relayed.linkClosed(closed);
    if (closed == this->link) {
        this->link = 0;
        this->resetHolder();
    }
}

void OwnerLink::frameArrived(LinkId from, std::span<const std::uint8_t> bytes)
{
    try {
        this->handleFrame(from, wire::readOwnerFrame(bytes, "entry VM"));
    } catch (const Error &) {
        // The peer sent a malformed frame, so nothing else that it sends can be trusted.
        this->transport.close(from);
        this->relayed.linkClosed(from);
        if (this->inquiry.owns(from)) {
            this->inquiry.linkClosed(from);
        } else if (from == this->link) {
            this->link = 0;
            this->resetHolder();
        }
    }
}

void OwnerLink::handleFrame(LinkId from, const wire::OwnerFrame &frame)
{
    // A message of a later version is of none of these types.
    if (const wire::OwnerQuestion *question = frame.message_as_OwnerQuestion()) {
        this->answerQuestion(from, *question);
        return;
    }
    if (const wire::RelayedRecord *record = frame.message_as_RelayedRecord()) {
        this->relayed.arrived(from, *record, this->dispatcher.active());
        return;
    }
    if (const wire::RelayAnswer *answer = frame.message_as_RelayAnswer()) {
        this->handleRelayAnswer(from, *answer);
        return;
    }
    const wire::OwnerAnswer *reply = frame.message_as_OwnerAnswer();
    if (reply != nullptr && this->inquiry.owns(from)) {
        this->inquiry.answered(from, *reply);
    } else if (reply != nullptr) {
        this->handleAnswer(*reply);
    }
}

void OwnerLink::answerQuestion(LinkId from, const wire::OwnerQuestion &question)
{
    wire::OwnerAnswerT reply;
    reply.reply = wire::OwnerReply::NotOwner;
    if (question.text() != nullptr) {
        reply = this->replyTo(question);
    }
    reply.number = question.number();
    this->transport.send(from, wire::encodeOwnerFrame(reply));
}

wire::OwnerAnswerT OwnerLink::replyTo(const wire::OwnerQuestion &question)
{
    wire::OwnerAnswerT reply;
    reply.reply = wire::OwnerReply::NotOwner;
    const std::string text = question.text()->str();
    if (question.kind() == wire::OwnerQuestionKind::FormerOwner) {
        reply.ended =
                this->listener.stopCommandsOf(text, question.asked_token(), question.asker_token());
        return reply;
    }
    if (!this->dispatcher.active()) {
        return reply;
    }
    const Kind kind =
            question.kind() == wire::OwnerQuestionKind::JobState ? Kind::State : Kind::Waiting;
    const OwnerAnswer answer = this->answerLocally(kind, text);
    reply.reply = answer.kind == OwnerAnswer::Kind::Known ? wire::OwnerReply::Known
                                                          : wire::OwnerReply::NotKnown;
    reply.state = static_cast<std::uint8_t>(answer.state);
    reply.waiting = answer.waiting;
    reply.job_bytes = answer.jobMemory;
    return reply;
}

void OwnerLink::handleRelayAnswer(LinkId from, const wire::RelayAnswer &answer)
{
    if (from != this->link) {
        return;
    }
    if (answer.outcome() == wire::RelayOutcome::StoreSlow) {
        if (this->slowStore) {
            this->slowStore();
        }
        return;
    }
    // A node that is no owner has not appended the record.
    this->relay.answered(answer);
    if (answer.outcome() == wire::RelayOutcome::NotOwner) {
        this->resetHolder();
    }
}

void OwnerLink::handleAnswer(const wire::OwnerAnswer &reply)
{
    if (reply.reply() == wire::OwnerReply::NotOwner) {
        this->resetHolder();
        this->sendPendingQuestions();
        return;
    }
    OwnerAnswer answer;
    answer.kind = reply.reply() == wire::OwnerReply::Known ? OwnerAnswer::Kind::Known
                                                           : OwnerAnswer::Kind::NotKnown;
    answer.state = static_cast<JobState>(
            std::min<std::uint8_t>(reply.state(), static_cast<std::uint8_t>(JobState::Cancelled)));
    answer.waiting = reply.waiting();
    answer.jobMemory = reply.job_bytes();
    this->complete(reply.number(), answer);
}

} // namespace bulrush
