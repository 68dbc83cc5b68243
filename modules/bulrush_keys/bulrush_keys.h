#pragma once

/**
    bulrush_keys: idempotency keys, so that a non-idempotent request runs at most once.

    Derives the holder of each key from the keys stream of the log, and decides for each keyed
    request of this node whether it may be sent. Uses no socket, thread or clock.

    Needs: bulrush_core, nlohmann-json.
*/

#include "bulrush_keys/admission/KeyAdmission.h"
#include "bulrush_keys/admission/KeyedRequest.h"
#include "bulrush_keys/table/IdempotencyKey.h"
#include "bulrush_keys/table/KeyOperation.h"
#include "bulrush_keys/table/KeyTable.h"
