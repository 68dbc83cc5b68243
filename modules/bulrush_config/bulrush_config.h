#pragma once

/**
    bulrush_config: operators' records and the daemon's settings.

    Checks texts against the built-in schemas, derives the records in force from the configuration
    stream of the log by one pure function, and writes and reads snapshots of that state. Uses no
    sockets, threads or clocks.

    Needs: bulrush_core, nlohmann-json, valijson, xxhash.
*/

#include "bulrush_config/records/Record.h"
#include "bulrush_config/records/RecordBodies.h"
#include "bulrush_config/records/RecordState.h"
#include "bulrush_config/schemas/EmbeddedSchemas.h"
#include "bulrush_config/schemas/FieldProblem.h"
#include "bulrush_config/schemas/SchemaValidation.h"
#include "bulrush_config/settings/NodeSettings.h"
#include "bulrush_config/snapshots/LogFollower.h"
#include "bulrush_config/snapshots/Snapshot.h"
#include "bulrush_config/snapshots/SnapshotSchedule.h"
