#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace bulrush::soak {

/** What each client of a crowd sends on a connection. */
struct CrowdUpload
{
    /** Sent first, as a whole. */
    std::string head {};
    /** Sent after the head, repeatedly, until so many bytes of it are sent. */
    std::string unit {};
    std::size_t bodyBytes = 0;
    /** How many bytes are sent at a time, all clients in turn. */
    std::size_t pieceBytes = 65'536;
};

/** Many clients that send the same from one thread. Each connects again, a few times, when its
    connection is closed; a client that has sent everything leaves its connection open. */
class CallerCrowd
{
public:
    /** Connects. @throws std::runtime_error without descriptors for the clients */
    CallerCrowd(std::string address, int port, std::size_t clients, CrowdUpload upload);

    /** Closes all connections. */
    ~CallerCrowd();

    CallerCrowd(const CallerCrowd &) = delete;
    CallerCrowd &operator=(const CallerCrowd &) = delete;

    /** Sends until every client has sent everything or was closed too often, for a time at most. */
    void play(std::chrono::seconds longest);

    /** Returns the number of connections that were closed by the server. */
    std::size_t closedCount() const { return this->closedConnections; }

private:
    struct Client
    {
        int socket = -1;
        std::size_t sent = 0;
        int connects = 0;
    };

    void connect(Client &client);
    void close(Client &client);

    /** Sends the next piece and discards answers. @returns whether there is more to do */
    bool advance(Client &client);
    bool sendPiece(Client &client);

    /** Discards what the server sent. @returns whether the connection is still open */
    static bool discardAnswers(const Client &client);
    std::size_t totalBytes() const { return this->upload.head.size() + this->upload.bodyBytes; }

    const std::string address;
    const int port;
    const CrowdUpload upload;
    std::vector<Client> clients;
    std::size_t closedConnections = 0;
};

} // namespace bulrush::soak
