#pragma once

#include "bulrush_net/http/HttpMessage.h"
#include "bulrush_routing/bulrush_routing.h"

namespace bulrush {

/** What a target's answer says besides its content. */
struct TargetAnswer
{
    routing::AnswerHead head;
    /** Whether the target says that it did not start the request. */
    bool refusedUnstarted = false;
};

/** Reads the status and the target's own headers: bulrush-load, bulrush-leaving and
    bulrush-not-started. */
TargetAnswer readTargetAnswer(const HttpResponse &response);

} // namespace bulrush
