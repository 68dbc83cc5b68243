#include "standins/common/ConnectionStream.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>

namespace bulrush::standins {

namespace {

constexpr int ioTimeoutMs = 10'000;

/** The connection that this thread is serving; request handlers have no other access to it. */
thread_local ConnectionStream *currentConnection = nullptr;

bool waitFor(socket_t socket, short events, int timeoutMs)
{
    pollfd entry { socket, events, 0 };
    int ready = -1;
    do {
        ready = poll(&entry, 1, timeoutMs);
    } while (ready < 0 && errno == EINTR);
    return ready > 0;
}

void formatAddress(const sockaddr_in &address, std::string &ip, int &port)
{
    std::array<char, INET_ADDRSTRLEN> text {};
    inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
    ip = text.data();
    port = ntohs(address.sin_port);
}

} // namespace

ConnectionStream::ConnectionStream(socket_t socket)
    : connection(socket)
{
    currentConnection = this;
}

ConnectionStream::~ConnectionStream()
{
    currentConnection = nullptr;
}

void ConnectionStream::dropCurrent()
{
    if (currentConnection != nullptr) {
        currentConnection->dropped = true;
    }
}

bool ConnectionStream::waitReadable(int timeoutMs) const
{
    return this->bufferBegin < this->bufferEnd || waitFor(this->connection, POLLIN, timeoutMs);
}

bool ConnectionStream::is_readable() const
{
    return this->waitReadable(ioTimeoutMs);
}

bool ConnectionStream::is_writable() const
{
    return !this->dropped && waitFor(this->connection, POLLOUT, ioTimeoutMs);
}

ssize_t ConnectionStream::read(char *ptr, std::size_t size)
{
    if (this->bufferBegin == this->bufferEnd) {
        const ssize_t received = this->fillBuffer();
        if (received <= 0) {
            return received;
        }
    }
    const std::size_t count = std::min(size, this->bufferEnd - this->bufferBegin);
    std::copy_n(this->buffer.data() + this->bufferBegin, count, ptr);
    this->bufferBegin += count;
    return static_cast<ssize_t>(count);
}

ssize_t ConnectionStream::fillBuffer()
{
    if (!this->is_readable()) {
        return -1;
    }
    const ssize_t received = recv(this->connection, this->buffer.data(), this->buffer.size(), 0);
    this->bufferBegin = 0;
    this->bufferEnd = received > 0 ? static_cast<std::size_t>(received) : 0;
    return received;
}

ssize_t ConnectionStream::write(const char *ptr, std::size_t size)
{
    if (!this->is_writable()) {
        return -1;
    }
    return send(this->connection, ptr, size, MSG_NOSIGNAL);
}

void ConnectionStream::get_remote_ip_and_port(std::string &ip, int &port) const
{
    sockaddr_in address {};
    socklen_t length = sizeof(address);
    getpeername(this->connection, reinterpret_cast<sockaddr *>(&address), &length);
    formatAddress(address, ip, port);
}

void ConnectionStream::get_local_ip_and_port(std::string &ip, int &port) const
{
    sockaddr_in address {};
    socklen_t length = sizeof(address);
    getsockname(this->connection, reinterpret_cast<sockaddr *>(&address), &length);
    formatAddress(address, ip, port);
}

} // namespace bulrush::standins
