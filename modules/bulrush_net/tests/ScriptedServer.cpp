#include "ScriptedServer.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <stdexcept>
#include <utility>

ScriptedServer::ScriptedServer(std::string bytes)
    : listener(socket(AF_INET, SOCK_STREAM, 0))
    , response(std::move(bytes))
{
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto *generic = reinterpret_cast<sockaddr *>(&address);
    socklen_t length = sizeof(address);
    if (bind(this->listener, generic, length) != 0 || listen(this->listener, 1) != 0
        || getsockname(this->listener, generic, &length) != 0) {
        throw std::runtime_error("no port can be bound for the test");
    }
    this->boundPort = ntohs(address.sin_port);
    this->thread = std::thread([this] { this->serve(); });
}

ScriptedServer::~ScriptedServer()
{
    // Ends an accept() that no client will satisfy any more.
    shutdown(this->listener, SHUT_RDWR);
    this->thread.join();
    close(this->listener);
}

void ScriptedServer::serve() const
{
    const int connection = accept(this->listener, nullptr, nullptr);
    if (connection < 0) {
        return;
    }
    std::string received;
    std::array<char, 4096> buffer {};
    while (received.find("\r\n\r\n") == std::string::npos) {
        const ssize_t count = recv(connection, buffer.data(), buffer.size(), 0);
        if (count <= 0) {
            break;
        }
        received.append(buffer.data(), static_cast<std::size_t>(count));
    }
    send(connection, this->response.data(), this->response.size(), MSG_NOSIGNAL);
    shutdown(connection, SHUT_WR);
    while (recv(connection, buffer.data(), buffer.size(), 0) > 0) { }
    close(connection);
}
