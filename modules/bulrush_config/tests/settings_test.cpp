#include "bulrush_config/bulrush_config.h"

#include <criterion/criterion.h>

using namespace bulrush;

namespace {

const std::string minimal = R"({"schema":"settings/1","node":"entry-1","dataCentre":"tallinn-1",
    "callers":{"address":"127.0.0.1","port":18001},
    "operators":{"address":"127.0.0.1","port":18002},
    "peersListen":{"address":"127.0.0.1","port":18003},
    "platform":[{"address":"127.0.0.1","port":18000}])";

std::string refusal(const std::string &text)
{
    try {
        readSettings(text);
    } catch (const Error &error) {
        return error.what();
    }
    return "accepted";
}

void assertRefusal(const std::string &text, const std::string &words)
{
    const std::string seen = refusal(text);
    cr_assert(seen.find(words) != std::string::npos, "%s", seen.c_str());
}

} // namespace

Test(Settings, minimalFileGetsDefaults)
{
    const NodeSettings settings = readSettings(minimal + "}");
    cr_assert_eq(settings.node, NodeId("entry-1"));
    cr_assert_eq(settings.platform.size(), 1U);
    cr_assert_eq(settings.platform.front().port, 18000);
    cr_assert(settings.times.heartbeat == milliseconds(500));
    cr_assert(settings.peers.empty());
}

Test(Settings, refusalNamesTheField)
{
    assertRefusal(minimal + R"(,"colour":1})", "/colour: found an unknown field, expected only");
    assertRefusal(minimal + R"(,"drainBoundMs":"long"})",
                  R"(/drainBoundMs: found "long", expected integer from 0 to 3600000)");
    assertRefusal(minimal + R"(,"times":{"leaseMs":1}})", "/times/leaseMs: found 1, expected");
    assertRefusal(minimal + R"(,"peers":[{"node":"n","dataCentre":"d","address":"127.0.0.1"}]})",
                  "/peers/0/port: found nothing");
    assertRefusal(minimal + R"(,"peerKey":"a","peerKey":"b"})", "/peerKey: found the field twice");
    assertRefusal(minimal, "the whole text: found a fault at byte");
    assertRefusal("[]", "the whole text: found []");
    assertRefusal(R"({"schema":"settings/9"})", R"(/schema: found "settings/9")");
    assertRefusal(std::string(70'000, ' '), "found 70000 bytes");
    assertRefusal(std::string(1'000, '['), "nested too deeply");
    assertRefusal(minimal + R"(,"peerKey":")" + std::string(2'000, 'x') + "\"}",
                  "/peerKey: found a string of 2000 bytes");
}

Test(Settings, addressesAreIpNumbers)
{
    std::string text = minimal + "}";
    text.replace(text.find("127.0.0.1"), 9, "127.0.0.1.9");
    assertRefusal(text, "/callers/address: found \"127.0.0.1.9\", expected an IP number");
    text.replace(text.find("127.0.0.1.9"), 11, "localhost");
    assertRefusal(text, "/callers/address: found \"localhost\", expected string");
}

Test(Settings, inconsistentTimesAreRefused)
{
    assertRefusal(minimal + R"(,"times":{"heartbeatMs":1000,"peerLostMs":1500}})",
                  "/times/peerLostMs: found 1500, expected more than 2000 (twice heartbeatMs)");
}
