#include "names.h"

#include <algorithm>

namespace coltsfoot::config {
namespace {

constexpr std::size_t kMaxNameBytes = 128;
constexpr unsigned char kFirstPrintable = 0x20;
constexpr unsigned char kDelete = 0x7f;

}  // namespace

bool IsValidName(std::string_view text) noexcept {
  if (text.empty() || text.size() > kMaxNameBytes) return false;
  return std::none_of(text.begin(), text.end(), [](char character) {
    const auto byte = static_cast<unsigned char>(character);
    return byte < kFirstPrintable || byte == kDelete || character == '/';
  });
}

bool HasText(std::string_view text) noexcept {
  return text.find_first_not_of(" \t\r\n") != std::string_view::npos;
}

}  // namespace coltsfoot::config
