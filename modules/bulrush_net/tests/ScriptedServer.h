#pragma once

#include <cstdint>
#include <string>
#include <thread>

/**
    A TCP server for tests that answers the first request of its only connection with given bytes
   and closes the connection.
*/
class ScriptedServer
{
public:
    /** Listens on a free port of 127.0.0.1.
        @param bytes what to send once a request's headers have arrived */
    explicit ScriptedServer(std::string bytes);

    /** Waits until the connection was served. */
    ~ScriptedServer();

    ScriptedServer(const ScriptedServer &) = delete;
    ScriptedServer &operator=(const ScriptedServer &) = delete;

    std::uint16_t port() const { return this->boundPort; }

private:
    void serve() const;

    int listener = -1;
    std::uint16_t boundPort = 0;
    const std::string response;
    std::thread thread;
};
