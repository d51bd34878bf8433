#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/gossip.h"
#include "peer/peer_message.h"

namespace sycamorestall {

// Appends a message to a buffer as a frame: its length as four little-endian bytes, then the
// message in cereal's portable binary format.
void AppendFrame(const PeerMessage& message, std::string& buffer);

// Size of the frame header, which holds the length of the message.
inline constexpr std::size_t kFrameHeaderBytes = 4;
// Decodes the message length, in bytes, from a frame header; needs at least kFrameHeaderBytes.
std::size_t DecodeFrameLength(std::string_view header);

// Decodes the message of a frame, without its header; nullopt when it is malformed.
std::optional<PeerMessage> DecodePeerMessage(std::string_view bytes);

// Encodes a gossip message as the content of a datagram.
std::string EncodeGossip(const GossipMessage& message);
// Decodes the content of a datagram; nullopt when it is malformed.
std::optional<GossipMessage> DecodeGossip(std::string_view bytes);

}  // namespace sycamorestall
