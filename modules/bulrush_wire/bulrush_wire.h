#pragma once

/**
    bulrush_wire: encodes and verifies the frames exchanged between nodes, as FlatBuffers.

    The schemas are schema/peer.fbs and schema/owner.fbs. The generated headers are committed, so
    that a build does not need the FlatBuffers compiler. A received frame is verified before any
    field is read.

    Needs: bulrush_core, the FlatBuffers headers.
*/

#include "bulrush_wire/frames/OwnerFrames.h"
#include "bulrush_wire/frames/PeerFrames.h"
