#include "request_target.h"

#include <charconv>

namespace coltsfoot::http {
namespace {

/// Cuts `text` at the first `separator`.
/// @return the part before it; `text` becomes the part behind it.
std::string_view CutAt(std::string_view& text, char separator) {
  const std::size_t end = text.find(separator);
  const std::string_view head = text.substr(0, end);
  text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
  return head;
}

}  // namespace

std::string DecodePercent(std::string_view text) {
  constexpr int kHex = 16;
  std::string out;
  out.reserve(text.size());
  for (std::size_t index = 0; index < text.size(); ++index) {
    const char symbol = text[index];
    if (symbol == '+') {
      out.push_back(' ');
    } else if (symbol == '%') {
      const std::string_view digits = text.substr(index + 1, 2);
      unsigned char value = 0;
      const char* end = digits.data() + digits.size();
      const auto parsed = std::from_chars(digits.data(), end, value, kHex);
      if (digits.size() != 2 || parsed.ec != std::errc{} || parsed.ptr != end) {
        return std::string(text);
      }
      out.push_back(static_cast<char>(value));
      index += 2;
    } else {
      out.push_back(symbol);
    }
  }
  return out;
}

void ParseTarget(std::string_view target, request& out) {
  std::string_view query = CutAt(target, '#');
  out.path = DecodePercent(CutAt(query, '?'));
  while (!query.empty()) {
    std::string_view value = CutAt(query, '&');
    const std::string_view name = CutAt(value, '=');
    if (!name.empty()) out.query.emplace(DecodePercent(name), DecodePercent(value));
  }
}

}  // namespace coltsfoot::http
