#include "bulrush_node/front/Answers.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <string>

namespace bulrush::answers {

namespace {

HttpResponse make(int status, std::string_view outcome, std::string_view reason)
{
    HttpResponse response;
    response.status = status;
    response.headers.push_back({ "bulrush-outcome", std::string(outcome) });
    response.body = nlohmann::json({ { "outcome", outcome }, { "reason", reason } }).dump() + "\n";
    return response;
}

/** Adds Retry-After, which has whole seconds only, and a header with the delay in milliseconds. */
void addRetryAfter(HttpResponse &response, Duration retryAfter)
{
    const auto whole = std::max<std::int64_t>(1, std::chrono::ceil<seconds>(retryAfter).count());
    const auto exact = std::chrono::ceil<milliseconds>(retryAfter).count();
    response.headers.push_back({ "retry-after", std::to_string(whole) });
    response.headers.push_back({ "bulrush-retry-after-ms", std::to_string(exact) });
}

} // namespace

HttpResponse notRun(std::string_view reason, Duration retryAfter)
{
    HttpResponse response = make(503, "not-run", reason);
    addRetryAfter(response, retryAfter);
    return response;
}

HttpResponse unknown(std::string_view reason, Duration retryAfter)
{
    HttpResponse response = make(504, "unknown", reason);
    addRetryAfter(response, retryAfter);
    return response;
}

HttpResponse duplicate(int firstStatus)
{
    HttpResponse response = make(409, "duplicate", "a request with this key was answered before");
    response.headers.push_back({ "bulrush-first-status", std::to_string(firstStatus) });
    return response;
}

HttpResponse malformed(std::string_view reason)
{
    return make(400, "not-run", reason);
}

HttpResponse noSuchService(std::string_view service)
{
    return make(404, "not-run", "no service is named '" + std::string(service) + "'");
}

} // namespace bulrush::answers
