#pragma once

/**
    bulrush_wire: the frames that nodes send each other, as FlatBuffers.

    The schemas are schema/peer.fbs and schema/owner.fbs; the generated headers are committed, so
   that a build needs no generator. A received frame is verified before any field is read.

    Needs: bulrush_core, FlatBuffers' headers.
*/

#include "bulrush_wire/frames/OwnerFrames.h"
#include "bulrush_wire/frames/PeerFrames.h"
