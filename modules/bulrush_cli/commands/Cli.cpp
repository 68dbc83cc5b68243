#include "bulrush_cli/commands/Cli.h"

#include "bulrush_cli/commandline/Usage.h"
#include "bulrush_cli/commands/Command.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <random>
#include <sstream>

namespace bulrush {

namespace {

using Handler = ExitStatus (*)(const CommandContext &context);

struct CommandEntry
{
    std::string_view name;
    Handler handler;
};

constexpr std::array handlers {
    CommandEntry { "validate", runValidate },
    CommandEntry { "publish", runPublish },
    CommandEntry { "get", runGet },
    CommandEntry { "list", runList },
    CommandEntry { "diff", runDiff },
    CommandEntry { "history", runHistory },
    CommandEntry { "status", runStatus },
    CommandEntry { "audit", runAudit },
    CommandEntry { "drain", runDrain },
    CommandEntry { "explain", runExplain },
    CommandEntry { "completion", runCompletion },
};

ExitStatus runCommand(const CommandLine &line, const CliContext &context)
{
    NodeGroup nodes(context.client, line.nodes, line.key);
    const auto *const entry =
            std::find_if(handlers.begin(), handlers.end(), [&line](const CommandEntry &candidate) {
                return candidate.name == line.command;
            });
    return entry->handler({ context, line, nodes });
}

bool hasOption(const std::vector<std::string> &arguments, std::string_view option)
{
    return std::find(arguments.begin(), arguments.end(), option) != arguments.end();
}

} // namespace

ExitStatus runCli(const std::vector<std::string> &arguments, const CliContext &context)
{
    if (hasOption(arguments, "--help") || hasOption(arguments, "-h")) {
        context.out << usageText();
        return ExitStatus::Done;
    }
    if (hasOption(arguments, "--version")) {
        context.out << versionText() << "\n";
        return ExitStatus::Done;
    }
    try {
        return runCommand(readCommandLine(arguments, context.environment), context);
    } catch (const CommandError &error) {
        context.err << "bulrushrill: " << error.what() << "\n";
        return error.status();
    } catch (const Error &error) {
        context.err << "bulrushrill: " << error.what() << "\n";
        return ExitStatus::Refused;
    }
}

std::string randomRecordId()
{
    std::random_device source;
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    std::ostringstream id;
    id << std::hex << duration_cast<seconds>(now).count() << "-" << source() << source();
    return id.str();
}

void requireSuccess(const NodeAnswer &answer)
{
    if (!answer.succeeded()) {
        throw CommandError(ExitStatus::Refused, "query node", answer.node.text(), answer.error());
    }
}

void printJson(const CommandContext &context, const nlohmann::json &value)
{
    context.cli.out << value.dump(2) << "\n";
}

} // namespace bulrush
