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

constexpr int listenBacklog = 64;
constexpr std::size_t bufferBytes = 16 * 1024;
constexpr std::chrono::milliseconds silentPollInterval(20);

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
    const auto *genericAddress = reinterpret_cast<const sockaddr *>(&address);
    if (::bind(this->listening, genericAddress, sizeof(address)) != 0
        || ::listen(this->listening, listenBacklog) != 0) {
        ::close(this->listening);
        throw std::runtime_error("port " + std::to_string(listenPort) + " cannot be bound");
    }
    this->acceptor = std::thread([this] { this->acceptConnections(); });
}

Relay::~Relay()
{
    this->closing = true;
    ::shutdown(this->listening, SHUT_RDWR);
    this->setCut(true);
    this->acceptor.join();
    ::close(this->listening);
    while (true) {
        this->removeClosedConnections();
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
        ::shutdown(connection.client, SHUT_RDWR);
        ::shutdown(connection.upstream, SHUT_RDWR);
    }
}

void Relay::silenceOpenConnections()
{
    const std::scoped_lock lock(this->mutex);
    for (Connection &connection : this->connections) {
        connection.silent = true;
    }
}

void Relay::acceptConnections()
{
    while (!this->closing) {
        const int client = ::accept(this->listening, nullptr, nullptr);
        if (client >= 0 && !this->cut) {
            this->openConnection(client);
        } else if (client >= 0) {
            ::close(client);
        }
        this->removeClosedConnections();
    }
}

void Relay::openConnection(int client)
{
    const int upstream = connectTo(this->targetPort);
    if (upstream < 0) {
        ::close(client);
        return;
    }
    const int on = 1;
    ::setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const std::scoped_lock lock(this->mutex);
    Connection &connection = this->connections.emplace_back();
    connection.client = client;
    connection.upstream = upstream;
    std::thread([this, &connection, client, upstream] {
        this->forward(connection, client, upstream);
    }).detach();
    std::thread([this, &connection, client, upstream] {
        this->forward(connection, upstream, client);
    }).detach();
}

void Relay::forward(Connection &connection, int from, int to)
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
    // The close of a silent connection is not forwarded either, until the link is cut.
    while (connection.silent && !this->cut) {
        std::this_thread::sleep_for(silentPollInterval);
    }
    ::shutdown(from, SHUT_RDWR);
    ::shutdown(to, SHUT_RDWR);
    --connection.activeForwarders;
}

void Relay::removeClosedConnections()
{
    const std::scoped_lock lock(this->mutex);
    for (auto at = this->connections.begin(); at != this->connections.end();) {
        if (at->activeForwarders > 0) {
            ++at;
            continue;
        }
        ::close(at->client);
        ::close(at->upstream);
        at = this->connections.erase(at);
    }
}

} // namespace bulrush::standins
