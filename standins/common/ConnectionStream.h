#pragma once

#include <httplib.h>

#include <array>
#include <cstddef>
#include <string>

namespace bulrush::standins {

/** Stream of an accepted connection, for the HTTP library to read and write. */
class ConnectionStream : public httplib::Stream
{
public:
    /** @param socket a connected socket; the caller closes it */
    explicit ConnectionStream(socket_t socket);
    ~ConnectionStream() override;

    ConnectionStream(const ConnectionStream &) = delete;
    ConnectionStream &operator=(const ConnectionStream &) = delete;

    /** Closes the connection that the calling thread is serving, without writing anything more. */
    static void dropCurrent();

    /** Returns true once the connection is to be closed without any further byte. */
    bool isDropped() const { return this->dropped; }

    /** Waits for bytes to read. Returns false when none arrive before the timeout. */
    bool waitReadable(int timeoutMs) const;

    bool is_readable() const override;
    bool is_writable() const override;
    ssize_t read(char *ptr, std::size_t size) override;
    ssize_t write(const char *ptr, std::size_t size) override;
    void get_remote_ip_and_port(std::string &ip, int &port) const override;
    void get_local_ip_and_port(std::string &ip, int &port) const override;
    socket_t socket() const override { return this->connection; }

private:
    static constexpr std::size_t bufferBytes = 16 * 1024;

    ssize_t fillBuffer();

    const socket_t connection;
    bool dropped = false;
    std::array<char, bufferBytes> buffer {};
    std::size_t bufferBegin = 0;
    std::size_t bufferEnd = 0;
};

} // namespace bulrush::standins
