#pragma once

#include <cstdint>
#include <string>
#include <string_view>

/** A caller that sends one request on a socket of its own, outside the event loop under test. */
class RawCaller
{
public:
    /** Connects to a port of 127.0.0.1 and sends a request. */
    RawCaller(std::uint16_t port, const std::string &method, const std::string &path);

    /** Connects to a port of 127.0.0.1 and sends nothing. */
    explicit RawCaller(std::uint16_t port);
    ~RawCaller();

    RawCaller(const RawCaller &) = delete;
    RawCaller &operator=(const RawCaller &) = delete;

    /** Sends the request again on the same connection, and forgets the response to the last one. */
    void sendAgain();

    /** Sends any bytes. @throws std::runtime_error when the connection is closed */
    void send(std::string_view bytes) const;

    /** Reads what has arrived, without waiting. */
    void read();

    /** Returns the status of the response once it has arrived in full, else 0. */
    int status() const;

    /** Returns whether the server has closed the connection. */
    bool closed() const { return this->connectionClosed; }

private:
    int socket = -1;
    std::string request;
    std::string received;
    bool connectionClosed = false;
};
