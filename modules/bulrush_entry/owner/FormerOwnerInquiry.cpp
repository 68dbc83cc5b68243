#include "bulrush_entry/owner/FormerOwnerInquiry.h"

#include "bulrush_core/time/Clock.h"
#include "bulrush_entry/owner/MemberName.h"

#include <algorithm>

namespace bulrush {

namespace {

/** Time after which an attempt without an answer is given up. */
constexpr milliseconds attemptTimeout { 500 };

/** Delay before the next attempt after one without a helpful answer. */
constexpr milliseconds retryDelay { 200 };

} // namespace

FormerOwnerInquiry::FormerOwnerInquiry(const Clock &systemClock, FrameLinks &frameLinks,
                                       const Endpoint &ownEndpoint, Listener &inquiryListener)
    : clock(systemClock)
    , links(frameLinks)
    , endpoint(ownEndpoint)
    , listener(inquiryListener)
{
}

void FormerOwnerInquiry::update(std::span<const OwnerRecord> owners, std::uint64_t askToken)
{
    this->token = askToken;
    this->closeOthers(owners);
    for (const OwnerRecord &owner : owners) {
        const std::optional<Endpoint> peer = endpointOfMember(owner.member);
        if (!peer) {
            continue;
        }
        if (*peer == this->endpoint) {
            // Only one process can listen there, and this one sends with its present token.
            this->listener.formerOwnerEnded(owner.fencingToken);
            continue;
        }
        Exchange &exchange = this->exchanges[owner.fencingToken];
        exchange.owner = owner;
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
    exchange.link = this->links.connect(*endpointOfMember(exchange.owner.member));
}

bool FormerOwnerInquiry::owns(LinkId link) const
{
    return this->tokenOf(link) != 0;
}

std::uint64_t FormerOwnerInquiry::tokenOf(LinkId link) const
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
    const Exchange &exchange = this->exchanges.at(this->tokenOf(link));
    wire::FormerOwnerQuestionT question;
    question.member = exchange.owner.member;
    question.fencing_token = exchange.owner.fencingToken;
    question.asker_token = this->token;
    this->links.send(link, wire::encodeOwnerFrame(question));
}

void FormerOwnerInquiry::linkClosed(LinkId link)
{
    Exchange &exchange = this->exchanges.at(this->tokenOf(link));
    exchange.link = 0;
    exchange.nextStepAt = this->clock.now() + retryDelay;
}

void FormerOwnerInquiry::answered(LinkId link, const wire::FormerOwnerAnswer &answer)
{
    const std::uint64_t asked = this->tokenOf(link);
    if (answer.ended() && answer.fencing_token() == asked) {
        this->listener.formerOwnerEnded(asked);
    }
}

} // namespace bulrush
