#include "bulrush_cli/commands/Command.h"
#include "bulrush_cli/output/Table.h"

#include <algorithm>

namespace bulrush {

namespace {

constexpr int notFound = 404;

/** Returns the request path for a task given as JOB#N. @throws CommandError if it is malformed */
std::string taskPath(const std::string &task)
{
    const std::size_t separator = task.rfind('#');
    const std::string number = separator == std::string::npos ? "" : task.substr(separator + 1);
    const bool isNumber = !number.empty()
            && std::all_of(number.begin(), number.end(),
                           [](char digit) { return digit >= '0' && digit <= '9'; });
    if (!isNumber || separator == 0) {
        throw CommandError(ExitStatus::WrongCommandLine, "read command line", "",
                           "TASK: found \"" + task + "\", expected JOB#NUMBER, such as nightly#3");
    }
    return "/explain/task/" + percentEncoded(task.substr(0, separator)) + "/" + number;
}

std::string explainPath(const CommandLine &line)
{
    if (line.topic == "task") {
        return taskPath(line.name);
    }
    return line.topic == "job" ? "/explain/job/" + percentEncoded(line.name) : "/explain/request";
}

} // namespace

ExitStatus runExplain(const CommandContext &context)
{
    const NodeAnswer answer = context.nodes.queryAny(explainPath(context.line));
    if (answer.status == notFound) {
        const std::string subject =
                context.line.topic + (context.line.name.empty() ? "" : " " + context.line.name);
        throw CommandError(ExitStatus::Refused, "explain", answer.node.text(),
                           "the node has no explanation of " + subject + ": " + answer.error());
    }
    requireSuccess(answer);
    if (context.line.asJson) {
        printJson(context, answer.body);
    } else {
        context.cli.out << indentedText(answer.body);
    }
    return ExitStatus::Done;
}

} // namespace bulrush
