#pragma once

#include <cstdint>
#include <vector>

/** A port of 127.0.0.1 for tests whose queue of new connections is full, so that further ones are
   not opened. */
class UnacceptingPort
{
public:
    explicit UnacceptingPort(std::uint16_t port);
    ~UnacceptingPort();

    UnacceptingPort(const UnacceptingPort &) = delete;
    UnacceptingPort &operator=(const UnacceptingPort &) = delete;

private:
    /** The listening socket, then those that fill its queue. */
    std::vector<int> sockets;
};
