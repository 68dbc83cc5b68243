#include "bulrush_core/bulrush_core.h"
#include "bulrush_node/front/FrontTask.h"

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <thread>

using namespace bulrush;

namespace {

/** Sends a keyed request to a front task that never receives the result of the key claim.
    @returns the answer
*/
HttpResponse callWithUndecidedKey(std::uint16_t port, std::string_view firstTry)
{
    EventLoop loop;
    const SystemClock clock;
    NodeMetrics metrics;
    EventLog events("test");
    FrontSettings settings;
    settings.callers = { "127.0.0.1", port };
    FrontTask front(loop, clock, settings, metrics, events, [](const FrontReport &) {});
    FrontConfiguration configuration;
    configuration.services[ServiceId("review")] = {};
    front.handle(configuration);

    HttpCaller caller(loop, 1);
    HttpRequest request;
    request.method = "POST";
    request.path = "/services/review/cut";
    request.headers = { { "idempotency-key", "1700000000-k" },
                        { "bulrush-deadline-ms", "20" },
                        { "bulrush-first-try", std::string(firstTry) } };
    std::optional<CallResult> result;
    caller.call(settings.callers, std::move(request), seconds(30),
                [&result](CallResult answer) { result = std::move(answer); });
    while (!result) {
        loop.runOnce();
    }
    cr_assert(result->response.has_value());
    return *result->response;
}

} // namespace

Test(FrontTask, answersNotRunToAFirstTryWhoseKeyIsUndecided)
{
    cr_assert_eq(callWithUndecidedKey(18121, "1").status, 503);
}

Test(FrontTask, answersUnknownToARepeatWhoseKeyIsUndecided)
{
    cr_assert_eq(callWithUndecidedKey(18122, "0").status, 504);
}

namespace {

/** A caller that keeps its connection, on a socket of its own outside the event loop. */
class KeptConnection
{
public:
    explicit KeptConnection(std::uint16_t port)
        : socket(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address = {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        cr_assert_eq(connect(this->socket, reinterpret_cast<sockaddr *>(&address), sizeof(address)),
                     0);
    }
    ~KeptConnection() { close(this->socket); }

    KeptConnection(const KeptConnection &) = delete;
    KeptConnection &operator=(const KeptConnection &) = delete;

    void sendRequest()
    {
        constexpr std::string_view request = "GET /services/review/cut HTTP/1.1\r\nHost: h\r\n\r\n";
        this->received.clear();
        cr_assert_gt(send(this->socket, request.data(), request.size(), MSG_NOSIGNAL), 0);
    }

    /** Reads what has arrived. @returns whether the last request has been answered in full */
    bool answered()
    {
        constexpr std::string_view lengthName = "content-length: ";
        std::array<char, 4096> buffer {};
        const ssize_t length = recv(this->socket, buffer.data(), buffer.size(), MSG_DONTWAIT);
        this->received.append(buffer.data(), length > 0 ? static_cast<std::size_t>(length) : 0);
        const std::size_t lengthAt = this->received.find(lengthName);
        const std::size_t headEnd = this->received.find("\r\n\r\n");
        return lengthAt < headEnd && headEnd != std::string::npos
                && this->received.size() - headEnd - 4
                == std::stoul(this->received.substr(lengthAt + lengthName.size()));
    }

private:
    int socket = -1;
    std::string received;
};

} // namespace

/* The loop was ended when the front task had been idle: a request was read in its last pass, and
   its connection was closed without an answer. */
Test(FrontTask, aRequestThatArrivesWhileAnIdleNodeStopsIsAnswered)
{
    std::optional<EventLoop> loop(std::in_place);
    const SystemClock clock;
    NodeMetrics metrics;
    EventLog events("test");
    FrontSettings settings;
    settings.callers = { "127.0.0.1", 18641 };
    std::optional<FrontTask> front(std::in_place, *loop, clock, settings, metrics, events,
                                   [&loop](const FrontReport &) { loop->stop(); });
    KeptConnection caller(settings.callers.port);
    caller.sendRequest();
    while (!caller.answered()) {
        loop->runOnce();
    }
    front->handle(DrainFront { seconds(20) });
    bool outOfRotation = false;
    loop->schedule(milliseconds(2030), [&outOfRotation] { outOfRotation = true; });
    while (!outOfRotation) {
        loop->runOnce();
    }
    // The check for open requests precedes the sockets in the next pass.
    std::this_thread::sleep_for(milliseconds(100));
    caller.sendRequest();
    loop->run();
    front.reset();
    loop.reset();
    cr_assert(caller.answered());
}
