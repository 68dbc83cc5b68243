#pragma once

/**
    bulrush_ownership: ownership of worker groups and assignment of tasks to groups.

    Derives owners, epochs, task ranges and revoked workers from the platform log's `work` stream,
    and validates the batches of a group's own stream by their (epoch, sequence). All state is a
    pure function of the log, so nodes that have read up to the same offset have the same state.

    Needs: bulrush_core, nlohmann_json.
*/

#include "bulrush_ownership/claims/GroupClaims.h"
#include "bulrush_ownership/claims/WorkRecords.h"
#include "bulrush_ownership/streams/FencedStream.h"
#include "bulrush_ownership/streams/Guards.h"
#include "bulrush_ownership/streams/StreamFollower.h"
