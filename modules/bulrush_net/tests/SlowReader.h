#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

/** A caller with a small receive buffer and the segments of an Ethernet, on a socket of its own
    outside the event loop. */
class SlowReader
{
public:
    /** Connects to a port of 127.0.0.1 and sends a request. */
    SlowReader(std::uint16_t port, const std::string &request);
    ~SlowReader();

    SlowReader(const SlowReader &) = delete;
    SlowReader &operator=(const SlowReader &) = delete;

    /** Reads up to a number of bytes of what has arrived, without waiting. */
    void read(std::size_t most);

    /** Reads until the connection is closed. */
    void readToEnd();

    /** Returns how many bytes of the response's body have been read. */
    std::size_t bodyBytes() const;

private:
    /** @returns whether there may be more */
    bool receive(std::size_t most, int flags);

    int socket = -1;
    std::string received;
};
