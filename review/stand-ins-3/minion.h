#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "../../platform/tests/program/stand_ins.h"
#include "http/client.h"
#include "web_server.h"

namespace coltsfoot::review {

/// Minion whose network can be cut, which can start again under its id, and whose orders can be
/// carried out late. Runs each task for a fixed time, and those with the spec "lasting" until they
/// are stopped.
class minion {
 public:
  using observed_run = platform::testing::observed_run;
  using steady = std::chrono::steady_clock;

  /// @param saved_bytes size of what each lasting task saves; 0: they save nothing.
  minion(std::string name, std::chrono::milliseconds task_time, std::size_t saved_bytes = 0);
  ~minion();
  minion(const minion&) = delete;
  minion& operator=(const minion&) = delete;

  /// Announces the minion to the agent at "IP:PORT" from now on.
  void AnnounceTo(const std::string& agent);
  /// The next start gets no answer and is carried out after this time.
  void DelayNextStart(std::chrono::milliseconds delay);
  /// @return the number of orders that are still to be carried out late.
  std::size_t CountLate();
  /// While it is cut off, nothing that is sent to it or by it arrives.
  void SetCut(bool cut);
  /// Lets a lasting task fail. @return false if none runs.
  bool FailLastingTask();
  /// Begins a new life under the same id: nothing of before is held or known.
  void StartAgain();
  std::vector<observed_run> Runs();

 private:
  struct task_state {
    observed_run run;
    std::uint64_t life = 0;
    std::uint64_t end_number = 0;
    bool lasting = false;
  };
  struct late_order {
    steady::time_point due;
    std::string path;
    nlohmann::json body;
  };
  struct waiting_poll {
    std::uint64_t last_seen = 0;
    steady::time_point until;
    http::responder respond;
  };

  void Handle(const http::request& request, const http::responder& respond);
  http::response Execute(const std::string& path, const nlohmann::json& order);
  http::response Start(const nlohmann::json& order);
  http::response Stop(const nlohmann::json& order);
  bool TakeFence(const nlohmann::json& call);
  std::optional<http::response> Lists(const waiting_poll& poll);
  void End(task_state& task, const char* how);
  /// @return what a task has saved by now; a lasting one saves each second.
  std::string SavedOf(const task_state& task) const;
  void Step();
  void Announce();
  std::int64_t ClockMs() const;
  std::string address() const { return "127.0.0.1:" + std::to_string(server_->port()); }

  std::string name_;
  std::chrono::milliseconds task_time_;
  std::size_t saved_bytes_;
  std::mutex mutex_;
  steady::time_point began_at_ = steady::now();
  std::uint64_t born_;
  std::uint64_t life_ = 1;
  std::uint64_t fence_ = 0;
  std::int64_t lease_until_ms_ = 0;
  std::uint64_t last_end_ = 0;
  std::uint64_t forgotten_end_ = 0;
  std::vector<task_state> tasks_;
  std::map<std::string, std::int64_t> stopped_runs_;
  std::vector<waiting_poll> polls_;
  std::vector<late_order> late_orders_;
  std::chrono::milliseconds order_delay_{0};  ///< of the next start; 0: none
  bool cut_ = false;
  std::string agent_;
  std::uint64_t sequence_ = 0;
  steady::time_point next_announcement_;
  bool stopping_ = false;
  std::condition_variable stopped_;
  std::unique_ptr<http::client> client_ = http::MakeCurlClient();
  std::unique_ptr<web_server> server_;
  std::thread timer_;
};

}  // namespace coltsfoot::review
