#pragma once

#include <curl/curl.h>

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace coltsfoot::http {

/// The kept-alive connections to one server. Closes them when it is destroyed.
class connection_pool {
 public:
  connection_pool();
  ~connection_pool();
  connection_pool(const connection_pool&) = delete;
  connection_pool& operator=(const connection_pool&) = delete;

  /// @return the handle to set as `CURLOPT_SHARE` of a transfer. The pool must outlive that
  /// setting.
  CURLSH* handle() const noexcept { return share_; }

 private:
  CURLSH* share_;
};

/// The connection pools of a client, by server. Must be used from one thread.
class connection_pools {
 public:
  using time_point = std::chrono::steady_clock::time_point;

  /// @return the pool for the server of `url`. Closes pools that have not been used for long.
  std::shared_ptr<connection_pool> For(std::string_view url, time_point now);

  /// Lets later calls to the server of `url` open new connections. The pool closes its connections
  /// when the calls in progress on them have ended.
  /// @return false if the pool was discarded before.
  bool Discard(std::string_view url, const std::shared_ptr<connection_pool>& pool);

 private:
  struct entry {
    std::shared_ptr<connection_pool> pool;
    time_point used_at;
  };

  void CloseUnused(time_point now);

  std::map<std::string, entry, std::less<>> pools_;
};

}  // namespace coltsfoot::http
