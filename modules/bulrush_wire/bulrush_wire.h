#pragma once

/**
    bulrush_wire: the frames that nodes send each other, as FlatBuffers.

    The schema is schema/peer.fbs; the generated header is committed, so that a build needs no
    generator. A received frame is verified before any field is read.

    Needs: bulrush_core, FlatBuffers' headers.
*/

#include "bulrush_wire/frames/PeerFrames.h"
