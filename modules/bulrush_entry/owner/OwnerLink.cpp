#include "bulrush_entry/owner/OwnerLink.h"

#include "bulrush_core/errors/Error.h"
#include "bulrush_steps/dispatch/Dispatcher.h"
#include "bulrush_wire/frames/OwnerFrames.h"

namespace bulrush {

namespace {

/** A question that the owner has not answered by then is given up. */
constexpr milliseconds questionTimeout { 500 };

/** Between two searches for the owner when there was none. */
constexpr milliseconds findDelay { 150 };

constexpr milliseconds findTimeout { 400 };

std::optional<Endpoint> endpointOf(std::string_view member)
{
    return Endpoint::parse(member.substr(0, member.find('#')));
}

} // namespace

OwnerLink::OwnerLink(EventLoop &eventLoop, const Clock &systemClock, MemberGroup &memberGroup,
                     const Dispatcher &localDispatcher, const Endpoint &inner)
    : loop(eventLoop)
    , clock(systemClock)
    , group(memberGroup)
    , dispatcher(localDispatcher)
    , transport(eventLoop, inner, FrameTransport::Limits(), *this)
{
}

std::string OwnerLink::memberName(const Endpoint &inner, std::uint64_t life)
{
    return inner.text() + "#" + std::to_string(life);
}

void OwnerLink::askState(const JobId &job, Callback callback)
{
    this->ask(Kind::State, job.name(), std::move(callback));
}

void OwnerLink::askWaiting(const std::string &queue, Callback callback)
{
    this->ask(Kind::Waiting, queue, std::move(callback));
}

void OwnerLink::ask(Kind kind, std::string text, Callback callback)
{
    if (this->dispatcher.active()) {
        const OwnerAnswer answer = this->answerHere(kind, text);
        this->loop.schedule(Duration::zero(),
                            [answer, callback = std::move(callback)] { callback(answer); });
        return;
    }
    Question question;
    question.kind = kind;
    question.text = std::move(text);
    question.giveUpAt = this->clock.now() + questionTimeout;
    question.callback = std::move(callback);
    this->questions.emplace(this->nextNumber++, std::move(question));
    this->sendWaiting();
}

OwnerAnswer OwnerLink::answerHere(Kind kind, const std::string &text) const
{
    OwnerAnswer answer;
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

void OwnerLink::sendWaiting()
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
    if (this->finding || this->clock.now() < this->findAgainAt) {
        return;
    }
    this->finding = true;
    this->group.findHolder(findTimeout, [this](const PartitionHolder &found) {
        this->finding = false;
        this->findAgainAt = this->clock.now() + findDelay;
        this->holderFound(found);
    });
}

void OwnerLink::holderFound(const PartitionHolder &found)
{
    if (found.outcome != StoreOutcome::Done) {
        return;
    }
    this->holder = endpointOf(found.member);
    if (this->holder) {
        this->sendWaiting();
    }
}

void OwnerLink::forgetHolder()
{
    this->holder.reset();
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
    bool silent = false;
    for (const auto &[number, question] : this->questions) {
        if (now >= question.giveUpAt) {
            overdue.push_back(number);
            silent = silent || question.sent || (this->link != 0 && !this->linkOpen);
        }
    }
    if (silent) {
        this->forgetHolder();
    }
    for (const std::uint64_t number : overdue) {
        this->finish(number, OwnerAnswer());
    }
    if (!this->questions.empty()) {
        this->sendWaiting();
    }
}

void OwnerLink::finish(std::uint64_t number, const OwnerAnswer &answer)
{
    const auto found = this->questions.find(number);
    if (found == this->questions.end()) {
        return;
    }
    const Callback callback = std::move(found->second.callback);
    this->questions.erase(found);
    callback(answer);
}

void OwnerLink::linkOpened(LinkId opened, bool accepted)
{
    if (!accepted && opened == this->link) {
        this->linkOpen = true;
        this->sendWaiting();
    }
}

void OwnerLink::linkClosed(LinkId closed, std::string_view /*reason*/)
{
    if (closed == this->link) {
        this->link = 0;
        this->forgetHolder();
    }
}

void OwnerLink::frameArrived(LinkId from, std::span<const std::uint8_t> bytes)
{
    try {
        const wire::OwnerFrame &frame = wire::readOwnerFrame(bytes, "entry VM");
        if (const wire::OwnerQuestion *question = frame.message_as_OwnerQuestion()) {
            wire::OwnerAnswerT reply;
            reply.number = question->number();
            reply.reply = wire::OwnerReply::NotOwner;
            if (this->dispatcher.active() && question->text() != nullptr) {
                const Kind kind = question->kind() == wire::OwnerQuestionKind::JobState
                        ? Kind::State
                        : Kind::Waiting;
                const OwnerAnswer answer = this->answerHere(kind, question->text()->str());
                reply.reply = answer.kind == OwnerAnswer::Kind::Known ? wire::OwnerReply::Known
                                                                      : wire::OwnerReply::NotKnown;
                reply.state = static_cast<std::uint8_t>(answer.state);
                reply.waiting = answer.waiting;
            }
            this->transport.send(from, wire::encodeOwnerFrame(reply));
            return;
        }
        const wire::OwnerAnswer *reply = frame.message_as_OwnerAnswer();
        if (reply->reply() == wire::OwnerReply::NotOwner) {
            this->forgetHolder();
            this->sendWaiting();
            return;
        }
        OwnerAnswer answer;
        answer.kind = reply->reply() == wire::OwnerReply::Known ? OwnerAnswer::Kind::Known
                                                                : OwnerAnswer::Kind::NotKnown;
        answer.state = static_cast<JobState>(std::min<std::uint8_t>(
                reply->state(), static_cast<std::uint8_t>(JobState::Cancelled)));
        answer.waiting = reply->waiting();
        this->finish(reply->number(), answer);
    } catch (const Error &) {
        // A peer that does not speak our frames: nothing it sends can be trusted.
        this->transport.close(from);
        if (from == this->link) {
            this->link = 0;
            this->forgetHolder();
        }
    }
}

} // namespace bulrush
