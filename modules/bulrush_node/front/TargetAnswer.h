#pragma once

#include "bulrush_net/http/HttpMessage.h"
#include "bulrush_routing/bulrush_routing.h"

namespace bulrush {

/** The status and metadata of a target's answer. */
struct TargetAnswer
{
    routing::AnswerHead head;
    /** Whether the target declares that it did not start the request. */
    bool refusedBeforeStart = false;
};

/** Reads the status and the headers that targets add: bulrush-load, bulrush-leaving and
    bulrush-not-started. */
TargetAnswer readTargetAnswer(const HttpResponse &response);

} // namespace bulrush
