#pragma once

#include <sys/types.h>

#include <filesystem>
#include <fstream>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "../../platform/tests/program/stand_ins.h"
#include "minion.h"
#include "slow_store.h"

namespace coltsfoot::review {

/// Lines with the time since the start, in a file.
class record {
 public:
  explicit record(const std::string& path) : out_(path) {}
  void Add(const std::string& line);
  milliseconds Elapsed() const {
    return std::chrono::duration_cast<milliseconds>(steady::now() - began_at_);
  }
  /// @return the time of an event, since the start.
  long long Ms(steady::time_point at) const {
    return std::chrono::duration_cast<milliseconds>(at - began_at_).count();
  }

 private:
  std::mutex mutex_;
  steady::time_point began_at_ = steady::now();
  std::ofstream out_;
};

/// One of the project's programs as a process.
class program {
 public:
  program(const std::string& binary, const std::string& settings, const std::string& log);
  ~program();
  program(const program&) = delete;
  program& operator=(const program&) = delete;
  void Signal(int number) const;

 private:
  pid_t pid_ = 0;
};

/// Answer to a client; status 0 means that there was none.
struct client_answer {
  int status = 0;
  std::string body;
};

/// A small deployment on loopback: entries, and side machines with a minion and a runner each.
class fleet {
 public:
  struct layout {
    int entries = 2;
    std::vector<minion_options> minions;
    std::string configuration;         ///< value of op/config
    std::uint64_t changes_before = 0;  ///< that the store has had
  };

  /// Ends the program with exit code 2 if the deployment doesn't start.
  fleet(const layout& wanted, record& log);
  ~fleet();
  fleet(const fleet&) = delete;
  fleet& operator=(const fleet&) = delete;

  minion& At(std::size_t index) { return *minions_[index]; }
  std::size_t minions() const { return minions_.size(); }
  program& Entry(std::size_t index) { return *entries_[index]; }
  std::size_t entries() const { return entries_.size(); }
  /// @return the entry that places the tasks now.
  std::optional<std::size_t> Leader();
  void KillEntry(std::size_t index) { entries_[index].reset(); }
  /// Starts an entry again that was killed.
  void StartEntry(std::size_t index);
  void KillRunner(std::size_t index) { runners_[index].reset(); }
  slow_store& store() { return slow_store_; }
  /// Sends a client's request and waits for its answer until the time limit.
  client_answer Call(std::size_t entry, const std::string& method, const std::string& path,
                     const std::string& body = "", milliseconds time_limit = milliseconds{3000});
  /// @return all runs that the minions have seen, by their start.
  std::vector<seen_run> Runs();

 private:
  std::string Settings(const std::string& name, const std::string& text);
  void AwaitReady(std::size_t entry);

  record& log_;
  std::filesystem::path directory_;
  platform::testing::store_stand_in store_;
  slow_store slow_store_;
  std::vector<std::unique_ptr<minion>> minions_;
  std::vector<std::string> fronts_;
  std::vector<std::string> ready_;
  std::vector<std::string> entry_files_;
  std::vector<std::unique_ptr<program>> entries_;
  std::vector<std::unique_ptr<program>> runners_;
  std::unique_ptr<http::client> client_ = http::MakeCurlClient();
};

/// Writes all runs to the record.
void RecordRuns(fleet& all, record& log);

/// @return false if TROUBLE=0 is set.
bool HasTrouble();

}  // namespace coltsfoot::review
