#include "wire/frame.h"

#include <algorithm>
#include <cstring>

#include "core/ids.h"

namespace coltsfoot::wire {
namespace {

constexpr std::uint32_t kDatagramMagic = 0x42465443;  // "CTFB"

template <class Number>
void Append(std::string& out, Number value) {
  out.append(reinterpret_cast<const char*>(&value), sizeof(value));
}

template <class Number>
Number Read(std::string_view bytes, std::size_t offset) {
  Number value{};
  std::memcpy(&value, bytes.data() + offset, sizeof(value));
  return value;
}

}  // namespace

std::string MakeFrame(message_type type, std::string_view payload) {
  std::string out;
  out.reserve(kFrameHeaderBytes + payload.size());
  Append(out, static_cast<std::uint32_t>(payload.size()));
  Append(out, kProtocolVersion);
  Append(out, static_cast<std::uint16_t>(type));
  out.append(payload);
  return out;
}

std::optional<frame_header> ParseFrameHeader(std::string_view bytes, core::last_error& error) {
  if (bytes.size() < kFrameHeaderBytes) {
    return error.Set(core::result_code::decode_error, "frame header is too short");
  }
  if (Read<std::uint16_t>(bytes, 4) != kProtocolVersion) {
    return error.Set(core::result_code::version_mismatch, "peer has another protocol version");
  }
  const frame_header header{Read<std::uint32_t>(bytes, 0),
                            static_cast<message_type>(Read<std::uint16_t>(bytes, 6))};
  if (header.payload_bytes > kMaxFrameBytes) {
    return error.Set(core::result_code::body_too_large, "frame exceeds the size limit");
  }
  return header;
}

std::string MakeDatagram(message_type type, std::string_view payload) {
  if (kDatagramHeaderBytes + payload.size() > kMaxDatagramBytes) return {};
  std::string out;
  out.reserve(kDatagramHeaderBytes + payload.size());
  Append(out, kDatagramMagic);
  Append(out, kProtocolVersion);
  Append(out, static_cast<std::uint16_t>(type));
  out.append(payload);
  return out;
}

std::optional<raw_message> ParseDatagram(std::string_view bytes, core::last_error& error) {
  if (bytes.size() < kDatagramHeaderBytes || Read<std::uint32_t>(bytes, 0) != kDatagramMagic) {
    return error.Set(core::result_code::decode_error, "not a datagram of this protocol");
  }
  if (Read<std::uint16_t>(bytes, 4) != kProtocolVersion) {
    return error.Set(core::result_code::version_mismatch, "peer has another protocol version");
  }
  return raw_message{static_cast<message_type>(Read<std::uint16_t>(bytes, 6)),
                     std::string(bytes.substr(kDatagramHeaderBytes))};
}

std::uint64_t DigestOfLists(const heartbeat_ack& ack) {
  const std::string bytes =
      EncodeValue(ack.entry) + EncodeValue(ack.shards) + EncodeValue(ack.entries);
  return std::max<std::uint64_t>(core::StableHash(bytes), 1);
}

}  // namespace coltsfoot::wire
