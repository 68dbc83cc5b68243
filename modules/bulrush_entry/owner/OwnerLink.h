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

/** Asks the owner, which may be this node, and answers other nodes when it is. */
class OwnerLink : public OwnerQuestions, private FrameTransport::Listener
{
public:
    OwnerLink(EventLoop &loop, const Clock &clock, MemberGroup &group, const Dispatcher &dispatcher,
              const Endpoint &inner);

    /** Returns the name of a member of the group that listens at an endpoint in this life. */
    static std::string memberName(const Endpoint &inner, std::uint64_t life);

    void askState(const JobId &job, Callback callback) override;
    void askWaiting(const std::string &queue, Callback callback) override;

    /** Gives up questions that wait for too long. */
    void tick();

private:
    using LinkId = FrameTransport::LinkId;

    enum class Kind : std::uint8_t { State, Waiting };

    struct Question
    {
        Kind kind = Kind::State;
        std::string text;
        Instant giveUpAt {};
        bool sent = false;
        Callback callback;
    };

    void linkOpened(LinkId link, bool accepted) override;
    void frameArrived(LinkId link, std::span<const std::uint8_t> frame) override;
    void linkClosed(LinkId link, std::string_view reason) override;

    void ask(Kind kind, std::string text, Callback callback);
    OwnerAnswer answerHere(Kind kind, const std::string &text) const;
    void findHolder();
    void holderFound(const PartitionHolder &holder);
    void forgetHolder();
    void sendWaiting();
    void finish(std::uint64_t number, const OwnerAnswer &answer);

    EventLoop &loop;
    const Clock &clock;
    MemberGroup &group;
    const Dispatcher &dispatcher;
    FrameTransport transport;
    std::optional<Endpoint> holder;
    bool finding = false;
    Instant findAgainAt {};
    FrameTransport::LinkId link = 0;
    bool linkOpen = false;
    std::uint64_t nextNumber = 1;
    std::map<std::uint64_t, Question> questions;
};

} // namespace bulrush
