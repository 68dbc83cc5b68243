#pragma once

#include "bulrush_cli/client/NodeGroup.h"
#include "bulrush_cli/commands/Cli.h"

namespace bulrush {

/** The context of one command. */
struct CommandContext
{
    const CliContext &cli;
    const CommandLine &line;
    NodeGroup &nodes;
};

// One function for each command. @throws CommandError if the command fails

ExitStatus runValidate(const CommandContext &context);
ExitStatus runPublish(const CommandContext &context);
ExitStatus runGet(const CommandContext &context);
ExitStatus runList(const CommandContext &context);
ExitStatus runDiff(const CommandContext &context);
ExitStatus runHistory(const CommandContext &context);
ExitStatus runStatus(const CommandContext &context);
ExitStatus runAudit(const CommandContext &context);
ExitStatus runDrain(const CommandContext &context);
ExitStatus runExplain(const CommandContext &context);
ExitStatus runCompletion(const CommandContext &context);

/** Throws CommandError unless the answer's status is 2xx. */
void requireSuccess(const NodeAnswer &answer);

/** Prints a value as indented JSON. */
void printJson(const CommandContext &context, const nlohmann::json &value);

} // namespace bulrush
