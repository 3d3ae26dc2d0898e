#include "connection_pool.h"

namespace coltsfoot::http {
namespace {

// A server that left for good would otherwise keep its pool, and the descriptors in it, for ever.
constexpr std::chrono::seconds kUnusedLifetime{60};

/// @return scheme, host and port of the URL.
std::string_view ServerOf(std::string_view url) {
  const std::size_t scheme = url.find("://");
  const std::size_t host = scheme == std::string_view::npos ? 0 : scheme + 3;
  return url.substr(0, url.find_first_of("/?#", host));
}

}  // namespace

connection_pool::connection_pool() : share_(curl_share_init()) {
  curl_share_setopt(share_, CURLSHOPT_SHARE, CURL_LOCK_DATA_CONNECT);
}

connection_pool::~connection_pool() { curl_share_cleanup(share_); }

std::shared_ptr<connection_pool> connection_pools::For(std::string_view url, time_point now) {
  const std::string_view server = ServerOf(url);
  auto place = pools_.find(server);
  if (place == pools_.end()) {
    CloseUnused(now);
    place = pools_.emplace(server, entry{std::make_shared<connection_pool>(), now}).first;
  }
  place->second.used_at = now;
  return place->second.pool;
}

bool connection_pools::Discard(std::string_view url, const std::shared_ptr<connection_pool>& pool) {
  const auto place = pools_.find(ServerOf(url));
  if (place == pools_.end() || place->second.pool != pool) return false;
  pools_.erase(place);
  return true;
}

void connection_pools::CloseUnused(time_point now) {
  std::erase_if(pools_, [now](const auto& each) {
    const entry& known = each.second;
    return known.pool.use_count() == 1 && now - known.used_at > kUnusedLifetime;
  });
}

}  // namespace coltsfoot::http
