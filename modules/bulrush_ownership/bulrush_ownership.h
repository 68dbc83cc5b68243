#pragma once

/**
    bulrush_ownership: who owns a worker group, and which tasks belong to which group.

    Folds the platform log's `work` stream into owners, epochs, task ranges and revoked workers,
    and admits the batches of a group's own stream by (epoch, sequence). All state is a pure
    function of the log, so that every node that has read the same offset agrees.

    Needs: bulrush_core, nlohmann_json.
*/

#include "bulrush_ownership/claims/GroupClaims.h"
#include "bulrush_ownership/claims/WorkRecords.h"
#include "bulrush_ownership/streams/FencedStream.h"
#include "bulrush_ownership/streams/Guards.h"
#include "bulrush_ownership/streams/StreamFollower.h"
