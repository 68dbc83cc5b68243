#include "bulrush_config/bulrush_config.h"

#include <criterion/criterion.h>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

using namespace bulrush;
using nlohmann::json;

namespace {

std::string fileText(const std::filesystem::path &path)
{
    std::ifstream file(path);
    cr_assert(file.good(), "%s cannot be read", path.c_str());
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

/** Asserts that the page has a row for each field of a schema, with the same numeric default. */
void assertFieldsInPage(const json &schema, const std::string &name, const std::string &page)
{
    if (schema.contains("items")) {
        assertFieldsInPage(schema.at("items"), name, page);
    }
    if (!schema.contains("properties")) {
        return;
    }
    for (const auto &[field, rules] : schema.at("properties").items()) {
        const std::size_t row = page.find("| `" + field + "` |");
        cr_assert(row != std::string::npos, "%s: no row for %s", name.c_str(), field.c_str());
        if (rules.contains("default") && rules.at("default").is_number()) {
            const std::string shown = "| `" + rules.at("default").dump() + "` |";
            const std::string line = page.substr(row, page.find('\n', row) - row);
            cr_assert(line.find(shown) != std::string::npos, "%s: another default of %s",
                      name.c_str(), field.c_str());
        }
        assertFieldsInPage(rules, name, page);
    }
}

/** Returns the section of the page below the heading with this text. */
std::string section(const std::string &page, const std::string &heading)
{
    const std::size_t start = page.find("\n## " + heading + "\n");
    cr_assert(start != std::string::npos, "no section %s", heading.c_str());
    return page.substr(start, page.find("\n## ", start + 1) - start);
}

} // namespace

Test(Schemas, embeddedSchemasMatchTheSchemaFolder)
{
    std::size_t files = 0;
    for (const auto &entry : std::filesystem::directory_iterator(BULRUSH_SOURCE_DIR "/schemas")) {
        std::string name = entry.path().stem().string();
        name[name.rfind('-')] = '/';
        const std::string text = fileText(entry.path());
        bool isEmbedded = false;
        for (const EmbeddedSchema &schema : embeddedSchemas()) {
            isEmbedded = isEmbedded || (schema.name == name && schema.text == text);
        }
        cr_assert(isEmbedded, "run tools/embed-schemas: %s differs", name.c_str());
        ++files;
    }
    cr_assert_eq(files, embeddedSchemas().size());
}

Test(Schemas, settingsDefaultsMatchTheSchema)
{
    json document = json::parse(R"({"schema":"settings/1","node":"n","dataCentre":"d",
        "callers":{"address":"127.0.0.1","port":1},"operators":{"address":"127.0.0.1","port":2},
        "peersListen":{"address":"127.0.0.1","port":3},
        "platform":[{"address":"127.0.0.1","port":4}]})");
    const json schema = json::parse(fileText(BULRUSH_SOURCE_DIR "/schemas/settings-1.json"));
    const json &fields = schema.at("properties");
    const NodeSettings settings = readSettings(document.dump());
    cr_assert_eq(fields["drainBoundMs"]["default"], settings.drainBound.count());
    const json &times = fields["times"]["properties"];
    cr_assert_eq(times["heartbeatMs"]["default"], settings.times.heartbeat.count());
    cr_assert_eq(times["peerLostMs"]["default"], settings.times.peerLost.count());
    cr_assert_eq(times["leaseMs"]["default"], settings.times.lease.count());
    cr_assert_eq(times["renewalHorizonMs"]["default"], settings.times.renewalHorizon.count());
    cr_assert_eq(times["clockAllowanceMs"]["default"], settings.times.clockAllowance.count());
    cr_assert_eq(times["keyLifetimeS"]["default"], settings.times.keyLifetime.count());
    cr_assert_eq(times["logPollMs"]["default"], settings.times.logPoll.count());
    const json &limits = fields["limits"]["properties"];
    cr_assert_eq(limits["maxRequestBytes"]["default"], settings.limits.maxRequestBytes);
    cr_assert_eq(limits["maxAnswerBytes"]["default"], settings.limits.maxAnswerBytes);
    cr_assert_eq(limits["maxConnections"]["default"], settings.limits.maxConnections);
    cr_assert_eq(limits["maxWaitingRequests"]["default"], settings.limits.maxWaitingRequests);
}

Test(Schemas, pageHasARowForEachFieldAndAValidExample)
{
    const std::string page = fileText(BULRUSH_SOURCE_DIR "/docs/CONFIGURATION.md");
    for (const EmbeddedSchema &schema : embeddedSchemas()) {
        const std::string name(schema.name);
        const std::string text = section(page, name);
        assertFieldsInPage(json::parse(schema.text), name, text);
        const std::size_t start = text.find("```json\n") + 8;
        cr_assert(start != std::string::npos + 8, "no example of %s", name.c_str());
        const std::string example = text.substr(start, text.find("```", start) - start);
        if (name == "settings/1") {
            readSettings(example);
            continue;
        }
        const CheckedRecord checked = checkRecord(example);
        cr_assert_not(checked.problem, "%s: %s", name.c_str(), checked.problem->text().c_str());
        cr_assert(name == "record/1" || checked.record->schema == name, "%s", name.c_str());
    }
}

Test(Schemas, examplesOfTheTwoDeploymentsAreAccepted)
{
    for (const char *deployment : { "kask-parn", "nyumba-bora" }) {
        std::set<std::filesystem::path> paths;
        for (const auto &entry : std::filesystem::directory_iterator(BULRUSH_SOURCE_DIR "/examples/"
                                                                     + std::string(deployment))) {
            paths.insert(entry.path());
        }
        RecordState state;
        for (const std::filesystem::path &path : paths) {
            const Verdict verdict = state.apply(state.nextOffset(), fileText(path));
            cr_assert(verdict.outcome == RecordOutcome::Accepted, "%s: %s", path.c_str(),
                      verdict.reason.c_str());
        }
        for (const RecordKind kind : { RecordKind::Service, RecordKind::Job, RecordKind::Watcher,
                                       RecordKind::Quota, RecordKind::Policy }) {
            cr_assert_not(state.inForce(kind).empty(), "%s has no record of kind %d", deployment,
                          static_cast<int>(kind));
        }
    }
}
