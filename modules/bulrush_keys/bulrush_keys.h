#pragma once

/**
    bulrush_keys: idempotency keys, so that a non-idempotent request runs at most once.

    Folds the keys stream of the log into the winner of each key, and decides for each request of
    this node when it may be sent. Holds no socket, thread or clock.

    Needs: bulrush_core, nlohmann-json.
*/

#include "bulrush_keys/book/IdempotencyKey.h"
#include "bulrush_keys/book/KeyBook.h"
#include "bulrush_keys/book/KeyOperation.h"
#include "bulrush_keys/gate/KeyAdmission.h"
#include "bulrush_keys/gate/KeyGate.h"
