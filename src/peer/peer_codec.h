#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/gossip.h"
#include "peer/peer_message.h"

namespace sycamorestall {

// Appends a message to a buffer as a frame: its length in four bytes, least
// significant first, and the message as cereal writes it.
void AppendFrame(const PeerMessage& message, std::string& buffer);

// The size of a frame's length.
inline constexpr std::size_t kFrameHeaderBytes = 4;
// The length that a frame's header gives.
std::size_t FrameLength(std::string_view header);

// Reads the inside of a frame; empty when it is not a message.
std::optional<PeerMessage> DecodePeerMessage(std::string_view bytes);

// Writes a membership datagram.
std::string EncodeGossip(const GossipMessage& message);
// Reads a membership datagram; empty when it is not one.
std::optional<GossipMessage> DecodeGossip(std::string_view bytes);

}  // namespace sycamorestall
