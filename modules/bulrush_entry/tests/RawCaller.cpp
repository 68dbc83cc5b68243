#include "RawCaller.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdlib>
#include <stdexcept>
#include <string_view>

RawCaller::RawCaller(std::uint16_t port)
    : socket(::socket(AF_INET, SOCK_STREAM, 0))
{
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (connect(this->socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        throw std::runtime_error("the port does not accept connections");
    }
}

RawCaller::RawCaller(std::uint16_t port, const std::string &method, const std::string &path)
    : RawCaller(port)
{
    const std::string body = method == "POST" ? "{}" : "";
    this->request = method + " " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: "
            + std::to_string(body.size()) + "\r\n\r\n" + body;
    this->send(this->request);
}

void RawCaller::send(std::string_view bytes) const
{
    if (::send(this->socket, bytes.data(), bytes.size(), MSG_NOSIGNAL) < 0) {
        throw std::runtime_error("the request cannot be sent");
    }
}

void RawCaller::sendAgain()
{
    this->received.clear();
    this->send(this->request);
}

RawCaller::~RawCaller()
{
    close(this->socket);
}

void RawCaller::read()
{
    std::array<char, 4096> buffer {};
    ssize_t length = 0;
    while ((length = recv(this->socket, buffer.data(), buffer.size(), MSG_DONTWAIT)) > 0) {
        this->received.append(buffer.data(), static_cast<std::size_t>(length));
    }
    this->connectionClosed = this->connectionClosed || length == 0;
}

int RawCaller::status() const
{
    constexpr std::string_view lengthName = "content-length: ";
    const std::size_t headEnd = this->received.find("\r\n\r\n");
    const std::size_t lengthAt = this->received.find(lengthName);
    if (headEnd == std::string::npos || lengthAt == std::string::npos) {
        return 0;
    }
    const auto length = static_cast<std::size_t>(
            std::atoi(this->received.c_str() + lengthAt + lengthName.size()));
    const bool complete = this->received.size() == headEnd + 4 + length;
    return complete ? std::atoi(this->received.c_str() + this->received.find(' ')) : 0;
}
