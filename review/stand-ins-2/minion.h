#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "http/client.h"
#include "http/server.h"

/// Stand-ins for the cases of the second review.
namespace coltsfoot::review {

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Spec of tasks that run until they are stopped. Any other spec is a number of milliseconds.
inline constexpr const char* kLastingSpec = "lasting";
/// Spec of a task that crashes its minion `kDeadlyAfter` after its start.
inline constexpr const char* kDeadlySpec = "deadly";
inline constexpr milliseconds kDeadlyAfter{500};
inline constexpr milliseconds kDeadlyDowntime{3000};

/// A run of a task, as its minion saw it.
struct seen_run {
  std::string task;
  std::uint32_t run = 0;
  std::string minion;
  steady::time_point started_at;
  std::optional<steady::time_point> ended_at;
  std::string how;  ///< of its end; "crashed" if the minion crashed; empty while it runs
};

struct minion_options {
  std::string name;
  std::string service;
  std::string kind = "a";  ///< first label
  std::int64_t cpu = 16000;
  std::int64_t memory_mb = 64000;
  milliseconds heartbeat{1500};
  milliseconds hold_max{10'000};
};

/// Minion that runs what it is told to, as PROTOCOL.md says. It doesn't guard its capacity.
class minion {
 public:
  explicit minion(minion_options options);
  ~minion();
  minion(const minion&) = delete;
  minion& operator=(const minion&) = delete;

  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  const std::string& name() const { return options_.name; }
  /// Sends pings to "IP:PORT" from now on.
  void PingTo(const std::string& control);
  std::vector<seen_run> Runs();
  /// Ends everything that runs and answers nothing for `downtime`, as a machine without power; then
  /// a new life begins.
  void Crash(milliseconds downtime);
  /// An unhealthy minion rejects each start with 503 and does nothing for it.
  void SetUnhealthy(bool unhealthy);

 private:
  struct waiting_hold {
    std::uint64_t last_seen = 0;
    steady::time_point until;
    http::responder respond;
  };
  struct entry {
    seen_run run;
    std::uint64_t life = 0;
    std::uint64_t end_number = 0;
    bool forgotten = false;  ///< the end is up to `lastSeen`
    std::string spec;
  };

  void Handle(const http::request& request, const http::responder& respond);
  http::response Start(const nlohmann::json& call);
  http::response Stop(const nlohmann::json& call);
  void Hold(const nlohmann::json& call, const http::responder& respond);
  std::optional<http::response> Lists(const waiting_hold& hold);
  void GoDown(milliseconds downtime);
  void Serve();
  void CloseChannels(std::unique_lock<std::mutex>& lock);
  static std::int64_t NeededMs(const entry& which);
  void TakeLease(const nlohmann::json& call);
  void End(entry& which, const char* how);
  void Step();
  void Ping();
  void BeginLife();
  std::int64_t ClockMs() const;
  http::response Answer(int status, nlohmann::json body) const;

  minion_options options_;
  std::mutex mutex_;
  std::uint64_t life_ = 0;
  std::string id_;
  std::int64_t born_ms_ = 0;
  steady::time_point began_at_;
  std::uint64_t fence_ = 0;
  std::int64_t lease_until_ms_ = 0;
  std::uint64_t last_end_ = 0;
  std::uint64_t sequence_ = 0;
  std::vector<entry> entries_;
  std::map<std::string, std::uint32_t>
      closed_;  ///< highest run of a task that was stopped or ended
  std::vector<waiting_hold> holds_;
  std::optional<steady::time_point> back_at_;  ///< set while the minion is down
  std::vector<http::responder> unanswered_;
  std::string control_;
  steady::time_point next_ping_;
  bool stopping_ = false;
  std::condition_variable stopped_;
  std::unique_ptr<http::client> client_ = http::MakeCurlClient();
  std::uint16_t port_ = 0;
  bool unhealthy_ = false;
  bool closed_channels_ = false;  ///< the crash was one of the process, which closes its channels
  std::unique_ptr<http::server> server_;
  std::thread timer_;
};

}  // namespace coltsfoot::review
