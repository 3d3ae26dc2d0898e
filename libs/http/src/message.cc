#include "http/message.h"

#include <strings.h>

#include <algorithm>
#include <utility>

namespace coltsfoot::http {
namespace {

template <class Map>
std::optional<std::string> Find(const Map& map, std::string_view name) {
  const auto found = map.find(name);
  if (found == map.end()) return std::nullopt;
  return found->second;
}

}  // namespace

bool header_less::operator()(std::string_view left, std::string_view right) const noexcept {
  const std::size_t common = std::min(left.size(), right.size());
  const int order = strncasecmp(left.data(), right.data(), common);
  return order != 0 ? order < 0 : left.size() < right.size();
}

std::optional<std::string> request::FindHeader(std::string_view name) const {
  return Find(headers, name);
}

std::optional<std::string> request::FindParameter(std::string_view name) const {
  return Find(query, name);
}

std::optional<std::string> response::FindHeader(std::string_view name) const {
  return Find(headers, name);
}

response JsonResponse(int status, std::string body) {
  return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

}  // namespace coltsfoot::http
