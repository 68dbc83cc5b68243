#pragma once

#include "bulrush_wire/generated/owner_generated.h"

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace bulrush::wire {

/** Verifies a frame exchanged between an entry VM and the owner.
    @throws Error naming the peer when the frame is malformed or holds no known message */
const OwnerFrame &readOwnerFrame(std::span<const std::uint8_t> bytes, std::string_view peer);

/** Encodes a message, such as OwnerQuestionT, as one frame. */
template<class MessageT>
std::vector<std::uint8_t> encodeOwnerFrame(MessageT message)
{
    OwnerFrameT frame;
    frame.message.Set(std::move(message));
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(OwnerFrame::Pack(builder, &frame));
    return { builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize() };
}

} // namespace bulrush::wire
