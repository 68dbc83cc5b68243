#include "standins/platform/PlatformServer.h"
#include "standins/target/Registration.h"

#include <criterion/criterion.h>

#include <thread>

using namespace bulrush::standins;
using nlohmann::json;

namespace {

/** A platform server on a free port and its client. */
struct Fixture
{
    PlatformServer platform;
    int port = platform.start(0);
    httplib::Client client { "127.0.0.1", port };

    int append(const std::string &stream, const std::string &body)
    {
        const auto answer = client.Post("/log/" + stream, body, "application/octet-stream");
        return answer ? answer->status : 0;
    }

    json read(const std::string &pathAndQuery)
    {
        const auto answer = client.Get(pathAndQuery);
        cr_assert(answer);
        cr_assert_eq(answer->status, 200);
        return json::parse(answer->body);
    }

    int control(const json &changes)
    {
        const auto answer = client.Post("/control", changes.dump(), "application/json");
        return answer ? answer->status : 0;
    }
};

} // namespace

Test(PlatformServer, appendsAndReads)
{
    Fixture fixture;
    cr_assert_eq(fixture.append("group/g1", "one"), 200);
    cr_assert_eq(fixture.append("group/g1", "two"), 200);
    const json page = fixture.read("/log/group/g1?from=1&max=5");
    cr_assert_eq(page.at("first"), 0);
    cr_assert_eq(page.at("next"), 2);
    cr_assert_eq(page.at("records").size(), 1U);
    cr_assert_eq(page.at("records").at(0).at("body"), "two");
    const json stats = fixture.read("/stats");
    cr_assert_eq(stats.at("appends"), 2);
    cr_assert_eq(stats.at("reads"), 1);
    cr_assert_gt(stats.at("bytesOut").get<int>(), 0);
}

Test(PlatformServer, refusesRecordsThatAreTooLongOrNotText)
{
    Fixture fixture;
    cr_assert_eq(fixture.append("s", std::string(1024 * 1024, 'x')), 200);
    cr_assert_neq(fixture.append("s", std::string(1024 * 1024 + 1, 'x')), 200);
    cr_assert_eq(fixture.append("s", "\xff"), 400);
    cr_assert_eq(fixture.read("/log/s?from=1").at("next"), 1);
}

Test(PlatformServer, longPollEndsWithTheAppend)
{
    Fixture fixture;
    json page;
    std::thread reader([&] {
        httplib::Client client("127.0.0.1", fixture.port);
        client.set_read_timeout(std::chrono::seconds(60));
        page = json::parse(client.Get("/log/s?from=0&waitMs=60000")->body);
    });
    fixture.append("s", "one");
    reader.join();
    cr_assert_eq(page.at("records").size(), 1U);
}

Test(PlatformServer, lostAnswersStillTakeEffect)
{
    Fixture fixture;
    cr_assert_eq(fixture.control({ { "loseAnswers", 1 } }), 200);
    cr_assert_eq(fixture.append("s", "one"), 0);
    cr_assert_eq(fixture.append("s", "two"), 200);
    cr_assert_eq(fixture.read("/log/s").at("records").size(), 2U);
}

Test(PlatformServer, outageStopsAllButControl)
{
    Fixture fixture;
    cr_assert_eq(fixture.control({ { "outage", true } }), 200);
    cr_assert_eq(fixture.append("s", "one"), 503);
    cr_assert_eq(fixture.client.Get("/vms")->status, 503);
    cr_assert_eq(fixture.control({ { "outage", false } }), 200);
    cr_assert_eq(fixture.read("/log/s").at("next"), 0);
}

Test(PlatformServer, refusedAppendsTakeNoEffect)
{
    Fixture fixture;
    fixture.control({ { "refuseAppends", true } });
    cr_assert_eq(fixture.append("s", "one"), 429);
    cr_assert_eq(fixture.read("/log/s").at("next"), 0);
}

Test(PlatformServer, retainsConfiguredNumberOfRecords)
{
    Fixture fixture;
    fixture.control({ { "retainRecords", 1 } });
    fixture.append("s", "one");
    fixture.append("s", "two");
    const json page = fixture.read("/log/s?from=0&waitMs=60000");
    cr_assert_eq(page.at("first"), 1);
    cr_assert(page.at("records").empty());
}

Test(PlatformServer, refusesUnknownSettingsAndBadRequests)
{
    Fixture fixture;
    cr_assert_eq(fixture.control({ { "outrage", true } }), 400);
    cr_assert_eq(fixture.control({ { "slowMs", "long" } }), 400);
    cr_assert_eq(fixture.client.Post("/vms", "{", "application/json")->status, 400);
    cr_assert_eq(fixture.client.Get("/log/s?from=x")->status, 400);
}

Test(PlatformServer, targetsRegisterInBothRoles)
{
    Fixture fixture;
    const RegistrationDetails details { "vm1", "dc1", "rack1", 7000, { 64000, 250000, 0 } };
    cr_assert(registerAtPlatform(details, fixture.port, std::chrono::seconds(60)));
    const json vms = fixture.read("/vms");
    cr_assert_eq(vms.size(), 2U);
    cr_assert_eq(vms.at(0).at("role"), "executor");
    cr_assert_eq(vms.at(1).at("role"), "worker");
    cr_assert_eq(vms.at(1).at("cpuMilli"), 64000);
    fixture.control({ { "listLagMs", 600'000 } });
    cr_assert(fixture.read("/vms").empty());
}
