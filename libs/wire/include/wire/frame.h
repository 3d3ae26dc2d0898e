#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/error.h"
#include "wire/codec.h"
#include "wire/messages.h"

namespace coltsfoot::wire {

inline constexpr std::size_t kMaxFrameBytes = 2U << 20U;
inline constexpr std::size_t kMaxDatagramBytes = 1200;
/// Length (u32), protocol version (u16), message type (u16).
inline constexpr std::size_t kFrameHeaderBytes = 8;
/// Magic number (u32), protocol version (u16), message type (u16).
inline constexpr std::size_t kDatagramHeaderBytes = 8;

/// Type and undecoded payload of a received message.
struct raw_message {
  message_type type{};
  std::string payload;
  bool operator==(const raw_message&) const = default;
};

/// Header of a TCP frame.
struct frame_header {
  std::uint32_t payload_bytes = 0;
  message_type type{};
  bool operator==(const frame_header&) const = default;
};

/// @return a TCP frame with header and `payload`.
std::string MakeFrame(message_type type, std::string_view payload);

/// Parses the first kFrameHeaderBytes of a frame.
/// @return the header, or std::nullopt with `decode_error`, `version_mismatch` or `body_too_large`.
std::optional<frame_header> ParseFrameHeader(std::string_view bytes, core::last_error& error);

/// @return a datagram; empty if the payload is too large for one.
std::string MakeDatagram(message_type type, std::string_view payload);

/// @return the message in a datagram, or std::nullopt with `decode_error` or `version_mismatch`.
std::optional<raw_message> ParseDatagram(std::string_view bytes, core::last_error& error);

/// @return the digest of the lists of `ack`, which later acks send in place of the lists; never 0.
/// Equal lists have the same digest in every process.
std::uint64_t DigestOfLists(const heartbeat_ack& ack);

/// @return `message` as a TCP frame.
template <class Message>
std::string ToFrame(const Message& message) {
  return MakeFrame(Message::kType, EncodeValue(message));
}

/// @return `message` as a datagram; empty if it is too large.
template <class Message>
std::string ToDatagram(const Message& message) {
  return MakeDatagram(Message::kType, EncodeValue(message));
}

/// @return the message in `raw`, or std::nullopt with `decode_error` if it has another type or
/// cannot be decoded.
template <class Message>
std::optional<Message> FromRaw(const raw_message& raw, core::last_error& error) {
  if (raw.type != Message::kType) {
    return error.Set(core::result_code::decode_error, "unexpected message type");
  }
  return DecodeValue<Message>(raw.payload, error);
}

}  // namespace coltsfoot::wire
