#pragma once

#include "bulrush_cli/commands/Command.h"
#include "bulrush_cli/commands/RecordFile.h"

#include <map>
#include <string>

namespace bulrush {

/** Publishes one record and waits until it is in force on every reachable node. */
class Publication
{
public:
    Publication(const CommandContext &context, RecordFile file);

    /** Publishes the record and prints the result. @throws CommandError */
    ExitStatus run();

private:
    /** On how many of the reachable nodes the record's offset is in force. */
    struct Rollout
    {
        std::size_t inForce = 0;
        std::size_t reached = 0;

        /** The addresses of the named nodes that did not answer. */
        std::vector<std::string> unanswered;
    };

    void completeRecord();
    std::string findSupersededId();
    std::string lastAcceptedId() const;

    bool append();
    bool appendAt(const Endpoint &node, std::vector<NodeAnswer> &failures);
    bool awaitVerdict();
    bool awaitInForce();
    nlohmann::json findVerdict() const;
    Rollout queryRollout() const;

    bool isTimeLeft() const;
    void pause(const std::string &progress);
    void clearProgress();
    ExitStatus finish(ExitStatus status, const std::string &message);
    ExitStatus finishRefused();
    std::string successorText() const;
    std::string unansweredNodesText() const;

    const CommandContext &context;
    RecordFile file;
    const std::string title;
    Instant deadline;
    std::string supersededPublisher;
    /** Whether an append may have taken effect although no answer confirmed it. */
    bool mayBeAppended = false;
    nlohmann::json verdict;
    Rollout lastRollout;
};

} // namespace bulrush
