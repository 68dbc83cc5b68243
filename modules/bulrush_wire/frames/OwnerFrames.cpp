#include "bulrush_wire/frames/OwnerFrames.h"

#include "bulrush_core/errors/Error.h"

namespace bulrush::wire {

const OwnerFrame &readOwnerFrame(std::span<const std::uint8_t> bytes, std::string_view peer)
{
    flatbuffers::Verifier verifier(bytes.data(), bytes.size());
    if (!verifier.VerifyBuffer<OwnerFrame>(nullptr)) {
        throw Error("read owner frame", peer, "the frame is malformed");
    }
    const OwnerFrame &frame = *flatbuffers::GetRoot<OwnerFrame>(bytes.data());
    if (frame.message() == nullptr) {
        throw Error("read owner frame", peer, "the frame holds no known message type");
    }
    return frame;
}

} // namespace bulrush::wire
