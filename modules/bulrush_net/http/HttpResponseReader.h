#pragma once

#include "bulrush_net/http/HttpMessage.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace bulrush {

/**
    Reads one HTTP/1.1 response from the bytes of a connection.

    Call begin() before each response, then append() with the bytes as they arrive.
*/
class HttpResponseReader
{
public:
    enum class Status : std::uint8_t {
        /** More bytes are needed. */
        Incomplete,
        /** takeResponse() returns the response. */
        Complete,
        /** The body is larger than the limit. */
        TooLarge,
        /** The bytes are not a valid response. */
        Malformed,
    };

    /** @param maxBodyBytes the largest body that is accepted */
    explicit HttpResponseReader(std::size_t maxBodyBytes);
    ~HttpResponseReader();

    HttpResponseReader(const HttpResponseReader &) = delete;
    HttpResponseReader &operator=(const HttpResponseReader &) = delete;

    /** Prepares for the next response.
        @param hasBody false for the response to a HEAD request, which ends with its headers */
    void begin(bool hasBody);

    /** Reads bytes that arrived. */
    Status append(std::string_view bytes);

    /** Reads the end of the connection, which completes a response without a length. */
    Status appendEnd();

    /** Returns whether the connection can carry another request after the complete response. */
    bool connectionReusable() const;

    /** Returns the complete response, with its content type and the headers "retry-after" and
        "bulrush-*". */
    HttpResponse takeResponse();

private:
    struct Parser;

    Status parse();

    const std::size_t maxBody;
    std::unique_ptr<Parser> parser;
    /** Bytes that the parser has not consumed. */
    std::string unread;
};

} // namespace bulrush
