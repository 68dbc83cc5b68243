#include "bulrush_entry/owner/FormerOwnerInquiry.h"

#include "bulrush_core/time/Clock.h"

#include <algorithm>
#include <utility>

namespace bulrush {

namespace {

/** Time after which an attempt without an answer is given up. */
constexpr milliseconds attemptTimeout { 500 };

/** Delay before the next attempt after one without a helpful answer. */
constexpr milliseconds retryDelay { 200 };

} // namespace

FormerOwnerInquiry::FormerOwnerInquiry(const Clock &systemClock, FrameLinks &frameLinks,
                                       MemberName ownName, Listener &inquiryListener)
    : clock(systemClock)
    , links(frameLinks)
    , name(std::move(ownName))
    , listener(inquiryListener)
{
}

void FormerOwnerInquiry::update(std::span<const OwnerRecord> owners, std::uint64_t ownToken)
{
    this->ownFencingToken = ownToken;
    this->closeOthers(owners);
    for (const OwnerRecord &owner : owners) {
        const std::optional<MemberName> former = MemberName::parse(owner.member);
        if (!former) {
            continue;
        }
        if (owner.member == this->name.text() || this->name.provesEndOf(*former)) {
            // An earlier ownership of this process, or an earlier process of this node.
            this->listener.formerOwnerStopped(owner.fencingToken);
            continue;
        }
        Exchange &exchange = this->exchanges[owner.fencingToken];
        exchange.owner = owner;
        exchange.peer = former->endpoint;
        this->advance(exchange);
    }
}

void FormerOwnerInquiry::closeOthers(std::span<const OwnerRecord> owners)
{
    std::erase_if(this->exchanges, [this, owners](const auto &entry) {
        const bool wanted =
                std::any_of(owners.begin(), owners.end(), [&entry](const OwnerRecord &owner) {
                    return owner.fencingToken == entry.first;
                });
        if (!wanted && entry.second.link != 0) {
            this->links.close(entry.second.link);
        }
        return !wanted;
    });
}

void FormerOwnerInquiry::advance(Exchange &exchange)
{
    const Instant now = this->clock.now();
    if (now < exchange.nextStepAt) {
        return;
    }
    if (exchange.link != 0) {
        this->links.close(exchange.link);
        exchange.link = 0;
        exchange.nextStepAt = now + retryDelay;
        return;
    }
    exchange.nextStepAt = now + attemptTimeout;
    exchange.link = this->links.connect(exchange.peer);
}

bool FormerOwnerInquiry::owns(LinkId link) const
{
    return this->askedTokenOf(link) != 0;
}

std::uint64_t FormerOwnerInquiry::askedTokenOf(LinkId link) const
{
    for (const auto &[asked, exchange] : this->exchanges) {
        if (exchange.link == link) {
            return asked;
        }
    }
    return 0;
}

void FormerOwnerInquiry::linkOpened(LinkId link)
{
    const Exchange &exchange = this->exchanges.at(this->askedTokenOf(link));
    wire::OwnerQuestionT question;
    question.number = exchange.owner.fencingToken;
    question.kind = wire::OwnerQuestionKind::FormerOwner;
    question.text = exchange.owner.member;
    question.asked_token = exchange.owner.fencingToken;
    question.asker_token = this->ownFencingToken;
    this->links.send(link, wire::encodeOwnerFrame(question));
}

void FormerOwnerInquiry::linkClosed(LinkId link)
{
    Exchange &exchange = this->exchanges.at(this->askedTokenOf(link));
    exchange.link = 0;
    exchange.nextStepAt = this->clock.now() + retryDelay;
}

void FormerOwnerInquiry::answered(LinkId link, const wire::OwnerAnswer &answer)
{
    // A process of an earlier version takes the question for another one, and never answers
    // "ended".
    const std::uint64_t asked = this->askedTokenOf(link);
    if (asked != 0 && answer.ended() && answer.number() == asked) {
        this->listener.formerOwnerStopped(asked);
    }
}

} // namespace bulrush
