#include "bulrush_node/front/RequestHead.h"

#include <charconv>

namespace bulrush {

namespace {

constexpr std::string_view servicesPrefix = "/services/";
constexpr std::size_t maxKeyLength = 200;
constexpr std::int64_t maxDeadlineMs = 600'000;

[[noreturn]] void refuse(std::string_view field, std::string_view found, std::string_view expected)
{
    throw Error("read request", field,
                "found '" + std::string(found) + "', expected " + std::string(expected));
}

Duration readDeadline(std::string_view text)
{
    if (text.empty()) {
        return {};
    }
    std::int64_t value = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool whole = result.ec == std::errc() && result.ptr == text.data() + text.size();
    if (!whole || value < 1 || value > maxDeadlineMs) {
        refuse("bulrush-deadline-ms", text, "a whole number from 1 to 600000");
    }
    return milliseconds(value);
}

bool readClass(std::string_view text)
{
    if (text.empty() || text == "interactive") {
        return true;
    }
    if (text != "bulk") {
        refuse("bulrush-class", text, "interactive or bulk");
    }
    return false;
}

bool readFlag(std::string_view name, std::string_view text)
{
    if (!text.empty() && text != "0" && text != "1") {
        refuse(name, text, "0 or 1");
    }
    return text == "1";
}

bool readIdempotent(std::string_view method, std::string_view text)
{
    if (text.empty()) {
        return method == "GET" || method == "HEAD" || method == "PUT" || method == "DELETE";
    }
    return readFlag("bulrush-idempotent", text);
}

std::string readKey(std::string_view text)
{
    if (text.size() > maxKeyLength) {
        refuse("idempotency-key", "a longer key", "at most 200 characters");
    }
    return std::string(text);
}

} // namespace

RequestHead readRequestHead(const HttpRequest &request)
{
    const std::string_view path = request.path;
    if (!path.starts_with(servicesPrefix)) {
        refuse("path", path, "/services/NAME/PATH");
    }
    const std::string_view rest = path.substr(servicesPrefix.size());
    const std::size_t slash = rest.find('/');
    RequestHead head;
    head.service = ServiceId(rest.substr(0, slash));
    if (head.service.isEmpty()) {
        refuse("path", path, "/services/NAME/PATH");
    }
    head.targetPath = slash == std::string_view::npos ? "/" : rest.substr(slash);
    head.deadline = readDeadline(headerValue(request.headers, "bulrush-deadline-ms"));
    head.interactive = readClass(headerValue(request.headers, "bulrush-class"));
    head.idempotent =
            readIdempotent(request.method, headerValue(request.headers, "bulrush-idempotent"));
    head.key = readKey(headerValue(request.headers, "idempotency-key"));
    head.firstTry =
            readFlag("bulrush-first-try", headerValue(request.headers, "bulrush-first-try"));
    return head;
}

} // namespace bulrush
