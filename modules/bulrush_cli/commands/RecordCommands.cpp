#include "bulrush_cli/commands/Command.h"
#include "bulrush_cli/commands/RecordFile.h"
#include "bulrush_cli/output/Diff.h"
#include "bulrush_cli/output/Table.h"

namespace bulrush {

namespace {

using nlohmann::json;

constexpr int notFound = 404;

/** Throws CommandError for an unknown kind, before any node is queried. */
void requireKind(const std::string &kind)
{
    if (!kindFromName(kind)) {
        throw CommandError(ExitStatus::WrongCommandLine, "read command line", "",
                           "KIND: found \"" + kind
                                   + "\", expected service, job, watcher, quota, targets, policy "
                                     "or cancellation");
    }
}

std::string recordPath(const std::string &kind, const std::string &name)
{
    return "/records/" + percentEncoded(kind) + "/" + percentEncoded(name);
}

/** Returns the problem of a file in one line, or an empty string if the file is valid. */
std::string problemOf(const std::string &path, std::string &title)
{
    try {
        const RecordFile file(path);
        title = file.title();
        const std::optional<FieldProblem> problem = file.problem();
        return problem ? problem->text() : std::string();
    } catch (const FieldError &error) {
        return error.problem().text();
    } catch (const Error &error) {
        return error.what();
    }
}

std::string verdictsTable(const json &verdicts)
{
    Table table({ "OFFSET", "OUTCOME", "RECORD", "ID", "SUPERSEDES", "PUBLISHER", "REASON" });
    for (const json &verdict : verdicts) {
        table.add({ cellText(verdict.value("offset", json())),
                    cellText(verdict.value("outcome", json())),
                    verdict.value("kind", "?") + "/" + verdict.value("name", "?"),
                    cellText(verdict.value("id", json())),
                    verdict.value("supersedes", "").empty() ? "-" : verdict.value("supersedes", ""),
                    cellText(verdict.value("publisher", json())), verdict.value("reason", "") });
    }
    return table.text();
}

ExitStatus printVerdicts(const CommandContext &context, const std::string &path,
                         const std::string &member)
{
    const NodeAnswer answer = context.nodes.queryAny(path);
    requireSuccess(answer);
    const json verdicts = answer.body.value(member, json::array());
    if (context.line.asJson) {
        printJson(context, verdicts);
    } else {
        context.cli.out << verdictsTable(verdicts);
    }
    return ExitStatus::Done;
}

} // namespace

ExitStatus runValidate(const CommandContext &context)
{
    json results = json::array();
    bool allValid = true;
    for (const std::string &path : context.line.files) {
        std::string title;
        const std::string problem = problemOf(path, title);
        allValid = allValid && problem.empty();
        results.push_back(
                { { "file", path }, { "valid", problem.empty() }, { "problem", problem } });
        if (!context.line.asJson) {
            std::ostream &stream = problem.empty() ? context.cli.out : context.cli.err;
            stream << path << ": " << (problem.empty() ? title + " is valid" : problem) << "\n";
        }
    }
    if (context.line.asJson) {
        printJson(context, results);
    }
    return allValid ? ExitStatus::Done : ExitStatus::Refused;
}

ExitStatus runGet(const CommandContext &context)
{
    requireKind(context.line.kind);
    const NodeAnswer answer =
            context.nodes.queryAny(recordPath(context.line.kind, context.line.name));
    requireSuccess(answer);
    const json records = answer.body.value("records", json::array());
    printJson(context, records.empty() ? json() : records.front());
    return ExitStatus::Done;
}

ExitStatus runList(const CommandContext &context)
{
    if (!context.line.kind.empty()) {
        requireKind(context.line.kind);
    }
    const NodeAnswer answer = context.nodes.queryAny(
            context.line.kind.empty() ? "/records" : "/records/" + context.line.kind);
    requireSuccess(answer);
    const json records = answer.body.value("records", json::array());
    if (context.line.asJson) {
        printJson(context, records);
        return ExitStatus::Done;
    }
    Table table({ "KIND", "NAME", "SCHEMA", "ID", "PUBLISHER" });
    for (const json &record : records) {
        table.add({ record.value("kind", ""), record.value("name", ""), record.value("schema", ""),
                    record.value("id", ""), record.value("publisher", "") });
    }
    context.cli.out << table.text();
    return ExitStatus::Done;
}

ExitStatus runDiff(const CommandContext &context)
{
    const RecordFile file(context.line.files.front());
    const auto kind = file.field("kind");
    const auto name = file.field("name");
    if (!kind || !name) {
        throw CommandError(ExitStatus::Refused, "read record", file.path(),
                           file.problem() ? file.problem()->text()
                                          : "the fields kind and name are required");
    }
    const NodeAnswer answer = context.nodes.queryAny(recordPath(*kind, *name));
    json inForce;
    if (answer.status != notFound) {
        requireSuccess(answer);
        inForce = declarationOf(answer.body.at("records").at(0));
    }
    const std::string difference =
            unifiedDiff(inForce.is_null() ? "" : inForce.dump(2) + "\n", "in force",
                        file.declaration().dump(2) + "\n", file.path());
    if (context.line.asJson) {
        printJson(context, { { "differs", !difference.empty() }, { "diff", difference } });
    } else if (difference.empty()) {
        context.cli.out << file.title() << ": no difference from the record in force\n";
    } else {
        context.cli.out << difference;
    }
    return ExitStatus::Done;
}

ExitStatus runHistory(const CommandContext &context)
{
    requireKind(context.line.kind);
    return printVerdicts(context,
                         "/history/" + context.line.kind + "/" + percentEncoded(context.line.name),
                         "history");
}

ExitStatus runAudit(const CommandContext &context)
{
    return printVerdicts(context, "/audit", "audit");
}

} // namespace bulrush
