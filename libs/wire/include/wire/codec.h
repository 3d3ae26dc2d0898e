#pragma once

#include <bit>
#include <cereal/cereal.hpp>
#include <cstdint>
#include <cstring>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

#include "core/error.h"
#include "wire/messages.h"

namespace coltsfoot::wire {

static_assert(std::endian::native == std::endian::little, "the wire format is little endian");

/// Maximum size of a variable-length integer: 64 bits in groups of 7.
inline constexpr std::size_t kMaxVarintBytes = 10;

/// True for integers that are written as variable-length integers. One-byte integers are not,
/// because they would not get shorter.
template <class T>
inline constexpr bool kIsVarint = std::is_integral_v<T> && sizeof(T) > 1;

/// Output archive that appends to a string. Unsigned integers and lengths are base-128 varints
/// (least significant group first), signed integers zigzag varints; one-byte integers,
/// floating-point numbers and cereal::binary_data are written as raw bytes.
class compact_output_archive
    : public cereal::OutputArchive<compact_output_archive, cereal::AllowEmptyClassElision> {
 public:
  explicit compact_output_archive(std::string& out) : OutputArchive(this), out_(out) {}

  /// Appends `size` bytes.
  void SaveBytes(const void* source, std::size_t size) {
    out_.append(static_cast<const char*>(source), size);
  }

  /// Appends a base-128 varint.
  void SaveVarint(std::uint64_t value) {
    while (value >= 0x80U) {
      out_.push_back(static_cast<char>(value | 0x80U));
      value >>= 7U;
    }
    out_.push_back(static_cast<char>(value));
  }

 private:
  std::string& out_;
};

/// Input archive for the output of compact_output_archive. It checks each length against the bytes
/// that are left, so that a corrupt length causes neither a large allocation nor a read past the
/// end.
///
/// cereal's own binary archives trust lengths: a 12-byte datagram that claims a string of 8 GiB
/// makes them allocate 8 GiB.
class bounded_input_archive
    : public cereal::InputArchive<bounded_input_archive, cereal::AllowEmptyClassElision> {
 public:
  explicit bounded_input_archive(std::string_view data) : InputArchive(this), rest_(data) {}

  /// Copies `size` bytes.
  /// @throws cereal::Exception if fewer bytes are left.
  void LoadBytes(void* target, std::size_t size) {
    if (size > rest_.size()) throw cereal::Exception("message is too short");
    std::memcpy(target, rest_.data(), size);
    rest_.remove_prefix(size);
  }

  /// Reads the varint at the front of the remaining bytes.
  /// @throws cereal::Exception if it is truncated or does not fit into 64 bits.
  std::uint64_t LoadVarint() {
    std::uint64_t value = 0;
    for (std::size_t index = 0; index < kMaxVarintBytes; ++index) {
      if (index >= rest_.size()) throw cereal::Exception("message is too short");
      const auto byte = static_cast<std::uint8_t>(rest_[index]);
      const auto shift = static_cast<unsigned>(7 * index);
      const std::uint64_t group = byte & 0x7fU;
      if ((group << shift) >> shift != group) break;
      value |= group << shift;
      if (byte < 0x80U) {
        rest_.remove_prefix(index + 1);
        return value;
      }
    }
    throw cereal::Exception("integer is out of range");
  }

  /// @return the number of bytes that are left.
  std::size_t remaining() const noexcept { return rest_.size(); }

 private:
  std::string_view rest_;
};

}  // namespace coltsfoot::wire

namespace cereal {

template <class T, traits::EnableIf<std::is_arithmetic<T>::value> = traits::sfinae>
void CEREAL_SAVE_FUNCTION_NAME(coltsfoot::wire::compact_output_archive& archive, const T& value) {
  if constexpr (!coltsfoot::wire::kIsVarint<T>) {
    archive.SaveBytes(std::addressof(value), sizeof(value));
  } else if constexpr (std::is_signed_v<T>) {
    // Zigzag: 0, -1, 1, -2, ... become 0, 1, 2, 3, ...
    const auto wide = static_cast<std::int64_t>(value);
    archive.SaveVarint((static_cast<std::uint64_t>(wide) << 1U) ^
                       static_cast<std::uint64_t>(wide >> 63U));
  } else {
    archive.SaveVarint(value);
  }
}

template <class T, traits::EnableIf<std::is_arithmetic<T>::value> = traits::sfinae>
void CEREAL_LOAD_FUNCTION_NAME(coltsfoot::wire::bounded_input_archive& archive, T& value) {
  if constexpr (std::is_same_v<T, bool>) {
    std::uint8_t byte = 0;
    archive.LoadBytes(&byte, sizeof(byte));
    if (byte > 1) throw Exception("bool is out of range");
    value = byte == 1;
  } else if constexpr (!coltsfoot::wire::kIsVarint<T>) {
    archive.LoadBytes(std::addressof(value), sizeof(value));
  } else if constexpr (std::is_signed_v<T>) {
    const std::uint64_t zigzag = archive.LoadVarint();
    const auto wide = static_cast<std::int64_t>((zigzag >> 1U) ^ (0 - (zigzag & 1U)));
    if (wide < std::numeric_limits<T>::min() || wide > std::numeric_limits<T>::max()) {
      throw Exception("integer is out of range");
    }
    value = static_cast<T>(wide);
  } else {
    const std::uint64_t wide = archive.LoadVarint();
    if (wide > std::numeric_limits<T>::max()) throw Exception("integer is out of range");
    value = static_cast<T>(wide);
  }
}

template <class T>
void CEREAL_SAVE_FUNCTION_NAME(coltsfoot::wire::compact_output_archive& archive,
                               const NameValuePair<T>& pair) {
  archive(pair.value);
}

template <class T>
void CEREAL_LOAD_FUNCTION_NAME(coltsfoot::wire::bounded_input_archive& archive,
                               NameValuePair<T>& pair) {
  archive(pair.value);
}

template <class T>
void CEREAL_SAVE_FUNCTION_NAME(coltsfoot::wire::compact_output_archive& archive,
                               const SizeTag<T>& tag) {
  archive.SaveVarint(tag.size);
}

template <class T>
void CEREAL_LOAD_FUNCTION_NAME(coltsfoot::wire::bounded_input_archive& archive, SizeTag<T>& tag) {
  tag.size = archive.LoadVarint();
  if (tag.size > archive.remaining()) throw Exception("length exceeds the message");
}

template <class T>
void CEREAL_SAVE_FUNCTION_NAME(coltsfoot::wire::compact_output_archive& archive,
                               const BinaryData<T>& data) {
  archive.SaveBytes(data.data, static_cast<std::size_t>(data.size));
}

template <class T>
void CEREAL_LOAD_FUNCTION_NAME(coltsfoot::wire::bounded_input_archive& archive,
                               BinaryData<T>& data) {
  archive.LoadBytes(data.data, static_cast<std::size_t>(data.size));
}

// Appends element by element: a resize to the claimed length would allocate the in-memory size of
// an element for each byte of input.
template <class T, class A, traits::EnableIf<!std::is_arithmetic<T>::value> = traits::sfinae>
void CEREAL_LOAD_FUNCTION_NAME(coltsfoot::wire::bounded_input_archive& archive,
                               std::vector<T, A>& values) {
  size_type size = 0;
  archive(make_size_tag(size));
  values.clear();
  for (size_type index = 0; index < size; ++index) {
    T element;
    archive(element);
    values.push_back(std::move(element));
  }
}

}  // namespace cereal

// Declares that the two archives belong together. cereal needs this to check types that serialize
// through a smaller type, such as enums.
CEREAL_SETUP_ARCHIVE_TRAITS(coltsfoot::wire::bounded_input_archive,
                            coltsfoot::wire::compact_output_archive)

namespace coltsfoot::wire {

/// @return `value` encoded without any header. Also used for records in the key-value service.
template <class Value>
std::string EncodeValue(const Value& value) {
  std::string bytes;
  compact_output_archive archive(bytes);
  archive(value);
  return bytes;
}

/// Decodes the output of EncodeValue.
/// @return the value, or std::nullopt with `decode_error` if the bytes are too short, too long or
/// contain an invalid length or value.
template <class Value>
std::optional<Value> DecodeValue(std::string_view bytes, core::last_error& error) {
  try {
    bounded_input_archive archive(bytes);
    Value value;
    archive(value);
    if (archive.remaining() != 0) {
      return error.Set(core::result_code::decode_error, "message has trailing bytes");
    }
    return value;
  } catch (const std::exception& failure) {
    return error.Set(core::result_code::decode_error, failure.what());
  }
}

}  // namespace coltsfoot::wire
