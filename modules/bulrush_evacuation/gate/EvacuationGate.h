#pragma once

#include "bulrush_evacuation/requests/EvacuationRequests.h"

#include <string_view>

namespace bulrush {

/** What the decision whether starts may be sent depends on. */
struct EvacuationView
{
    /** When this node last gained the ownership. */
    Instant ownerSince {};
    /** When the store last answered any call. */
    Instant storeAnsweredAt {};
};

/** Why no start may be sent to any data centre. */
enum class StartBlock : std::uint8_t {
    /** Starts may be sent. */
    None,
    /** The requests have not been read to the end since, or shortly before, the ownership began. */
    NotRead,
    /** The requests were last read to the end too long ago although the store answers. */
    Stale,
};

/** Returns the name of a reason as it is logged. */
std::string_view text(StartBlock block);

/** Decides whether starts may be sent, given what is known of the evacuation requests. */
class EvacuationGate
{
public:
    /** @param bound the time from the confirmation of a request until no more starts may follow */
    explicit EvacuationGate(milliseconds bound)
        : maxAge(bound)
    {
    }

    /** Returns why no start may be sent to any data centre now. */
    StartBlock block(const EvacuationRequests &requests, const EvacuationView &view,
                     Instant now) const;

    /** Returns whether a start may be sent to a data centre now. */
    bool mayStartIn(const DataCentreId &dataCentre, const EvacuationRequests &requests,
                    const EvacuationView &view, Instant now) const;

private:
    milliseconds maxAge;
};

} // namespace bulrush
