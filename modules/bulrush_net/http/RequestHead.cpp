#include "bulrush_net/http/RequestHead.h"

#include <libwebsockets.h>

#include <array>
#include <charconv>
#include <limits>
#include <utility>

namespace bulrush {

namespace {

struct MethodToken
{
    lws_token_indexes token;
    const char *method;
};

constexpr std::array methodTokens {
    MethodToken { WSI_TOKEN_GET_URI, "GET" },     MethodToken { WSI_TOKEN_POST_URI, "POST" },
    MethodToken { WSI_TOKEN_PUT_URI, "PUT" },     MethodToken { WSI_TOKEN_DELETE_URI, "DELETE" },
    MethodToken { WSI_TOKEN_PATCH_URI, "PATCH" }, MethodToken { WSI_TOKEN_HEAD_URI, "HEAD" },
};

/** Standard request headers that are delivered to the listener. */
struct HeaderToken
{
    lws_token_indexes token;
    const char *name;
};

constexpr std::array headerTokens {
    HeaderToken { WSI_TOKEN_HTTP_CONTENT_TYPE, "content-type" },
    HeaderToken { WSI_TOKEN_HTTP_AUTHORIZATION, "authorization" },
    HeaderToken { WSI_TOKEN_HTTP_ACCEPT, "accept" },
    HeaderToken { WSI_TOKEN_HOST, "host" },
};

/** Non-standard request headers that are delivered to the listener. */
constexpr std::array<const char *, 6> customHeaders {
    "idempotency-key",    "bulrush-deadline-ms", "bulrush-class",
    "bulrush-idempotent", "bulrush-key",         "bulrush-first-try",
};

std::string copyHeader(lws *wsi, lws_token_indexes token)
{
    const int length = lws_hdr_total_length(wsi, token);
    if (length <= 0) {
        return {};
    }
    std::string text(static_cast<std::size_t>(length) + 1, '\0');
    const int copied = lws_hdr_copy(wsi, text.data(), length + 1, token);
    text.resize(copied < 0 ? 0 : static_cast<std::size_t>(copied));
    return text;
}

std::string copyCustomHeader(lws *wsi, const std::string &nameWithColon)
{
    const auto nameLength = static_cast<int>(nameWithColon.size());
    const int length = lws_hdr_custom_length(wsi, nameWithColon.c_str(), nameLength);
    if (length <= 0) {
        return {};
    }
    std::string text(static_cast<std::size_t>(length) + 1, '\0');
    const int copied =
            lws_hdr_custom_copy(wsi, text.data(), length + 1, nameWithColon.c_str(), nameLength);
    text.resize(copied < 0 ? 0 : static_cast<std::size_t>(length));
    return text;
}

std::string copyQuery(lws *wsi)
{
    std::string query;
    std::array<char, 1024> fragment {};
    for (int index = 0;; ++index) {
        const int length = lws_hdr_copy_fragment(wsi, fragment.data(), fragment.size(),
                                                 WSI_TOKEN_HTTP_URI_ARGS, index);
        if (length < 0) {
            return query;
        }
        if (!query.empty()) {
            query.push_back('&');
        }
        query.append(fragment.data(), static_cast<std::size_t>(length));
    }
}

std::string requestMethod(lws *wsi)
{
    for (const MethodToken &entry : methodTokens) {
        if (lws_hdr_total_length(wsi, entry.token) > 0) {
            return entry.method;
        }
    }
    return {};
}

std::vector<HttpHeader> copyHeaders(lws *wsi, const std::vector<std::string> &extraNames)
{
    std::vector<HttpHeader> headers;
    for (const HeaderToken &entry : headerTokens) {
        std::string value = copyHeader(wsi, entry.token);
        if (!value.empty()) {
            headers.push_back({ entry.name, std::move(value) });
        }
    }
    for (const char *name : customHeaders) {
        std::string value = copyCustomHeader(wsi, std::string(name) + ":");
        if (!value.empty()) {
            headers.push_back({ name, std::move(value) });
        }
    }
    for (const std::string &name : extraNames) {
        std::string value = copyCustomHeader(wsi, name + ":");
        if (!value.empty()) {
            headers.push_back({ name, std::move(value) });
        }
    }
    return headers;
}

/** Returns an announced length; one that is no number counts as greater than any limit. */
std::size_t parseLength(std::string_view text)
{
    std::size_t length = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), length);
    const bool whole = error == std::errc() && end == text.data() + text.size();
    return whole ? length : std::numeric_limits<std::size_t>::max();
}

} // namespace

RequestHead readRequestHead(lws *wsi, std::string_view path,
                            const std::vector<std::string> &extraNames)
{
    RequestHead head;
    head.request.method = requestMethod(wsi);
    head.request.path = path;
    head.request.query = copyQuery(wsi);
    head.request.headers = copyHeaders(wsi, extraNames);
    const std::string length = copyHeader(wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH);
    if (!length.empty()) {
        head.announcedBytes = parseLength(length);
    }
    head.chunked = lws_hdr_total_length(wsi, WSI_TOKEN_HTTP_TRANSFER_ENCODING) > 0;
    return head;
}

} // namespace bulrush
