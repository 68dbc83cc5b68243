#pragma once

#include "bulrush_entry/front/CallerTypes.h"
#include "bulrush_net/http/HttpMessage.h"

#include <string_view>
#include <vector>

namespace bulrush {

/** Decodes callers' requests from, and encodes answers to, the platform's format. */
class CallerProtocol
{
public:
    CallerProtocol() = default;
    virtual ~CallerProtocol() = default;
    CallerProtocol(const CallerProtocol &) = delete;
    CallerProtocol &operator=(const CallerProtocol &) = delete;

    /** Returns the non-standard headers that decode() needs, in lower case. */
    virtual std::vector<std::string> headerNames() const = 0;

    virtual CallerRequest decode(const HttpRequest &request) const = 0;
    virtual HttpResponse encode(const CallerAnswer &answer) const = 0;

    /** Returns whether a request is a readiness check of this node. */
    virtual bool isReadinessRequest(const HttpRequest &request) const = 0;
};

} // namespace bulrush
