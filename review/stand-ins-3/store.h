#pragma once

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "web_server.h"

namespace coltsfoot::review {

using steady = std::chrono::steady_clock;

/// In-memory metadata store: items with revisions, transactions, leases, watches and listings in
/// pages, with the limits of the platform's pages.
class metadata_store {
 public:
  metadata_store();
  ~metadata_store();
  metadata_store(const metadata_store&) = delete;
  metadata_store& operator=(const metadata_store&) = delete;

  std::string address() const;
  /// Writes an item as the operator does.
  void Put(const std::string& key, const std::string& value);
  /// Adds an item that was written long ago: no watch reports it.
  void Preload(const std::string& key, const std::string& value);
  /// @return the decoded value of an item, or nothing.
  std::optional<std::string> Find(const std::string& key);
  std::size_t CountKeys(std::string_view prefix);
  /// @return the size of the entries below a prefix, as a reader holds them: keys, values and its
  /// structures.
  std::size_t ListedBytes(std::string_view prefix);
  /// While the store is down it answers 503, executes nothing, and leases pause.
  void SetDown(bool down);

 private:
  struct item {
    std::string value;  ///< base64
    std::uint64_t revision = 0;
    std::uint64_t lease = 0;
  };
  struct change {
    std::string key;
    std::uint64_t revision = 0;
    std::optional<item> now;
  };
  struct pending_watch {
    std::string prefix;
    std::uint64_t after = 0;
    steady::time_point until;
    http::responder respond;
  };
  struct lease {
    std::chrono::milliseconds ttl{0};
    steady::time_point ends_at;
  };

  void Handle(const http::request& request, const http::responder& respond);
  http::response Read(const http::request& request) const;
  http::response ReadPage(const http::request& request) const;
  http::response Commit(const http::request& request);
  http::response HandleLease(const http::request& request);
  void Write(const std::string& key, std::optional<item> now);
  std::optional<http::response> ChangesFor(const pending_watch& watch) const;
  void AnswerWatches();
  void ExpireLeases();
  void Step();

  std::mutex mutex_;
  std::map<std::string, item, std::less<>> items_;
  std::vector<change> history_;
  std::uint64_t history_from_ = 0;
  std::map<std::uint64_t, lease> leases_;
  std::vector<pending_watch> watches_;
  std::uint64_t revision_ = 1;
  std::uint64_t last_lease_ = 0;
  bool down_ = false;
  steady::time_point stepped_at_ = steady::now();
  bool stopping_ = false;
  std::condition_variable stopped_;
  std::unique_ptr<web_server> server_;
  std::thread timer_;
};

}  // namespace coltsfoot::review
