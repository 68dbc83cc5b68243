#pragma once

#include "bulrush_wire/generated/peer_generated.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bulrush::wire {

/** The version of the peer frame format that this build implements. */
constexpr std::uint16_t frameVersion = 1;

/** An encoded frame. */
using Bytes = std::vector<std::uint8_t>;

/** Verifies a received frame.
    @throws Error naming the peer when the frame is malformed or holds no known message */
const Frame &readFrame(std::span<const std::uint8_t> bytes, std::string_view peer);

/** Encodes a message, such as HelloT, as one frame. */
template<class MessageT>
Bytes encode(MessageT message)
{
    FrameT frame;
    frame.message.Set(std::move(message));
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(Frame::Pack(builder, &frame));
    return { builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize() };
}

} // namespace bulrush::wire
