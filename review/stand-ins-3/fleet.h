#pragma once

#include <sys/types.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "../../platform/tests/program/stand_ins.h"
#include "http/client.h"
#include "store.h"

namespace coltsfoot::review {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Results of a case, as exit codes.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

/// Ends this program and all programs that it started after this time.
inline constexpr unsigned kTimeLimitS = 118;

/// What was sent, answered and run, in the file `record.txt` of a case.
class record {
 public:
  explicit record(const std::filesystem::path& file) : out_(file) {}
  /// Writes a line with the time since the start.
  void Write(const std::string& line);
  /// @return seconds since the start.
  double Seconds(steady::time_point at) const;

 private:
  std::mutex mutex_;
  std::ofstream out_;
  steady::time_point began_at_ = steady::now();
};

/// Settings of a fleet.
struct fleet_options {
  int entries = 2;
  int workers = 2;
  milliseconds task_time{400};
  int priority = 0;             ///< of the only queue
  bool targets_silent = false;  ///< the targets do not announce themselves
};

/// Entries and agents as the programs of the deploy file, with a store, targets
/// and callers.
class fleet {
 public:
  /// Makes the store, the targets and the settings. Starts no program yet.
  fleet(fleet_options options, record& log);
  ~fleet();
  fleet(const fleet&) = delete;
  fleet& operator=(const fleet&) = delete;

  metadata_store& store() { return store_; }
  platform::testing::target_stand_in& target(int index) { return *targets_.at(index); }

  /// Starts all programs. @return false if one of them does not get ready.
  bool StartAll();
  /// @return IP:PORT at which an agent takes announcements.
  const std::string& announcement(int worker) const { return announcements_.at(worker); }
  bool StartEntry(int index);
  bool StartRunner(int index);
  void KillEntry(int index) { Kill("entry-" + std::to_string(index)); }
  /// @return the resident memory of an entry, in bytes; 0 if it does not run.
  std::size_t MemoryOfEntry(int index);
  void KillRunner(int index) { Kill("runner-" + std::to_string(index)); }
  /// @return the index of the entry that the leader key names, or -1.
  int Coordinator();
  /// Waits until the entries report that they are ready. @return false after
  /// the limit.
  bool WaitUntilReady(seconds limit);

  /// Sends one request to an entry and records it. @return the answer; status
  /// 0: none.
  http::response Call(int entry, const std::string& method, const std::string& id,
                      const std::string& body = "");
  /// Submits a job, with retries under the same id as callers do. @return false
  /// if none accepts it.
  bool Submit(const std::string& id, const std::string& body);
  /// @return the state that an entry shows; empty if the answer has none.
  std::string StateOf(const std::string& id, int entry);
  /// @return true once an entry has shown the state; false after the limit.
  bool WaitForState(const std::string& id, const std::string& state, seconds limit);

  std::vector<platform::testing::observed_run> Runs();
  /// Records all runs that targets have seen.
  void RecordRuns() { RecordRuns(Runs()); }
  void RecordRuns(const std::vector<platform::testing::observed_run>& runs);

 private:
  bool Start(const std::string& id, const std::string& program);
  void Kill(const std::string& id);

  fleet_options options_;
  record& log_;
  std::filesystem::path directory_;
  metadata_store store_;
  std::vector<std::unique_ptr<platform::testing::target_stand_in>> targets_;
  std::vector<std::string> fronts_;
  std::vector<std::string> readies_;
  std::vector<std::string> announcements_;
  std::map<std::string, pid_t> running_;
  std::unique_ptr<http::client> client_ = http::MakeCurlClient();
};

/// Plays one case. @return `kHeld`, `kBroken` or `kCouldNotRun`.
using case_function = int (*)(const std::filesystem::path& directory, bool trouble, record& log);

int RunFullListing(const std::filesystem::path& directory, bool trouble, record& log);
int RunForgottenAgents(const std::filesystem::path& directory, bool trouble, record& log);
int RunLargeProgress(const std::filesystem::path& directory, bool trouble, record& log);
int RunLateStart(const std::filesystem::path& directory, bool trouble, record& log);
int RunLongImage(const std::filesystem::path& directory, bool trouble, record& log);
int RunManyTasks(const std::filesystem::path& directory, bool trouble, record& log);
int RunWholeWorkerTask(const std::filesystem::path& directory, bool trouble, record& log);

}  // namespace coltsfoot::review
