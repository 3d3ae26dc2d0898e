#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <filesystem>
#include <fstream>
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
#include "proxy.h"

/// Stand-ins for the review's scripts, written after PROTOCOL.md: the platform's store, minions and
/// callers, and a fleet of the real programs as processes.
namespace coltsfoot::review {

using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

/// File with one line for each event, with the milliseconds since the start.
class record {
 public:
  explicit record(const std::string& path) : out_(path) {}
  void Add(const std::string& line);
  /// @return milliseconds since the start.
  std::int64_t Now() const;

 private:
  steady::time_point began_ = steady::now();
  std::mutex mutex_;
  std::ofstream out_;
};

/// The platform's store. While it is down its leases pause.
class store {
 public:
  store();
  ~store();
  std::string address() const { return "127.0.0.1:" + std::to_string(server_->port()); }
  void Put(const std::string& key, const std::string& value);
  /// While down it executes nothing and does not answer.
  void SetDown(bool down);
  /// Discards the history and cuts the waiting watches.
  void DropHistory();
  /// @return all items that hang on no lease.
  nlohmann::json Dump();
  /// Loads items that an earlier `Dump` returned.
  void Load(const nlohmann::json& items);
  /// @return the decoded value of an item, or an empty string.
  std::string Value(const std::string& key);

 private:
  struct item {
    std::string value;  ///< base64
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
  };
  struct change {
    std::string key;
    std::uint64_t revision = 0;
    std::optional<item> now;
  };
  struct lease {
    milliseconds ttl{0};
    steady::time_point until;
  };
  struct watch {
    std::string prefix;
    std::uint64_t after = 0;
    steady::time_point until;
    http::responder respond;
  };

  struct call {
    steady::time_point due;
    http::request request;
    http::responder respond;
  };

  void Handle(const http::request& request, const http::responder& respond);
  http::response Range(const http::request& request);
  http::response Commit(const http::request& request);
  http::response Lease(const http::request& request);
  void Write(const std::string& key, std::optional<item> now);
  void Step();
  std::optional<http::response> Changes(const watch& waiting) const;
  static nlohmann::json Encode(const std::string& key, const item& entry);

  std::mutex mutex_;
  std::map<std::string, item> items_;
  std::vector<change> history_;
  std::uint64_t history_from_ = 0;
  std::uint64_t revision_ = 1;
  std::map<std::uint64_t, lease> leases_;
  std::uint64_t last_lease_ = 0;
  std::vector<watch> watches_;
  bool down_ = false;
  steady::time_point down_since_;
  std::vector<http::responder> unanswered_;
  std::deque<call> calls_;  ///< not executed yet
  bool stopping_ = false;
  std::condition_variable stopped_;
  std::unique_ptr<http::server> server_;
  std::thread timer_;
};

/// A run as its minion saw it.
struct seen_run {
  std::string task;
  std::uint32_t run = 0;
  std::string minion;
  std::int64_t started_ms = 0;
  std::int64_t ended_ms = -1;  ///< -1: still at work
  std::string reason;
  /// The end was taken note of (`lastSeen` reached it) and the lease had not lapsed before.
  bool noted = false;
};

/// A minion. The payload of a task says how long it works: "ms=500" or "lasting". "fill ms=500" is
/// a task that fills: it disturbs the lasting ones by its pace, and their load swings.
class minion {
 public:
  minion(record& log, std::string name, int cpu_millis, int memory_mb);
  ~minion();
  std::string address() const {
    return link_ ? link_->address() : "127.0.0.1:" + std::to_string(server_->port());
  }
  /// Puts a proxy between the minion and its agent; call it first.
  void LinkAgent() { link_ = std::make_unique<proxy>(address()); }
  proxy& link() { return *link_; }
  const std::string& name() const { return name_; }
  void AnnounceTo(const std::string& control);
  /// Sets how long a start takes until it is answered.
  void SetStartTime(milliseconds time) { start_time_ = time; }
  std::vector<seen_run> Runs();

 private:
  struct task_state {
    seen_run seen;
    std::string payload;
    std::int64_t pace = 100;
    std::uint64_t boot = 0;
    std::uint64_t end_number = 0;
    bool lapsed = false;  ///< the lease lapsed before the end was taken note of
    steady::time_point started;
  };
  struct late_answer {
    steady::time_point due;
    http::responder respond;
    http::response answer;
  };
  struct poll {
    std::uint64_t last_seen = 0;
    steady::time_point until;
    http::responder respond;
  };

  void Handle(const http::request& request, const http::responder& respond);
  http::response Execute(const std::string& path, const nlohmann::json& body);
  http::response Start(const nlohmann::json& body);
  http::response Stop(const nlohmann::json& body);
  http::response Pace(const nlohmann::json& body);
  /// @return the tail latency of the lasting tasks, in ms.
  std::int64_t TailMs() const;
  nlohmann::json Lists(std::uint64_t last_seen);
  bool HasEnds(std::uint64_t last_seen) const;
  void End(task_state& state, const std::string& reason);
  void Step();
  void Announce();
  std::int64_t Clock() const;

  record& log_;
  std::string name_;
  int cpu_millis_;
  int memory_mb_;
  milliseconds start_time_{0};
  std::mutex mutex_;
  std::uint64_t boot_ = 1;
  std::int64_t born_ = 0;
  std::string id_;
  steady::time_point booted_;
  std::uint64_t fence_ = 0;
  std::int64_t lease_until_ = 0;
  std::uint64_t last_end_ = 0;
  std::uint64_t sequence_ = 0;
  std::map<std::string, std::uint32_t>
      closed_;  ///< highest run of a task that was stopped or ended
  std::vector<task_state> tasks_;
  std::vector<poll> polls_;
  std::deque<late_answer> answers_;
  std::string control_;
  steady::time_point next_beat_;
  bool stopping_ = false;
  std::condition_variable stopped_;
  std::unique_ptr<http::client> client_ = http::MakeCurlClient();
  std::unique_ptr<http::server> server_;
  std::unique_ptr<proxy> link_;
  std::thread timer_;
};

/// Processes of the programs under `target/bin`, with settings as the templates give them.
class fleet {
 public:
  /// @param link_store puts a proxy between each edge process and the store.
  fleet(record& log, store& platform, std::vector<minion*> minions, std::size_t edges,
        bool link_store = false);
  ~fleet();
  /// @return true once all programs have written their ready line.
  bool Ready();
  pid_t edge_pid(std::size_t index) const { return edges_[index].pid; }
  pid_t side_pid(std::size_t index) const { return sides_[index].pid; }
  const std::string& front(std::size_t index) const { return edges_[index].front; }
  const std::string& edge_name(std::size_t index) const { return edges_[index].name; }
  /// @return the proxy between an edge process and the store.
  proxy& store_link(std::size_t index) { return *edges_[index].store_link; }
  /// Sends a signal to an edge process.
  void SignalEdge(std::size_t index, int signal);
  void SignalSide(std::size_t index, int signal);
  /// Starts a process that has ended again, with the same settings.
  void RestartEdge(std::size_t index) { Restart(edges_[index]); }
  void RestartSide(std::size_t index) { Restart(sides_[index]); }
  /// Sends a request to an edge and records it. Status 0: no answer.
  http::response Call(std::size_t edge, const std::string& method, const std::string& path,
                      const std::string& body = "");
  /// Submits a job, with retries as PROTOCOL.md tells clients to.
  bool Submit(const std::string& id, const std::string& body);
  std::string log_path(std::size_t edge) const { return edges_[edge].log; }
  /// Ends all programs with SIGTERM, then SIGKILL after 6 s.
  void Stop();

 private:
  struct program {
    std::string name;
    std::string binary;
    std::string settings;
    std::string log;
    std::string front;
    std::unique_ptr<proxy> store_link;
    pid_t pid = 0;
  };
  void Spawn(program& each);
  void Restart(program& each);
  static void End(std::vector<program>& programs);

  record& log_;
  std::filesystem::path directory_;
  std::vector<program> edges_;
  std::vector<program> sides_;
  std::unique_ptr<http::client> client_ = http::MakeCurlClient();
};

/// @return true unless the environment holds `TROUBLE=0`.
bool WithTrouble();
/// Kills all started programs and exits with 2 after this time.
void SetTimeLimit(unsigned seconds);
void Sleep(std::int64_t ms);
/// @return the configuration of a deployment with one queue under "/q/".
std::string Configuration(int attempts = 4);

}  // namespace coltsfoot::review
