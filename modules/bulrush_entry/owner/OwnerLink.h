#pragma once

#include "bulrush_entry/front/OwnerQuestions.h"
#include "bulrush_entry/owner/FormerOwnerInquiry.h"
#include "bulrush_entry/owner/RecordRelay.h"
#include "bulrush_entry/owner/RelayedRecords.h"
#include "bulrush_net/frames/FrameTransport.h"
#include "bulrush_net/loop/EventLoop.h"
#include "bulrush_steps/ports/MemberGroup.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bulrush {

class Dispatcher;

/** Sends questions to the owner, which may be this node, and to former owners, and answers the
    questions of other nodes. */
class OwnerLink : public OwnerQuestions, public RecordCarrier, private FrameTransport::Listener
{
public:
    /** Receives what other nodes ask and answer about former owners. */
    struct Listener : public FormerOwnerInquiry::Listener
    {
        /** Called when a newer owner asks about an ownership of a process at this address. Gives up
            this node's ownership if it is older than the asker's.
            @param member     the name in the group of the process that was the owner
            @param askedToken the fencing token of that ownership
            @param askerToken the fencing token of the newer owner
            @returns whether no more commands are sent with the asked token, now or later */
        virtual bool stopCommandsOf(std::string_view member, std::uint64_t askedToken,
                                    std::uint64_t askerToken) = 0;
    };

    OwnerLink(EventLoop &loop, const Clock &clock, MemberGroup &group, const Dispatcher &dispatcher,
              const MemberName &ownName, Listener &listener);

    /** Asks former owners that are waited for. @see FormerOwnerInquiry::update */
    void askFormerOwners(std::span<const OwnerRecord> owners, std::uint64_t ownToken)
    {
        this->inquiry.update(owners, ownToken);
    }

    void askState(const JobId &job, OwnerQuestions::Callback callback) override;
    void askWaitingCount(const std::string &queue, OwnerQuestions::Callback callback) override;

    bool takesRecords() override;
    void handOver(HandedRecord record, RecordCarrier::Callback callback) override
    {
        this->relay.handOver(std::move(record), std::move(callback));
    }

    /** Sets what appends the records that other nodes hand over. */
    void appendWith(RelayedRecords::Sink sink) { this->relayed.appendWith(std::move(sink)); }

    /** Sets what is called when the owner announces that the store is slow. */
    void onSlowStore(std::function<void()> slowStoreCallback)
    {
        this->slowStore = std::move(slowStoreCallback);
    }

    /** Announces to the linked nodes that the store is slow, if this node is the owner. */
    void announceSlowStore();

    /** Answers questions whose deadline has passed with NoAnswer, and sends those that are not sent
        yet. */
    void tick();

private:
    using LinkId = FrameTransport::LinkId;

    enum class Kind : std::uint8_t { State, Waiting };

    struct Question
    {
        Kind kind = Kind::State;
        std::string text;
        Instant deadline {};
        bool sent = false;
        OwnerQuestions::Callback callback;
    };

    void linkOpened(LinkId link, bool accepted) override;
    void frameArrived(LinkId link, std::span<const std::uint8_t> frame) override;
    void linkClosed(LinkId link, std::string_view reason) override;

    void ask(Kind kind, std::string text, OwnerQuestions::Callback callback);
    OwnerAnswer answerLocally(Kind kind, const std::string &text) const;
    void findHolder();
    void holderFound(const PartitionHolder &holder);
    void resetHolder();
    void sendPendingQuestions();
    void complete(std::uint64_t number, const OwnerAnswer &answer);
    void handleFrame(LinkId from, const wire::OwnerFrame &frame);
    void answerQuestion(LinkId from, const wire::OwnerQuestion &question);
    wire::OwnerAnswerT replyTo(const wire::OwnerQuestion &question);
    void handleAnswer(const wire::OwnerAnswer &reply);
    void handleRelayAnswer(LinkId from, const wire::RelayAnswer &answer);

    EventLoop &loop;
    const Clock &clock;
    MemberGroup &group;
    const Dispatcher &dispatcher;
    Listener &listener;
    FrameTransport transport;
    FormerOwnerInquiry inquiry;
    RecordRelay relay;
    RelayedRecords relayed;
    std::function<void()> slowStore;
    std::optional<Endpoint> holder;
    bool searching = false;
    Instant nextSearchAt {};
    FrameTransport::LinkId link = 0;
    bool linkOpen = false;
    std::uint64_t nextNumber = 1;
    std::map<std::uint64_t, Question> questions;
};

} // namespace bulrush
