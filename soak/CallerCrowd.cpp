#include "soak/CallerCrowd.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <stdexcept>
#include <string_view>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace bulrush::soak {

namespace {

/** How often a client connects at most. */
constexpr int maxConnects = 3;

/** Time between two pieces of a client. */
constexpr std::chrono::milliseconds roundInterval { 5 };

} // namespace

CallerCrowd::CallerCrowd(std::string serverAddress, int serverPort, std::size_t count,
                         CrowdUpload crowdUpload)
    : address(std::move(serverAddress))
    , port(serverPort)
    , upload(std::move(crowdUpload))
    , clients(count)
{
    for (Client &client : this->clients) {
        this->connect(client);
    }
}

CallerCrowd::~CallerCrowd()
{
    for (Client &client : this->clients) {
        this->close(client);
    }
}

void CallerCrowd::connect(Client &client)
{
    client.socket = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (client.socket < 0) {
        throw std::runtime_error("no descriptor for a client");
    }
    client.sent = 0;
    ++client.connects;
    sockaddr_in server {};
    server.sin_family = AF_INET;
    server.sin_port = htons(static_cast<std::uint16_t>(this->port));
    inet_pton(AF_INET, this->address.c_str(), &server.sin_addr);
    // An error shows when the socket is written to.
    [[maybe_unused]] const int result =
            ::connect(client.socket, reinterpret_cast<const sockaddr *>(&server), sizeof(server));
}

void CallerCrowd::close(Client &client)
{
    if (client.socket >= 0) {
        ::close(client.socket);
        client.socket = -1;
    }
}

void CallerCrowd::play(std::chrono::seconds longest)
{
    const auto end = std::chrono::steady_clock::now() + longest;
    bool more = true;
    while (more && std::chrono::steady_clock::now() < end) {
        more = false;
        for (Client &client : this->clients) {
            more = this->advance(client) || more;
        }
        std::this_thread::sleep_for(roundInterval);
    }
}

bool CallerCrowd::advance(Client &client)
{
    if (client.socket < 0) {
        return false;
    }
    if (this->sendPiece(client) && discardAnswers(client)) {
        return client.sent < this->totalBytes();
    }
    this->close(client);
    ++this->closedConnections;
    if (client.connects < maxConnects) {
        this->connect(client);
    }
    return client.socket >= 0;
}

bool CallerCrowd::sendPiece(Client &client)
{
    if (client.sent == this->totalBytes()) {
        return true;
    }
    const std::string &head = this->upload.head;
    std::string piece;
    if (client.sent < head.size()) {
        piece = head.substr(client.sent);
    }
    const std::size_t inPieces = client.sent + piece.size();
    const std::size_t wanted =
            std::min(piece.size() + this->upload.pieceBytes, this->totalBytes() - client.sent);
    std::size_t at =
            this->upload.unit.empty() ? 0 : (inPieces - head.size()) % this->upload.unit.size();
    while (piece.size() < wanted) {
        piece.append(this->upload.unit, at, wanted - piece.size());
        at = 0;
    }
    const auto written = send(client.socket, piece.data(), piece.size(), MSG_NOSIGNAL);
    if (written < 0) {
        return errno == EAGAIN || errno == EWOULDBLOCK || errno == ENOTCONN;
    }
    client.sent += static_cast<std::size_t>(written);
    return true;
}

bool CallerCrowd::discardAnswers(const Client &client)
{
    std::array<char, 4096> answer {};
    const auto received = recv(client.socket, answer.data(), answer.size(), 0);
    if (received < 0) {
        return errno == EAGAIN || errno == EWOULDBLOCK || errno == ENOTCONN;
    }
    return received > 0;
}

} // namespace bulrush::soak
