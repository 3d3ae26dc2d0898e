#pragma once

#include <bit>
#include <cereal/archives/binary.hpp>
#include <cereal/cereal.hpp>
#include <cstring>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <type_traits>

#include "core/error.h"
#include "wire/messages.h"

namespace coltsfoot::wire {

static_assert(std::endian::native == std::endian::little, "the wire format is little endian");

/// Input archive over a buffer that checks each length against the bytes that are left, so that a
/// corrupt length can neither allocate much memory nor read past the end.
///
/// cereal's own binary archives trust lengths: a 12-byte datagram that claims a string of 8 GiB
/// makes them allocate 8 GiB.
class bounded_input_archive
    : public cereal::InputArchive<bounded_input_archive, cereal::AllowEmptyClassElision> {
 public:
  explicit bounded_input_archive(std::string_view data) : InputArchive(this), rest_(data) {}

  /// Copies `size` bytes.
  /// @throws cereal::Exception if fewer are left.
  void LoadBytes(void* target, std::size_t size) {
    if (size > rest_.size()) throw cereal::Exception("message is too short");
    std::memcpy(target, rest_.data(), size);
    rest_.remove_prefix(size);
  }

  /// @return the number of bytes that are left.
  std::size_t remaining() const noexcept { return rest_.size(); }

 private:
  std::string_view rest_;
};

}  // namespace coltsfoot::wire

namespace cereal {

template <class T, traits::EnableIf<std::is_arithmetic<T>::value> = traits::sfinae>
void CEREAL_LOAD_FUNCTION_NAME(coltsfoot::wire::bounded_input_archive& archive, T& value) {
  archive.LoadBytes(std::addressof(value), sizeof(value));
}

template <class T>
void CEREAL_LOAD_FUNCTION_NAME(coltsfoot::wire::bounded_input_archive& archive,
                               NameValuePair<T>& pair) {
  archive(pair.value);
}

template <class T>
void CEREAL_LOAD_FUNCTION_NAME(coltsfoot::wire::bounded_input_archive& archive, SizeTag<T>& tag) {
  archive(tag.size);
  if (tag.size > archive.remaining()) throw Exception("length exceeds the message");
}

template <class T>
void CEREAL_LOAD_FUNCTION_NAME(coltsfoot::wire::bounded_input_archive& archive,
                               BinaryData<T>& data) {
  archive.LoadBytes(data.data, static_cast<std::size_t>(data.size));
}

// Grows element by element: a resize to the claimed length would allocate the in-memory size of
// each element for one byte of input.
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

// cereal pairs each input archive with an output archive to check types that serialize through a
// smaller type, such as enums. The macro for this would also redefine the reverse pair.
namespace cereal::traits::detail {
template <>
struct get_output_from_input<coltsfoot::wire::bounded_input_archive> {
  using type = cereal::BinaryOutputArchive;
};
}  // namespace cereal::traits::detail

namespace coltsfoot::wire {

/// @return the bytes of `value` without any header. Also used for records in the key-value
/// service.
template <class Value>
std::string EncodeValue(const Value& value) {
  std::ostringstream stream;
  {
    cereal::BinaryOutputArchive archive(stream);
    archive(value);
  }
  return std::move(stream).str();
}

/// Decodes bytes that EncodeValue made.
/// @return the value, or nothing with `decode_error` if the bytes are too short, too long or hold
/// a wrong length.
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
