#include "standins/target/TargetServer.h"

#include <criterion/criterion.h>

#include <future>

using namespace bulrush::standins;
using nlohmann::json;

namespace {

/** A target server with one slot on a free port and its client. */
struct Fixture
{
    TargetServer target { { "vm1", { 4000, 1000, 1 }, 1 } };
    int port = target.start(0);
    httplib::Client client { "127.0.0.1", port };

    httplib::Result post(const std::string &path, const json &body)
    {
        return client.Post(path, body.dump(), "application/json");
    }

    json stats() { return json::parse(client.Get("/stats")->body); }

    /** Sends a request on a separate connection and returns its status; 0 without an answer. */
    std::future<int> serveInBackground(const std::string &path)
    {
        return std::async(std::launch::async, [path, servedPort = port] {
            httplib::Client backgroundClient("127.0.0.1", servedPort);
            backgroundClient.set_read_timeout(std::chrono::seconds(60));
            const auto answer = backgroundClient.Get(path);
            return answer ? answer->status : 0;
        });
    }

    void waitUntilBusy()
    {
        while (stats().at("busy") == 0) {
            std::this_thread::yield();
        }
    }
};

json exchange(int sequence)
{
    return { { "node", "n1" }, { "group", "g1" }, { "epoch", 1 }, { "sequence", sequence } };
}

} // namespace

Test(TargetServer, exchangesOrdersAndInventory)
{
    Fixture fixture;
    json body = exchange(1);
    body["start"] = json::array({ { { "task", "t1" },
                                    { "attempt", 1 },
                                    { "kind", "service" },
                                    { "cpuMilli", 1000 },
                                    { "memoryMb", 100 },
                                    { "accelerators", 0 },
                                    { "leaseMs", 600'000 },
                                    { "runMs", 0 },
                                    { "checkpoint", "" } } });
    const json answer = json::parse(fixture.post("/worker/exchange", body)->body);
    cr_assert_eq(answer.at("worker"), "vm1");
    cr_assert_eq(answer.at("accepted"), true);
    cr_assert_eq(answer.at("leaving"), false);
    cr_assert_eq(answer.at("capacity").at("cpuMilli"), 4000);
    cr_assert_eq(answer.at("inventory").at(0).at("state"), "running");
    cr_assert_eq(json::parse(fixture.post("/worker/exchange", body)->body).at("accepted"), false);
    const json renewal = {
        { "node", "n2" },
        { "renew", json::array({ { { "task", "t1" }, { "attempt", 1 }, { "leaseMs", 600'000 } } }) }
    };
    cr_assert_eq(json::parse(fixture.post("/worker/renew", renewal)->body).at("renewed"), 1);
    cr_assert_eq(fixture.stats().at("runs").size(), 1U);
    cr_assert_eq(fixture.stats().at("overCommits"), 0);
}

Test(TargetServer, refusesMalformedRequests)
{
    Fixture fixture;
    cr_assert_eq(fixture.post("/worker/exchange", json::object())->status, 400);
    cr_assert_eq(fixture.client.Post("/worker/exchange", "{", "application/json")->status, 400);
    cr_assert_eq(fixture.client.Get("/serve/x?bytes=many")->status, 400);
    cr_assert_eq(fixture.stats().at("busy"), 0);
}

Test(TargetServer, servesAndCountsByIdempotencyKey)
{
    Fixture fixture;
    fixture.client.set_default_headers({ { "Idempotency-Key", "k1" } });
    const auto first = fixture.client.Put("/serve/a/b?bytes=5000", "hello", "text/plain");
    cr_assert_eq(first->status, 200);
    cr_assert_eq(first->body.size(), 5000U);
    cr_assert_eq(first->get_header_value("Bulrush-Load"), "0/1");
    const json answer = json::parse(first->body);
    cr_assert_eq(answer.at("target"), "vm1");
    cr_assert_eq(answer.at("path"), "/serve/a/b");
    cr_assert_eq(answer.at("method"), "PUT");
    cr_assert_eq(answer.at("echo"), "hello");
    const auto second = fixture.client.Delete("/serve/a");
    cr_assert_eq(json::parse(second->body).at("execution"), 2);
    cr_assert_eq(fixture.stats().at("executions").at("k1"), 2);
    cr_assert_eq(fixture.stats().at("served"), 2);
}

Test(TargetServer, refusesAtOnceWhenBusyOrLeaving)
{
    // Declared before the fixture: the destructor of the future waits for the request, which ends
    // only when the target is destroyed.
    std::future<int> slow;
    Fixture fixture;
    slow = fixture.serveInBackground("/serve/slow?sleepMs=600000");
    fixture.waitUntilBusy();
    const auto busy = fixture.client.Get("/serve/x");
    cr_assert_eq(busy->status, 503);
    cr_assert_eq(busy->get_header_value("Bulrush-Not-Started"), "1");
    cr_assert_eq(busy->get_header_value("Bulrush-Load"), "1/1");
    cr_assert_not(busy->has_header("Bulrush-Leaving"));
    fixture.post("/control", { { "leaving", true } });
    const auto leaving = fixture.client.Get("/serve/x");
    cr_assert_eq(leaving->status, 503);
    cr_assert_eq(leaving->get_header_value("Bulrush-Leaving"), "1");
    cr_assert_eq(fixture.client.Get("/healthz")->status, 200);
    cr_assert_eq(fixture.stats().at("refused"), 2);
}

Test(TargetServer, silentTargetAnswersOnlyControlAndStats)
{
    Fixture fixture;
    fixture.post("/control", { { "silent", true } });
    std::future<int> held = fixture.serveInBackground("/serve/x");
    cr_assert_eq(fixture.stats().at("served"), 0);
    cr_assert_eq(fixture.post("/control", { { "silent", false } })->status, 200);
    cr_assert_eq(held.get(), 200);
}

Test(TargetServer, closesWhileRequestsAreHeldBack)
{
    std::future<int> held;
    {
        Fixture fixture;
        fixture.post("/control", { { "freezeMs", 600'000 } });
        held = fixture.serveInBackground("/serve/x");
    }
    cr_assert_eq(held.get(), 0);
}

Test(TargetServer, truncatesAnswers)
{
    Fixture fixture;
    fixture.post("/control", { { "truncateNext", 1 } });
    cr_assert_not(fixture.client.Get("/serve/x?bytes=100000"));
    cr_assert_eq(fixture.client.Get("/serve/x")->status, 200);
    cr_assert_eq(fixture.stats().at("served"), 2);
}

Test(TargetServer, failsAllRequestsWhenConfigured)
{
    Fixture fixture;
    fixture.post("/control", { { "failEverything", true } });
    cr_assert_eq(fixture.client.Get("/serve/x")->status, 500);
    cr_assert_eq(fixture.post("/control", { { "failAll", true } })->status, 400);
}
