#pragma once

#include "bulrush_entry/front/OwnerQuestions.h"
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

/** Sends questions to the owner, which may be this node, and answers the questions of other nodes
    while this node is the owner. */
class OwnerLink : public OwnerQuestions, private FrameTransport::Listener
{
public:
    OwnerLink(EventLoop &loop, const Clock &clock, MemberGroup &group, const Dispatcher &dispatcher,
              const Endpoint &endpoint);

    /** Returns the name under which a node joins the group.
        @param endpoint    where the node listens for other nodes
        @param incarnation distinguishes this run of the process from earlier ones */
    static std::string memberName(const Endpoint &endpoint, std::uint64_t incarnation);

    void askState(const JobId &job, Callback callback) override;
    void askWaitingCount(const std::string &queue, Callback callback) override;

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
        Callback callback;
    };

    void linkOpened(LinkId link, bool accepted) override;
    void frameArrived(LinkId link, std::span<const std::uint8_t> frame) override;
    void linkClosed(LinkId link, std::string_view reason) override;

    void ask(Kind kind, std::string text, Callback callback);
    OwnerAnswer answerLocally(Kind kind, const std::string &text) const;
    void findHolder();
    void holderFound(const PartitionHolder &holder);
    void resetHolder();
    void sendPendingQuestions();
    void complete(std::uint64_t number, const OwnerAnswer &answer);

    EventLoop &loop;
    const Clock &clock;
    MemberGroup &group;
    const Dispatcher &dispatcher;
    FrameTransport transport;
    std::optional<Endpoint> holder;
    bool searching = false;
    Instant nextSearchAt {};
    FrameTransport::LinkId link = 0;
    bool linkOpen = false;
    std::uint64_t nextNumber = 1;
    std::map<std::uint64_t, Question> questions;
};

} // namespace bulrush
