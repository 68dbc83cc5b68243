#include "bulrush_wire/frames/PeerFrames.h"

#include "bulrush_core/errors/Error.h"

namespace bulrush::wire {

const Frame &readFrame(std::span<const std::uint8_t> bytes, std::string_view peer)
{
    flatbuffers::Verifier verifier(bytes.data(), bytes.size());
    if (!VerifyFrameBuffer(verifier)) {
        throw Error("read frame", peer, "the frame is malformed");
    }
    const Frame *frame = GetFrame(bytes.data());
    if (frame->message() == nullptr) {
        throw Error("read frame", peer, "the frame holds no known message type");
    }
    return *frame;
}

} // namespace bulrush::wire
