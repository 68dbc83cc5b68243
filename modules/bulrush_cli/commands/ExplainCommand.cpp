#include "bulrush_cli/commands/Command.h"
#include "bulrush_cli/output/Table.h"

#include <algorithm>

namespace bulrush {

namespace {

constexpr int notFound = 404;

/** Returns the path of a task named JOB#N. */
std::string taskPath(const std::string &task)
{
    const std::size_t mark = task.rfind('#');
    const std::string number = mark == std::string::npos ? "" : task.substr(mark + 1);
    const bool isNumber = !number.empty()
            && std::all_of(number.begin(), number.end(),
                           [](char digit) { return digit >= '0' && digit <= '9'; });
    if (!isNumber || mark == 0) {
        throw CommandError(ExitStatus::WrongCommandLine, "read command line", "",
                           "TASK: found \"" + task + "\", expected JOB#NUMBER, such as nightly#3");
    }
    return "/explain/task/" + percentEncoded(task.substr(0, mark)) + "/" + number;
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
    const NodeAnswer answer = context.nodes.askAny(explainPath(context.line));
    if (answer.status == notFound) {
        const std::string what =
                context.line.topic + (context.line.name.empty() ? "" : " " + context.line.name);
        throw CommandError(ExitStatus::Refused, "explain", answer.node.text(),
                           "the node has no explanation of " + what + ": " + answer.error());
    }
    requireSuccess(answer);
    if (context.line.asJson) {
        printJson(context, answer.body);
    } else {
        context.cli.out << readableText(answer.body);
    }
    return ExitStatus::Done;
}

} // namespace bulrush
