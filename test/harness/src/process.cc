#include "harness/process.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cstdlib>
#include <fstream>
#include <system_error>
#include <utility>

namespace coltsfoot::harness {
namespace {

constexpr core::milliseconds kStartLimit{15000};
constexpr std::size_t kMaxProcesses = 256;
constexpr unsigned kDefaultLimitSeconds = 118;
constexpr int kSignalExitBase = 128;

std::array<std::atomic<pid_t>, kMaxProcesses> started_pids;
std::atomic<unsigned> limit_seconds{kDefaultLimitSeconds};

void OnAlarm(int /*signal*/) {
  for (const auto& pid : started_pids) {
    if (pid > 0) kill(pid, SIGKILL);
  }
  constexpr std::string_view kMessage = "time limit of the test program reached\n";
  [[maybe_unused]] const auto written = write(STDERR_FILENO, kMessage.data(), kMessage.size());
  _exit(1);
}

void StartAlarm() {
  static std::once_flag once;
  std::call_once(once, [] {
    signal(SIGALRM, OnAlarm);
    alarm(limit_seconds);
  });
}

void Register(pid_t pid) {
  for (auto& slot : started_pids) {
    pid_t none = 0;
    if (slot.compare_exchange_strong(none, pid)) return;
  }
}

void Unregister(pid_t pid) {
  for (auto& slot : started_pids) {
    pid_t expected = pid;
    if (slot.compare_exchange_strong(expected, 0)) return;
  }
}

/// @return the directory of the programs; the environment may name that of an earlier version, to
/// compare with it.
std::string ProgramDirectory() {
  const char* other = std::getenv("COLTSFOOT_PROGRAMS");
  return other != nullptr ? other : COLTSFOOT_BIN_DIR;
}

void Check(int failure, const char* what) {
  if (failure != 0) throw std::system_error(failure, std::generic_category(), what);
}

pid_t Spawn(std::string program, std::vector<std::string> words, int log_descriptor,
            bool with_stdout) {
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, log_descriptor, STDERR_FILENO);
  if (with_stdout) posix_spawn_file_actions_adddup2(&actions, log_descriptor, STDOUT_FILENO);
  // A program that inherits a socket of the relay would keep its connection open after the relay
  // has closed it, so that an entry never reconnects to a restarted agent.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  std::vector<char*> arguments{program.data()};
  for (std::string& word : words) arguments.push_back(word.data());
  arguments.push_back(nullptr);
  pid_t pid = 0;
  const int failure =
      posix_spawn(&pid, program.c_str(), &actions, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  Check(failure, program.c_str());
  return pid;
}

}  // namespace

std::string YamlList(const std::vector<std::string>& values) {
  std::string out = "[";
  for (const std::string& value : values) {
    out += (out.size() > 1 ? ", \"" : "\"") + value + "\"";
  }
  return out + "]";
}

void SetTimeLimit(std::chrono::seconds limit) {
  limit_seconds = static_cast<unsigned>(limit.count());
}

process::process(process_spec spec) : spec_(std::move(spec)) {
  StartAlarm();
  std::vector<std::string> words = spec_.arguments;
  if (words.empty()) {
    const std::filesystem::path file = spec_.directory / (spec_.id + ".yaml");
    words.push_back("--settings=" + file.string());
    std::ofstream out(file);
    for (const auto& [key, value] : spec_.settings) out << key << ": " << value << "\n";
  }
  std::array<int, 2> ends{};
  if (pipe2(ends.data(), O_CLOEXEC) != 0) Check(errno, "pipe2");
  std::string program = ProgramDirectory() + "/" + spec_.program;
  if (spec_.max_descriptors > 0) {
    // posix_spawn cannot set a limit, so that a shell does before it becomes the program.
    words.insert(
        words.begin(),
        {"-c", "ulimit -n " + std::to_string(spec_.max_descriptors) + R"( && exec "$0" "$@")",
         std::exchange(program, "/bin/sh")});
  }
  pid_ = Spawn(std::move(program), std::move(words), ends[1], !spec_.arguments.empty());
  Register(pid_);
  close(ends[1]);
  reader_ = std::thread([this, descriptor = ends[0]] { ReadLog(descriptor); });
}

process::~process() {
  Kill();
  reader_.join();
}

void process::ReadLog(int descriptor) {
  std::ofstream copy(spec_.directory / (spec_.id + ".log"), std::ios::app);
  std::array<char, 4096> buffer{};
  std::string partial;
  for (;;) {
    const ssize_t count = read(descriptor, buffer.data(), buffer.size());
    if (count < 0 && errno == EINTR) continue;
    if (count <= 0) break;
    const std::string_view text(buffer.data(), static_cast<std::size_t>(count));
    copy << text << std::flush;
    AddText(text, partial);
  }
  close(descriptor);
  siginfo_t ended{};
  waitid(P_PID, static_cast<id_t>(pid_), &ended, WEXITED | WNOWAIT);
  // Reaped under the lock, so that no signal goes to another process that reuses the id.
  const std::lock_guard lock(mutex_);
  Unregister(pid_);
  int status = 0;
  waitpid(pid_, &status, 0);
  exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : kSignalExitBase + WTERMSIG(status);
  changed_.notify_all();
}

void process::AddText(std::string_view text, std::string& partial) {
  const std::lock_guard lock(mutex_);
  for (const char character : text) {
    if (character != '\n') {
      partial += character;
      continue;
    }
    lines_.push_back(std::exchange(partial, {}));
  }
  changed_.notify_all();
}

std::optional<std::string> process::WaitForLine(std::string_view text, core::milliseconds bound) {
  std::unique_lock lock(mutex_);
  std::optional<std::string> found;
  std::size_t checked = 0;
  changed_.wait_for(lock, bound, [&] {
    for (; !found && checked < lines_.size(); ++checked) {
      if (lines_[checked].find(text) != std::string::npos) found = lines_[checked];
    }
    return found.has_value() || exit_code_.has_value();
  });
  return found;
}

std::string process::Output() {
  const std::lock_guard lock(mutex_);
  std::string out;
  for (const std::string& line : lines_) out += line + "\n";
  return out;
}

std::string process::Endpoint(std::string_view name) {
  const std::string line = WaitForLine("event=ready", kStartLimit).value_or("");
  const std::string key = " " + std::string(name) + "=";
  const std::size_t begin = line.find(key);
  if (begin == std::string::npos) return "";
  const std::size_t from = begin + key.size();
  return line.substr(from, line.find(' ', from) - from);
}

void process::Signal(int number) {
  const std::lock_guard lock(mutex_);
  if (!exit_code_) kill(pid_, number);
}

std::optional<int> process::WaitForExit(core::milliseconds bound) {
  std::unique_lock lock(mutex_);
  changed_.wait_for(lock, bound, [this] { return exit_code_.has_value(); });
  return exit_code_;
}

void process::Kill() {
  Signal(SIGKILL);
  std::unique_lock lock(mutex_);
  changed_.wait(lock, [this] { return exit_code_.has_value(); });
}

bool process::running() {
  const std::lock_guard lock(mutex_);
  return !exit_code_;
}

}  // namespace coltsfoot::harness
