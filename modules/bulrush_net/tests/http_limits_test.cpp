#include "RunUntil.h"
#include "SlowReader.h"
#include "bulrush_net/bulrush_net.h"

#include <criterion/criterion.h>

using namespace bulrush;

namespace {

constexpr std::uint16_t port = 18671;
constexpr std::size_t bodyBytes = 60'000;

/** Leaves each request unanswered. */
struct SilentServer : HttpServer::Listener
{
    SilentServer(EventLoop &loop, std::uint16_t listenPort, std::size_t budget)
        : server(loop, { "127.0.0.1", listenPort }, limitsWith(budget), *this)
    {
    }

    static HttpServer::Limits limitsWith(std::size_t budget)
    {
        HttpServer::Limits limits;
        limits.bodyBudgetBytes = budget;
        limits.requestsOutliveClients = true;
        return limits;
    }

    void requestArrived(HttpServer::RequestId id, HttpRequest /*request*/) override
    {
        this->last = id;
    }
    void clientDisconnected(HttpServer::RequestId /*id*/) override { ++this->disconnects; }

    HttpServer::RequestId last = 0;
    int disconnects = 0;
    HttpServer server;
};

std::string upload(const std::string &length, const std::string &body)
{
    return "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " + length + "\r\n\r\n" + body;
}

} // namespace

/* Bodies were received at once, whatever memory they took together. */
Test(HttpLimits, bodyWithoutMemoryIsRefusedAndNotDelivered)
{
    EventLoop loop;
    SilentServer server(loop, port, BodyBudget::copies * bodyBytes * 3 / 2);
    const std::string text = upload(std::to_string(bodyBytes), std::string(bodyBytes, 'x'));
    const SlowReader first(port, text);
    runUntil(loop, [&] { return server.last != 0; });
    const auto delivered = server.last;
    const SlowReader second(port, text);
    runUntil(loop, [&] { return server.server.refusals().noMemory == 1; });
    cr_assert_eq(server.last, delivered);
}

/* The memory of a request counted as free when its caller left, while its record was still held. */
Test(HttpLimits, memoryIsReservedUntilTheRequestIsAnswered)
{
    EventLoop loop;
    SilentServer server(loop, port + 1, BodyBudget::copies * bodyBytes * 2);
    {
        const SlowReader caller(port + 1, upload("100", std::string(100, 'x')));
        runUntil(loop, [&] { return server.last != 0; });
    }
    runUntil(loop, [&] { return server.disconnects == 1; });
    cr_assert_eq(server.server.reservedBodyBytes(), 100 * BodyBudget::copies);
    server.server.respond(server.last, {});
    cr_assert_eq(server.server.reservedBodyBytes(), 0U);
}

/* A length that is no number was taken for another one. */
Test(HttpLimits, lengthsBeyondAnyLimitAreRefusedAtTheHeader)
{
    EventLoop loop;
    SilentServer server(loop, port + 2, 0);
    std::uint64_t refused = 0;
    for (const char *length : { "1048577", "-1", "99999999999999999999999" }) {
        const SlowReader caller(port + 2, upload(length, "x"));
        runUntil(loop, [&] { return server.server.refusals().tooLarge == refused + 1; });
        ++refused;
    }
    cr_assert_eq(server.last, 0U);
    runUntil(loop, [&] { return server.server.openConnections() == 0; });
}
