#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/clock.h"
#include "http/message.h"

namespace coltsfoot::fakes {

/// Faults that a test injects.
struct kv_faults {
  bool down = false;              ///< answer 503 without effect
  std::int64_t slow_ms = 0;       ///< delay of each answer, after the effect
  std::int64_t drop_answers = 0;  ///< the next N writes take effect and answer 504
  std::int64_t write_rate = 0;    ///< writes per second, 0 for no limit
  std::int64_t read_rate = 0;     ///< reads per second, a watch counts as one; 0 for no limit
  std::set<std::string> cut;      ///< callers (X-Caller) that get 503 without effect
  bool operator==(const kv_faults&) const = default;
};

/// Counts since the start or the last reset.
struct kv_stats {
  std::uint64_t writes = 0;
  std::uint64_t reads = 0;
  std::uint64_t watches = 0;
  std::uint64_t refused = 0;
  std::uint64_t bytes_in = 0;
  std::uint64_t bytes_out = 0;
  std::uint64_t worst_writes_per_second = 0;
  std::uint64_t worst_reads_per_second = 0;
  bool operator==(const kv_stats&) const = default;
};

/// Stand-in for the platform's key-value service, without sockets: handles one request at a time.
/// Not safe to use from several threads.
class kv_service {
 public:
  /// Sends an answer after `delay`.
  using answer = std::function<void(http::response, core::milliseconds delay)>;

  explicit kv_service(const core::clock& time) : time_(time) {}

  /// Handles one request; a watch may answer during a later call.
  void Handle(const http::request& received, answer done);
  /// Expires leases and times out watches.
  void Tick();

 private:
  struct item {
    std::string value;
    std::uint64_t version = 0;
    std::uint64_t lease = 0;
  };
  struct lease_state {
    core::milliseconds ttl{};
    core::mono_time expires;
    std::set<std::string> keys;
  };
  struct waiting_watch {
    std::string prefix;
    core::mono_time expires;
    answer done;
  };
  struct rate_window {
    std::int64_t second = 0;
    std::uint64_t count = 0;
  };

  http::response Route(const http::request& received, bool is_write);
  http::response HandleKey(const http::request& received, const std::string& key);
  http::response PutKey(const http::request& received, const std::string& key);
  http::response DeleteKey(const http::request& received, const std::string& key);
  http::response HandleLease(const http::request& received);
  http::response HandleRange(const http::request& received);
  http::response HandleAdmin(const http::request& received);
  /// Stores `value` under the key now, if it exists, and in place of each later write.
  void ReplaceValue(const std::string& key, const std::string& value);
  void HandleWatch(const http::request& received, answer done);
  std::optional<http::response> RefuseIfFaulty(const http::request& received, bool is_write);
  bool OverRate(rate_window& window, std::int64_t limit, std::uint64_t& worst);
  void RecordChange(const std::string& key);
  void Erase(const std::string& key);
  void RevokeLease(std::uint64_t lease);
  std::string ChangedKeys(const std::string& prefix, std::uint64_t since) const;
  void Count(const http::request& received, bool is_write);

  const core::clock& time_;
  std::uint64_t revision_ = 0;
  std::uint64_t next_lease_ = 0;
  std::map<std::string, item> items_;
  std::map<std::string, std::string> replaced_;  ///< set by a test, override written values
  std::map<std::string, std::uint64_t> change_revisions_;  ///< last revision, deletions included
  std::map<std::uint64_t, lease_state> leases_;
  std::vector<waiting_watch> watches_;
  kv_faults faults_;
  kv_stats stats_;
  rate_window write_window_;
  rate_window read_window_;
};

}  // namespace coltsfoot::fakes
