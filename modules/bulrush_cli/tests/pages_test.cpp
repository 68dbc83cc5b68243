#include "FakeNodes.h"

#include "bulrush_entry/node/EntryMetrics.h"
#include "bulrush_node/metrics/NodeMetrics.h"

#include <criterion/criterion.h>

#include <filesystem>
#include <fstream>
#include <regex>
#include <set>

using namespace bulrush;

namespace {

using Names = std::set<std::string>;

std::string readPage(const std::string &path)
{
    std::ifstream file(std::string(BULRUSH_SOURCE_DIR) + "/" + path);
    std::stringstream text;
    text << file.rdbuf();
    cr_assert(!text.str().empty(), "%s", path.c_str());
    return text.str();
}

/** Returns the first capture group of each match. */
Names namesIn(const std::string &text, const std::string &pattern)
{
    const std::regex expression(pattern);
    Names names;
    for (std::sregex_iterator at(text.begin(), text.end(), expression), end; at != end; ++at) {
        names.insert((*at)[1].str());
    }
    return names;
}

Names toSet(std::span<const std::string_view> names)
{
    return { names.begin(), names.end() };
}

void assertSame(const Names &code, const Names &text, const char *what)
{
    for (const std::string &name : code) {
        cr_expect(text.contains(name), "%s lacks %s", what, name.c_str());
    }
    for (const std::string &name : text) {
        cr_expect(code.contains(name), "%s holds %s, which the code lacks", what, name.c_str());
    }
}

/** Returns the page's text from the given second-level heading to the next one. */
std::string section(const std::string &text, const std::string &heading)
{
    const std::size_t start = text.find("\n## " + heading + "\n");
    cr_assert(start != std::string::npos, "%s", heading.c_str());
    return text.substr(start, text.find("\n## ", start + 1) - start);
}

} // namespace

Test(Pages, usageNamesAllCommandsAndOptions)
{
    const std::string usage(usageText());
    const std::string patterns = usage.substr(0, usage.find("Options:"));
    assertSame(toSet(commandNames()),
               namesIn(patterns,
                       "\n  bulrushrill (?:\\[options\\] \\[--node ADDRESS\\]\\.\\.\\. )?"
                       "([a-z]+)"),
               "usage");
    assertSame(toSet(optionNames()), namesIn(usage, "\n  (?:-h )?(--[a-z]+) "), "usage");
}

Test(Pages, commandsPageNamesAllCommandsAndOptions)
{
    const std::string text = readPage("docs/COMMANDS.md");
    assertSame(toSet(commandNames()), namesIn(text, "\n### `([a-z]+)`\n"), "COMMANDS.md");
    assertSame(toSet(optionNames()), namesIn(text, "\n\\| `(--[a-z]+)` \\|"), "COMMANDS.md");
}

Test(Pages, manualNamesAllCommandsAndOptions)
{
    const std::string text = readPage("docs/man/bulrushrill.1");
    assertSame(toSet(commandNames()), namesIn(text, "\n\\.TP\n\\.B ([a-z]+)"), "bulrushrill.1");
    Names options;
    for (const std::string &name : namesIn(text, "\n\\.TP\n\\.B \\\\-\\\\-([a-z]+)")) {
        options.insert("--" + name);
    }
    assertSame(toSet(optionNames()), options, "bulrushrill.1");
}

Test(Pages, exitStatusesAreTheSameEverywhere)
{
    const Names statuses { "0", "1", "2", "3", "4" };
    assertSame(statuses,
               namesIn(section(readPage("docs/COMMANDS.md"), "Exit statuses"), "\\| (\\d) \\|"),
               "COMMANDS.md");
    const std::string usage(usageText());
    assertSame(statuses, namesIn(usage.substr(usage.find("Exit status")), "(\\d) [a-z]"), "usage");
}

Test(Pages, metricsPageNamesAllMetrics)
{
    NodeMetrics metrics;
    metrics.recordRequest(ServiceId("review"), "answered", milliseconds(1));
    assertSame(namesIn(metrics.text(), "# HELP (\\w+)"),
               namesIn(section(readPage("docs/METRICS.md"), "All metrics"),
                       "\n\\| `(bulrush_\\w+)` \\|"),
               "METRICS.md");
}

Test(Pages, metricsPageNamesAllMetricsOfAnEntryNode)
{
    EntryMetrics metrics;
    metrics.recordStoreCall("append", StoreOutcome::Done, milliseconds(1));
    metrics.recordCallerRequest(CallerRequestKind::Submit, CallerOutcome::Accepted,
                                milliseconds(1));
    metrics.recordWorkerCommand("start", CommandOutcome::Done, milliseconds(1));
    metrics.recordJobStart(milliseconds(1));
    metrics.recordJobEnd(JobState::Succeeded, milliseconds(1));
    metrics.setServedShares({ { "checks", 1.0 } });
    metrics.recordTakeover("ready", milliseconds(1));
    assertSame(namesIn(metrics.text(), "# HELP (\\w+)"),
               namesIn(section(readPage("docs/METRICS.md"), "On the users' platform"),
                       "\n\\| `(bulrush_\\w+)` \\|"),
               "METRICS.md");
}

/* Guards against events of the catalogue that no code writes: operators who read about them on the
   pages would search the log for them in vain. */
Test(Pages, everyEventIsWrittenSomewhere)
{
    Names written;
    const std::filesystem::path source(BULRUSH_SOURCE_DIR);
    for (const char *folder : { "modules", "platform", "programs" }) {
        for (const auto &file : std::filesystem::recursive_directory_iterator(source / folder)) {
            const std::string name = file.path().filename();
            const bool isTest = file.path().string().find("/tests/") != std::string::npos;
            if (file.path().extension() != ".cpp" || isTest || name == "EventCatalogue.cpp") {
                continue;
            }
            written.merge(
                    namesIn(readPage(file.path().lexically_relative(source)), "Event::(\\w+)"));
        }
    }
    const std::string header = readPage("modules/bulrush_core/events/EventCatalogue.h");
    for (const std::string &event : namesIn(header, "\n    (\\w+) = \\d+,")) {
        cr_expect(written.contains(event), "nothing writes %s", event.c_str());
    }
}

Test(Pages, operationsPageNamesOnlyKnownEventsAndMetrics)
{
    const std::string text = readPage("docs/OPERATIONS.md");
    const Names events = namesIn(readPage("docs/EVENTS.md"), "\n\\| (E\\d+) \\|");
    for (const std::string &event : namesIn(text, "(E\\d{4})")) {
        cr_expect(events.contains(event), "%s", event.c_str());
    }
    const Names metrics = namesIn(readPage("docs/METRICS.md"), "`(bulrush_\\w+)`");
    for (const std::string &metric : namesIn(text, "`(bulrush_\\w+_\\w+)`")) {
        cr_expect(metrics.contains(metric), "%s", metric.c_str());
    }
}

Test(Pages, operationsPageHasASectionForEachFailure)
{
    const std::string text = readPage("docs/OPERATIONS.md");
    for (const std::string failure :
         { "Load shifts and noisy waves", "A VM fails", "A node is lost", "A worker is silent",
           "Declared sizes far off", "A job can never run", "Cancellations in waves",
           "Workers that fail everything", "The platform is down or slow",
           "The platform's answers are lost", "The log was truncated", "Leases lapse",
           "Operators race", "Connections go silent", "A data centre is cut off",
           "The partner withdraws VMs" }) {
        const std::string body = section(text, failure);
        for (const std::string part : { "**Seen:**", "**The system:**", "**To do:**" }) {
            cr_expect(body.find(part) != std::string::npos, "%s: %s", failure.c_str(),
                      part.c_str());
        }
    }
}
