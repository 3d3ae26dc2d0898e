#pragma once

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "http/client.h"
#include "http/server.h"
#include "minion.h"

namespace coltsfoot::review {

/// Proxy in front of the store that passes each call on after a delay, as the store's own time for
/// an answer.
class slow_store {
 public:
  /// @param store "IP:PORT".
  /// @param changes_before number of changes that the store has had before the first one here. All
  /// revisions are higher by it.
  slow_store(std::string store, milliseconds delay, std::uint64_t changes_before = 0);
  ~slow_store();
  slow_store(const slow_store&) = delete;
  slow_store& operator=(const slow_store&) = delete;

  std::string address() const { return "127.0.0.1:" + std::to_string(server_->port()); }
  /// From now on, calls take so long.
  void SetDelay(milliseconds delay) { delay_ms_ = delay.count(); }

 private:
  struct call {
    steady::time_point due;
    http::request request;
    http::responder respond;
  };

  void Forward(call each);
  std::string ToStore(const std::string& revision) const;
  std::string BodyToStore(const std::string& body) const;
  std::string BodyFromStore(const std::string& body) const;

  std::string store_;
  std::atomic<std::int64_t> delay_ms_;
  std::uint64_t changes_before_;
  std::mutex mutex_;
  std::vector<call> waiting_;
  bool stopping_ = false;
  std::condition_variable stopped_;
  std::unique_ptr<http::client> client_ = http::MakeCurlClient();
  std::unique_ptr<http::server> server_;
  std::thread timer_;
};

}  // namespace coltsfoot::review
