#include "bulrush_node/front/TargetAnswer.h"

#include <charconv>

namespace bulrush {

namespace {

/** Returns the number of busy slots from a text of the form "busy/slots". */
std::optional<unsigned> readLoad(std::string_view text)
{
    unsigned busy = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), busy);
    if (text.empty() || result.ec != std::errc()) {
        return std::nullopt;
    }
    return busy;
}

} // namespace

TargetAnswer readTargetAnswer(const HttpResponse &response)
{
    TargetAnswer answer;
    answer.head.report.load = readLoad(headerValue(response.headers, "bulrush-load"));
    answer.head.report.leaving = headerValue(response.headers, "bulrush-leaving") == "1";
    answer.head.serverError = response.status >= 500;
    answer.refusedBeforeStart =
            response.status == 503 && headerValue(response.headers, "bulrush-not-started") == "1";
    return answer;
}

} // namespace bulrush
