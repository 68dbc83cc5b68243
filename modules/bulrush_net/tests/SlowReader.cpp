#include "SlowReader.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>
#include <vector>

SlowReader::SlowReader(std::uint16_t port, const std::string &request)
    : socket(::socket(AF_INET, SOCK_STREAM, 0))
{
    const int receiveBytes = 4096;
    setsockopt(this->socket, SOL_SOCKET, SO_RCVBUF, &receiveBytes, sizeof(receiveBytes));
    const int segmentBytes = 1400;
    setsockopt(this->socket, IPPROTO_TCP, TCP_MAXSEG, &segmentBytes, sizeof(segmentBytes));
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (connect(this->socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0
        || send(this->socket, request.data(), request.size(), MSG_NOSIGNAL) < 0) {
        throw std::runtime_error("the request cannot be sent");
    }
}

SlowReader::~SlowReader()
{
    close(this->socket);
}

void SlowReader::read(std::size_t most)
{
    this->receive(most, MSG_DONTWAIT);
}

void SlowReader::readToEnd()
{
    while (this->receive(4096, 0)) { }
}

std::size_t SlowReader::bodyBytes() const
{
    const std::size_t headEnd = this->received.find("\r\n\r\n");
    return headEnd == std::string::npos ? 0 : this->received.size() - headEnd - 4;
}

bool SlowReader::receive(std::size_t most, int flags)
{
    std::vector<char> buffer(most);
    const ssize_t length = recv(this->socket, buffer.data(), buffer.size(), flags);
    if (length <= 0) {
        return false;
    }
    this->received.append(buffer.data(), static_cast<std::size_t>(length));
    return true;
}
