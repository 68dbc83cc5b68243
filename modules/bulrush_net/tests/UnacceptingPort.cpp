#include "UnacceptingPort.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>

namespace {

/** More than the kernel queues for a listener that asked for a queue of one. */
constexpr int connectionsToFill = 8;

} // namespace

UnacceptingPort::UnacceptingPort(std::uint16_t port)
{
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const auto *generic = reinterpret_cast<const sockaddr *>(&address);
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    this->sockets.push_back(listener);
    const int enable = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof(enable));
    if (bind(listener, generic, sizeof(address)) != 0 || listen(listener, 1) != 0) {
        throw std::runtime_error("the test's port cannot be bound");
    }
    for (int count = 0; count < connectionsToFill; ++count) {
        const int filler = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
        this->sockets.push_back(filler);
        // Not awaited: those that find the queue full stay half open.
        static_cast<void>(connect(filler, generic, sizeof(address)));
    }
}

UnacceptingPort::~UnacceptingPort()
{
    for (const int each : this->sockets) {
        close(each);
    }
}
