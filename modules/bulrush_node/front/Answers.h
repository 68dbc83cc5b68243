#pragma once

#include "bulrush_core/time/Clock.h"
#include "bulrush_net/http/HttpMessage.h"

#include <string_view>

namespace bulrush {

/** The answers that the node itself generates; docs/operations/requests.md describes each. */
namespace answers {

/** 503: the request did not run. @param retryAfter delay after which the caller may retry */
HttpResponse notRun(std::string_view reason, Duration retryAfter);

/** 504: the request may have run. @param retryAfter delay after which the caller may retry */
HttpResponse unknown(std::string_view reason, Duration retryAfter);

/** 409: another request with this key was answered. @param firstStatus the status of its answer */
HttpResponse duplicate(int firstStatus);

/** 400: the request is malformed; it did not run. */
HttpResponse malformed(std::string_view reason);

/** 404: no such service; it did not run. */
HttpResponse noSuchService(std::string_view service);

} // namespace answers

} // namespace bulrush
