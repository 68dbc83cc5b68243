#pragma once

#include "bulrush_cli/commands/Command.h"
#include "bulrush_cli/commands/RecordFile.h"

#include <map>
#include <string>

namespace bulrush {

/** Publishes one record and follows it until it is in force on every node that is reached. */
class Publication
{
public:
    Publication(const CommandContext &context, RecordFile file);

    /** Runs to the end. @throws CommandError */
    ExitStatus run();

private:
    /** How many nodes that can be reached have the record's offset in force. */
    struct Spread
    {
        std::size_t inForce = 0;
        std::size_t reached = 0;

        /** Addresses of named nodes that did not answer. */
        std::vector<std::string> silent;
    };

    void completeRecord();
    std::string recordInForce();
    std::string lastAcceptedId() const;

    bool append();
    bool appendAt(const Endpoint &node, std::vector<NodeAnswer> &failures);
    bool awaitVerdict();
    bool awaitInForce();
    nlohmann::json verdictAnywhere() const;
    Spread spread() const;

    bool isTimeLeft() const;
    void pause(const std::string &progress);
    void clearProgress();
    ExitStatus finish(ExitStatus status, const std::string &message);
    ExitStatus finishRefused();
    std::string successor() const;
    std::string silentNodes() const;

    const CommandContext &context;
    RecordFile file;
    const std::string title;
    Instant deadline;
    std::string supersededPublisher;
    /** Whether an append may have taken effect although no answer said so. */
    bool mayBeAppended = false;
    nlohmann::json verdict;
    Spread lastSpread;
};

} // namespace bulrush
