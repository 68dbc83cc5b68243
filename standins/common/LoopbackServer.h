#pragma once

#include <httplib.h>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace bulrush::standins {

/**
    An HTTP server on the loopback address, whose handlers may close the connection instead of
    answering.

    A handler that throws a JSON error or a std::logic_error (a request that does not match the
    interface) answers 400.
*/
class LoopbackServer : public httplib::Server
{
public:
    LoopbackServer();
    ~LoopbackServer() override;

    LoopbackServer(const LoopbackServer &) = delete;
    LoopbackServer &operator=(const LoopbackServer &) = delete;

    /**
        Binds the port, 0 for any free one, and serves on its own thread. Call it once, after
        all handlers are set.

        @returns the port
        @throws std::runtime_error when the port cannot be bound
    */
    int start(int port);

    /** Closes all connections and waits until every handler has returned. */
    void close();

    /** Closes the connection of the current request without an answer. */
    static void dropConnection();

    /** Sends only the first half of the answer's body, then closes the connection. */
    static void truncate(httplib::Response &answer);

private:
    bool process_and_close_socket(socket_t sock) override;
    void serve(socket_t sock);

    std::mutex mutex;
    std::set<socket_t> openSockets;
    bool closing = false;
    std::thread listener;
};

/** Answers with a JSON value. */
void answerJson(httplib::Response &answer, const nlohmann::json &value, int status = 200);

/** Parses the body of a request. @throws nlohmann::json::exception */
nlohmann::json parseBody(const httplib::Request &request);

/**
    Returns a query parameter as an integer, clamped to 0 to `max`, or the fallback when it is
    missing.

    @throws std::logic_error when it is not a number
*/
std::int64_t numberParameter(const httplib::Request &request, const std::string &name,
                             std::int64_t fallback, std::int64_t max);

/** Returns the settings with the changes. @throws std::invalid_argument for unknown settings */
nlohmann::json withChanges(nlohmann::json settings, const nlohmann::json &changes);

} // namespace bulrush::standins
