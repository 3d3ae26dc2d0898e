#pragma once

#include <sys/types.h>

#include <condition_variable>
#include <filesystem>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "core/clock.h"

namespace coltsfoot::harness {

/// Keys of a settings file with their values in YAML.
using settings_map = std::map<std::string, std::string>;

/// @return `values` as a YAML list.
std::string YamlList(const std::vector<std::string>& values);

/// What to start.
struct process_spec {
  std::string program;  ///< name of a program in the build tree
  std::string id;
  settings_map settings;
  std::filesystem::path directory;  ///< for the settings file and the log
  /// Command line of a program without a settings file; its stdout joins its stderr.
  std::vector<std::string> arguments = {};
  /// Hard limit on the descriptors of the program; 0 leaves that of this process.
  std::size_t max_descriptors = 0;
  bool operator==(const process_spec&) const = default;
};

/// Running program of the build tree. Its stderr goes to `<directory>/<id>.log` and to this class.
class process {
 public:
  /// Starts the program.
  /// @throws std::system_error if it cannot be started.
  explicit process(process_spec spec);
  /// Kills the program if it still runs.
  ~process();
  process(const process&) = delete;
  process& operator=(const process&) = delete;

  /// Waits for a line of the log that contains `text`.
  /// @return the line, or nothing if the program ends or `bound` passes first.
  std::optional<std::string> WaitForLine(std::string_view text, core::milliseconds bound);
  /// @return all lines so far, each with its newline; all of them once the end has been seen.
  std::string Output();
  /// @return the endpoint "IP:PORT" that the ready line names `name` ("http", "tcp", "udp"); waits
  /// for the line. Empty if there is none within the start limit.
  std::string Endpoint(std::string_view name);
  /// Sends a signal. A program that has ended gets none.
  void Signal(int number);
  /// Waits until the program has ended.
  /// @return the exit code, 128 plus the signal that ended it, or nothing after `bound`.
  std::optional<int> WaitForExit(core::milliseconds bound);
  /// Sends SIGKILL and waits until the program has ended.
  void Kill();
  /// @return the process id; it may belong to another process once `running` is false.
  pid_t pid() const noexcept { return pid_; }
  /// @return true until the end of the program has been seen.
  bool running();

 private:
  void ReadLog(int descriptor);
  void AddText(std::string_view text, std::string& partial);

  process_spec spec_;
  pid_t pid_ = 0;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<std::string> lines_;
  std::optional<int> exit_code_;
  std::thread reader_;
};

/// Ends this test program, and all programs that it started, when `limit` has passed since the
/// first process was started. The default is 58 s, below the limit of CTest, which would leave the
/// started programs running.
void SetTimeLimit(std::chrono::seconds limit);

}  // namespace coltsfoot::harness
