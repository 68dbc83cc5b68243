#include "RunUntil.h"
#include "ScriptedServer.h"
#include "SlowReader.h"
#include "UnacceptingPort.h"
#include "bulrush_core/bulrush_core.h"
#include "bulrush_net/bulrush_net.h"

#include <criterion/criterion.h>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <thread>
#include <utility>

using namespace bulrush;

namespace {

/** Echoes each request, with special responses for /silent, /close, /large,
    /large-close and /sized-close. */
struct EchoServer : HttpServer::Listener
{
    explicit EchoServer(EventLoop &loop, std::uint16_t port)
        : server(loop, { "127.0.0.1", port }, { 1000, 64 }, *this)
    {
    }

    void requestArrived(HttpServer::RequestId id, HttpRequest request) override
    {
        ++this->arrivals;
        if (request.path == "/silent") {
            return;
        }
        HttpResponse response;
        response.headers.push_back({ "bulrush-load", "3/8" });
        response.body =
                request.method + " " + request.path + "?" + request.query + " " + request.body;
        if (request.path == "/close" || request.path == "/large-close") {
            response.headers.push_back({ "connection", "close" });
        }
        if (request.path == "/large" || request.path == "/large-close") {
            response.body.assign(300'000, 'x');
        }
        if (request.path == "/sized-close") {
            response.headers.push_back({ "connection", "close" });
            response.body.assign(this->sizedBytes, 'x');
        }
        this->server.respond(id, std::move(response));
    }

    void clientDisconnected(HttpServer::RequestId /*id*/) override { ++this->disconnects; }

    /** Length of the response to /sized-close. */
    std::size_t sizedBytes = 0;
    int arrivals = 0;
    int disconnects = 0;
    HttpServer server;
};

struct RecordingClient : HttpClient::Listener
{
    explicit RecordingClient(EventLoop &loop)
        : client(loop, { 400'000, seconds(30), 2 }, *this)
    {
    }

    bool requestStarting(HttpClient::ExchangeId id) override
    {
        this->started.insert(id);
        return true;
    }

    void responseArrived(HttpClient::ExchangeId id, HttpResponse response) override
    {
        this->responses[id] = std::move(response);
        if (this->onResponse) {
            this->onResponse(id);
        }
    }

    void exchangeFailed(HttpClient::ExchangeId id, ExchangeFailure failure,
                        std::string_view /*reason*/) override
    {
        this->failures[id] = failure;
    }

    std::size_t ended() const { return this->responses.size() + this->failures.size(); }

    std::function<void(HttpClient::ExchangeId)> onResponse;
    std::set<HttpClient::ExchangeId> started;
    std::map<HttpClient::ExchangeId, HttpResponse> responses;
    std::map<HttpClient::ExchangeId, ExchangeFailure> failures;
    HttpClient client;
};

HttpRequest post(std::string_view path, std::string_view body)
{
    HttpRequest request;
    request.method = "POST";
    request.path = path;
    request.query = "a=1&b=2";
    request.body = body;
    return request;
}

} // namespace

Test(Http, requestsOnOneConnectionGetTheirOwnAnswers)
{
    EventLoop loop;
    EchoServer server(loop, 18101);
    RecordingClient client(loop);
    for (HttpClient::ExchangeId id = 1; id <= 50; ++id) {
        client.client.send(id, { "127.0.0.1", 18101 }, 0, post("/echo", std::to_string(id)));
        runUntil(loop, [&] { return client.ended() == id; });
        cr_assert_eq(client.responses[id].body, "POST /echo?a=1&b=2 " + std::to_string(id));
    }
    cr_assert_eq(headerValue(client.responses[1].headers, "bulrush-load"), "3/8");
    cr_assert_eq(server.server.acceptedConnections(), 1U, "an idle connection was not used again");
}

Test(Http, connectionClosedByPeerIsNotReused)
{
    EventLoop loop;
    EchoServer server(loop, 18105);
    RecordingClient client(loop);
    const Endpoint endpoint { "127.0.0.1", 18105 };
    client.onResponse = [&](HttpClient::ExchangeId id) {
        if (id < 20) {
            client.client.send(id + 1, endpoint, 0, post("/close", std::to_string(id + 1)));
        }
    };
    client.client.send(1, endpoint, 0, post("/close", "1"));
    runUntil(loop, [&] { return client.ended() == 20 || !client.failures.empty(); });
    cr_assert(client.failures.empty(), "a request was lost with the connection");
    cr_assert_eq(client.responses[20].body, "POST /close?a=1&b=2 20");
}

Test(Http, responseLargerThanOneReadArrivesComplete)
{
    EventLoop loop;
    EchoServer server(loop, 18102);
    RecordingClient client(loop);
    client.client.send(1, { "127.0.0.1", 18102 }, 0, post("/large", "x"));
    runUntil(loop, [&] { return client.ended() == 1; });
    cr_assert_eq(client.responses[1].body.size(), 300'000U);
}

/* A node that stops closes each connection after its answer: the answer must not be cut off. */
Test(Http, responseThatClosesItsConnectionArrivesComplete)
{
    EventLoop loop;
    EchoServer server(loop, 18106);
    RecordingClient client(loop);
    client.client.send(1, { "127.0.0.1", 18106 }, 0, post("/large-close", "x"));
    runUntil(loop, [&] { return client.ended() == 1; });
    cr_assert_eq(client.responses[1].body.size(), 300'000U);
}

namespace {

/** Ends a server once it has no open request, while a caller still reads the response to its last.
    @returns the number of bytes of the body that the caller gets */
std::size_t bytesReceivedOf(std::size_t bodyBytes, std::uint16_t port)
{
    auto loop = std::make_unique<EventLoop>();
    auto server = std::make_unique<EchoServer>(*loop, port);
    server->sizedBytes = bodyBytes;
    SlowReader reader(port, "GET /sized-close HTTP/1.1\r\nHost: h\r\n\r\n");
    runUntil(*loop, [&] { return server->server.openRequests() > 0; });
    while (server->server.openRequests() > 0) {
        loop->runOnce();
        reader.read(1000);
    }
    server.reset();
    loop.reset();
    reader.readToEnd();
    return reader.bodyBytes();
}

} // namespace

/* A response of whose last part the socket had taken only some was held for sent: a process that
   ended then closed the caller's connection in the middle of it. */
Test(Http, aResponseIsOpenUntilTheSocketHasTakenAllOfIt)
{
    constexpr std::size_t serverChunk = 32768;
    for (std::uint16_t chunks = 1; chunks <= 12; ++chunks) {
        const std::size_t bytes = chunks * serverChunk;
        cr_expect_eq(bytesReceivedOf(bytes, 18660 + chunks), bytes, "cut: %zu bytes", bytes);
    }
}

Test(Http, refusedConnectionCountsAsNotSent)
{
    EventLoop loop;
    RecordingClient client(loop);
    client.client.send(1, { "127.0.0.1", 18199 }, 0, post("/echo", "x"));
    runUntil(loop, [&] { return client.ended() == 1; });
    cr_assert(client.failures.at(1) == ExchangeFailure::NotSent);
    cr_assert(client.started.empty());
}

Test(Http, oversizedRequestIsRejectedAndServerContinues)
{
    EventLoop loop;
    EchoServer server(loop, 18103);
    RecordingClient client(loop);
    client.client.send(1, { "127.0.0.1", 18103 }, 0, post("/echo", std::string(2000, 'y')));
    runUntil(loop, [&] { return client.ended() == 1; });
    cr_assert_eq(client.responses[1].status, 413);
    client.client.send(2, { "127.0.0.1", 18103 }, 0, post("/echo", "z"));
    runUntil(loop, [&] { return client.ended() == 2; });
    cr_assert_eq(client.responses[2].status, 200);
    cr_assert_eq(server.arrivals, 1);
}

Test(Http, abandonedExchangeDoesNotBlockNextOnSameConnection)
{
    EventLoop loop;
    EchoServer server(loop, 18104);
    RecordingClient client(loop);
    client.client.send(1, { "127.0.0.1", 18104 }, 0, post("/silent", "x"));
    runUntil(loop, [&] { return server.arrivals == 1; });
    client.client.abandon(1);
    client.client.send(2, { "127.0.0.1", 18104 }, 0, post("/echo", "y"));
    runUntil(loop, [&] { return client.ended() == 1 && server.disconnects == 1; });
    cr_assert_eq(client.responses.count(2), 1U);
}

/* Peers that end a response by closing the connection, or send it in chunks, are answered like any
   other; the client reads the bytes itself, so each form needs its test. */
Test(Http, responsesOfAllLengthsAreRead)
{
    const std::vector<std::pair<std::string, std::string>> cases {
        { "HTTP/1.1 200 OK\r\n\r\nuntil the end", "until the end" },
        { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
          "abcde" },
        { "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfour", "four" },
        { "HTTP/1.1 204 No Content\r\n\r\n", "" },
    };
    for (const auto &[bytes, body] : cases) {
        // Waits for the client's sockets to be closed, so it must be destroyed after the loop.
        const ScriptedServer server(bytes);
        EventLoop loop;
        RecordingClient client(loop);
        client.client.send(1, { "127.0.0.1", server.port() }, 0, post("/x", "y"));
        runUntil(loop, [&] { return client.ended() == 1; });
        cr_assert_eq(client.responses.count(1), 1U, "%s", bytes.c_str());
        cr_assert_eq(client.responses[1].body, body);
    }
}

/* A malformed or cut response must not be taken for an answer, nor end the process: the request may
   have had an effect. */
Test(Http, malformedAndCutResponsesCountAsLost)
{
    const std::vector<std::string> cases {
        "",
        "no HTTP at all",
        "HTTP/1.1 abc\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nfour",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        std::string(100'000, 'x'),
    };
    for (const std::string &bytes : cases) {
        // Waits for the client's sockets to be closed, so it must be destroyed after the loop.
        const ScriptedServer server(bytes);
        EventLoop loop;
        RecordingClient client(loop);
        client.client.send(1, { "127.0.0.1", server.port() }, 0, post("/x", "y"));
        runUntil(loop, [&] { return client.ended() == 1; });
        cr_assert_eq(client.failures.count(1), 1U, "%s", bytes.substr(0, 80).c_str());
        cr_assert(client.failures[1] == ExchangeFailure::Lost);
    }
}

/* A peer sends more than the response. The rest answers nothing: were it taken for the response to
   the next request on the connection, the caller would be told of an effect that the request did
   not have. */
Test(Http, bytesAfterAResponseAreNotTheNextOne)
{
    const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n";
    const ScriptedServer server(response + "a" + response + "b");
    EventLoop loop;
    RecordingClient client(loop);
    const Endpoint endpoint { "127.0.0.1", server.port() };
    client.client.send(1, endpoint, 0, post("/x", "y"));
    runUntil(loop, [&] { return client.ended() == 1; });
    cr_assert_eq(client.responses[1].body, "a");
    client.client.send(2, endpoint, 0, post("/x", "y"));
    bool waited = false;
    loop.schedule(milliseconds(200), [&waited] { waited = true; });
    runUntil(loop, [&] { return waited; });
    cr_assert_not(client.responses.contains(2), "the rest was taken for a response");
    client.client.abandon(2);
}

/* A call that waited for its connection until the time-out has sent nothing. If it counted as lost,
   its sender would have to find out first whether it took effect. */
Test(Http, callThatNeverWasSentIsNotLost)
{
    EventLoop loop;
    EchoServer server(loop, 18141);
    HttpCaller caller(loop, 1);
    std::optional<ExchangeFailure> sent;
    std::optional<ExchangeFailure> waiting;
    const Endpoint endpoint { "127.0.0.1", 18141 };
    caller.call(endpoint, post("/silent", "x"), milliseconds(300),
                [&sent](const CallResult &result) { sent = result.failure; });
    caller.call(endpoint, post("/echo", "x"), milliseconds(100),
                [&waiting](const CallResult &result) { waiting = result.failure; });
    runUntil(loop, [&] { return sent && waiting; });
    cr_assert(*waiting == ExchangeFailure::NotSent);
    cr_assert(*sent == ExchangeFailure::Lost);
}

/* A machine that is gone does not answer the connection's first packet. A call to it that times out
   has sent nothing, so it must not be treated as one that may have had an effect. */
Test(Http, callWhoseConnectionNeverOpenedIsNotLost)
{
    const UnacceptingPort port(18143);
    EventLoop loop;
    HttpCaller caller(loop, 1);
    std::optional<CallResult> result;
    caller.call({ "127.0.0.1", 18143 }, post("/echo", "x"), milliseconds(300),
                [&result](const CallResult &each) { result = each; });
    runUntil(loop, [&] { return result.has_value(); });
    cr_assert(result->failure == ExchangeFailure::NotSent);
}

/* A process is paused, or gets no processor time, for longer than a call may go without progress.
   The answer that arrived meanwhile must be read before the call is given up. */
Test(Http, anAnswerThatArrivedDuringAPauseIsNoStall)
{
    const ScriptedServer server("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
    EventLoop loop;
    HttpCaller caller(loop, 1);
    bool sent = false;
    std::optional<CallResult> result;
    caller.call(
            { "127.0.0.1", server.port() }, post("/echo", "x"),
            CallTimeLimits { milliseconds(200), seconds(30) },
            [&result](const CallResult &each) { result = each; },
            [&sent] {
                sent = true;
                return true;
            });
    runUntil(loop, [&] { return sent; });
    std::this_thread::sleep_for(milliseconds(600));
    runUntil(loop, [&] { return result.has_value(); });
    cr_assert(result->succeeded(), "%s", result->reason.c_str());
}

/* A process is paused after it has queued an order, and goes on when the order's validity is over.
   The order must not go out any more, and its sender must learn that it was not sent. */
Test(Http, callWhoseTimeIsOverBeforeItIsSentStaysUnsent)
{
    EventLoop loop;
    EchoServer server(loop, 18142);
    HttpCaller caller(loop, 1);
    bool valid = true;
    std::vector<CallResult> results;
    const auto record = [&results](const CallResult &result) { results.push_back(result); };
    const auto stillValid = [&valid] { return valid; };
    const Endpoint endpoint { "127.0.0.1", 18142 };
    caller.call(endpoint, post("/echo", "1"), seconds(5), record, stillValid);
    runUntil(loop, [&] { return results.size() == 1; });
    cr_assert(results[0].succeeded());
    caller.call(endpoint, post("/echo", "2"), seconds(5), record, stillValid);
    valid = false;
    runUntil(loop, [&] { return results.size() == 2; });
    cr_assert_not(results[1].succeeded());
    cr_assert(results[1].failure == ExchangeFailure::NotSent);
    cr_assert_eq(server.arrivals, 1);
}
