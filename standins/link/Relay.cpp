#include "standins/link/Relay.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <stdexcept>

namespace bulrush::standins {

namespace {

constexpr int waitingConnections = 64;
constexpr std::size_t bufferBytes = 16 * 1024;
constexpr std::chrono::milliseconds pumpPoll(20);

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

int connectTo(std::uint16_t port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in address = loopback(port);
    if (::connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        ::close(socket);
        return -1;
    }
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return socket;
}

bool writeAll(int socket, const char *bytes, ssize_t length)
{
    while (length > 0) {
        const ssize_t written =
                ::send(socket, bytes, static_cast<std::size_t>(length), MSG_NOSIGNAL);
        if (written <= 0) {
            return false;
        }
        bytes += written;
        length -= written;
    }
    return true;
}

} // namespace

Relay::Relay(std::uint16_t listenPort, std::uint16_t target)
    : targetPort(target)
    , listening(::socket(AF_INET, SOCK_STREAM, 0))
{
    const int on = 1;
    ::setsockopt(this->listening, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = loopback(listenPort);
    const auto *generic = reinterpret_cast<const sockaddr *>(&address);
    if (::bind(this->listening, generic, sizeof(address)) != 0
        || ::listen(this->listening, waitingConnections) != 0) {
        ::close(this->listening);
        throw std::runtime_error("port " + std::to_string(listenPort) + " cannot be bound");
    }
    this->acceptor = std::thread([this] { this->acceptAll(); });
}

Relay::~Relay()
{
    this->closing = true;
    ::shutdown(this->listening, SHUT_RDWR);
    this->setCut(true);
    this->acceptor.join();
    ::close(this->listening);
    while (true) {
        this->removeEnded();
        const std::scoped_lock lock(this->mutex);
        if (this->connections.empty()) {
            return;
        }
        std::this_thread::yield();
    }
}

void Relay::setCut(bool isCut)
{
    this->cut = isCut;
    if (!isCut) {
        return;
    }
    const std::scoped_lock lock(this->mutex);
    for (Connection &connection : this->connections) {
        ::shutdown(connection.near, SHUT_RDWR);
        ::shutdown(connection.far, SHUT_RDWR);
    }
}

void Relay::silenceOpenConnections()
{
    const std::scoped_lock lock(this->mutex);
    for (Connection &connection : this->connections) {
        connection.silent = true;
    }
}

void Relay::acceptAll()
{
    while (!this->closing) {
        const int near = ::accept(this->listening, nullptr, nullptr);
        if (near >= 0 && !this->cut) {
            this->open(near);
        } else if (near >= 0) {
            ::close(near);
        }
        this->removeEnded();
    }
}

void Relay::open(int near)
{
    const int far = connectTo(this->targetPort);
    if (far < 0) {
        ::close(near);
        return;
    }
    const int on = 1;
    ::setsockopt(near, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const std::scoped_lock lock(this->mutex);
    Connection &connection = this->connections.emplace_back();
    connection.near = near;
    connection.far = far;
    std::thread([this, &connection, near, far] { this->pump(connection, near, far); }).detach();
    std::thread([this, &connection, near, far] { this->pump(connection, far, near); }).detach();
}

void Relay::pump(Connection &connection, int from, int to)
{
    std::array<char, bufferBytes> buffer {};
    while (true) {
        const ssize_t length = ::recv(from, buffer.data(), buffer.size(), 0);
        if (length <= 0) {
            break;
        }
        if (!connection.silent && !writeAll(to, buffer.data(), length)) {
            break;
        }
    }
    // The end of a silent connection does not get through either.
    while (connection.silent && !this->cut) {
        std::this_thread::sleep_for(pumpPoll);
    }
    ::shutdown(from, SHUT_RDWR);
    ::shutdown(to, SHUT_RDWR);
    --connection.runningPumps;
}

void Relay::removeEnded()
{
    const std::scoped_lock lock(this->mutex);
    for (auto at = this->connections.begin(); at != this->connections.end();) {
        if (at->runningPumps > 0) {
            ++at;
            continue;
        }
        ::close(at->near);
        ::close(at->far);
        at = this->connections.erase(at);
    }
}

} // namespace bulrush::standins
