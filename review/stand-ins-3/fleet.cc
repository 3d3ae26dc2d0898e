#include "fleet.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <stdexcept>
#include <thread>
#include <utility>

namespace coltsfoot::review {
namespace {

using platform::testing::observed_run;
using platform::testing::target_stand_in;

constexpr std::size_t kMaxProcesses = 16;
constexpr milliseconds kRetryPause{200};
constexpr milliseconds kCallTimeout{3000};
constexpr seconds kStartLimit{10};

std::array<std::atomic<pid_t>, kMaxProcesses> started;

void OnAlarm(int /*signal*/) {
  for (const auto& pid : started) {
    if (pid > 0) kill(pid, SIGKILL);
  }
  _exit(kCouldNotRun);
}

void Register(pid_t pid) {
  for (auto& slot : started) {
    pid_t none = 0;
    if (slot.compare_exchange_strong(none, pid)) return;
  }
}

void Unregister(pid_t pid) {
  for (auto& slot : started) {
    pid_t expected = pid;
    if (slot.compare_exchange_strong(expected, 0)) return;
  }
}

/// @return free ports below those that the kernel gives to connections. Fleets that run at the same
/// time choose from different ones.
std::vector<int> FreePorts(std::size_t count) {
  constexpr int kFirst = 12000;
  constexpr int kBlock = 60;
  constexpr int kBlocks = 330;
  static int next = 0;
  asio::io_context context;
  std::vector<int> ports;
  while (ports.size() < count && next < kBlock) {
    const int port = kFirst + (::getpid() % kBlocks) * kBlock + next++;
    asio::ip::tcp::acceptor acceptor(context);
    asio::error_code failure;
    acceptor.open(asio::ip::tcp::v4());
    acceptor.bind({asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(port)}, failure);
    if (!failure) ports.push_back(port);
  }
  if (ports.size() < count) throw std::runtime_error("too few free ports");
  return ports;
}

std::string Local(int port) { return "127.0.0.1:" + std::to_string(port); }

std::string Configuration(int priority) {
  return R"({"version":1,"routes":[{"name":"q","host":"h.example","prefix":"/q/",)"
         R"("service":"svc","sloMs":500,"priority":)" +
         std::to_string(priority) +
         R"(,"attempts":2,"stretch":2.0}],"services":[{"name":"svc"}],"limits":{}})";
}

}  // namespace

void record::Write(const std::string& line) {
  const std::lock_guard lock(mutex_);
  char time[32];
  std::snprintf(time, sizeof(time), "%8.3f ", Seconds(steady::now()));
  out_ << time << line << '\n' << std::flush;
}

double record::Seconds(steady::time_point at) const {
  return std::chrono::duration<double>(at - began_at_).count();
}

fleet::fleet(fleet_options options, record& log) : options_(options), log_(log) {
  signal(SIGALRM, OnAlarm);
  alarm(kTimeLimitS);
  directory_ =
      std::filesystem::temp_directory_path() / ("coltsfoot-review-3-" + std::to_string(::getpid()));
  std::filesystem::create_directories(directory_);
  store_.Put("op/config", Configuration(options_.priority));
  for (int index = 0; index < options_.entries; ++index) {
    const auto ports = FreePorts(4);
    fronts_.push_back(Local(ports[0]));
    readies_.push_back(Local(ports[1]));
    const std::string id = "entry-" + std::to_string(index);
    std::ofstream(directory_ / (id + ".yaml"))
        << "id: " << id << "\nfront: " << fronts_.back() << "\nready: " << readies_.back()
        << "\npeer: " << Local(ports[2]) << "\nmetrics: " << Local(ports[3])
        << "\nstore: " << store_.address()
        << "\nprocessor_share: 0.1\nprocessor_speed: 1\nconfig_bound_ms: 2000\nmemory_mb: 260\n"
           "max_descriptors: 4100\n";
  }
  for (int index = 0; index < options_.workers; ++index) {
    const std::string number = std::to_string(index);
    targets_.push_back(
        std::make_unique<target_stand_in>("t-" + number, options_.task_time, "z-" + number));
    const auto ports = FreePorts(3);
    announcements_.push_back(Local(ports[0]));
    const std::string id = "runner-" + number;
    std::ofstream(directory_ / (id + ".yaml"))
        << "id: " << id << "\nannounce: " << announcements_.back()
        << "\ntarget: " << targets_.back()->address() << "\npeer: " << Local(ports[1])
        << "\nmetrics: " << Local(ports[2]) << "\nstore: " << store_.address()
        << "\nmax_task_lease_ms: 10000\nconfirm_ends_within_ms: 4000\nmemory_mb: 128\n"
           "max_descriptors: 4096\n";
  }
}

fleet::~fleet() {
  while (!running_.empty()) Kill(running_.begin()->first);
  if (std::getenv("KEEP_LOGS") == nullptr) std::filesystem::remove_all(directory_);
}

bool fleet::StartAll() {
  for (int index = 0; index < options_.workers; ++index) {
    if (!StartRunner(index)) return false;
  }
  for (int index = 0; index < options_.entries; ++index) {
    if (!StartEntry(index)) return false;
  }
  return WaitUntilReady(kStartLimit);
}

bool fleet::StartEntry(int index) {
  return Start("entry-" + std::to_string(index), "coltsfoot-scheduler");
}

bool fleet::StartRunner(int index) {
  if (!Start("runner-" + std::to_string(index), "coltsfoot-runner")) return false;
  if (!options_.targets_silent) targets_.at(index)->AnnounceTo(announcements_.at(index));
  return true;
}

bool fleet::Start(const std::string& id, const std::string& program) {
  const std::string path = "target/bin/" + program;
  const std::string settings = "--settings=" + (directory_ / (id + ".yaml")).string();
  const std::string output = (directory_ / (id + ".log")).string();
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, output.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  std::string arguments[] = {path, settings};
  char* argv[] = {arguments[0].data(), arguments[1].data(), nullptr};
  pid_t pid = 0;
  const int failure = posix_spawn(&pid, path.c_str(), &actions, nullptr, argv, environ);
  posix_spawn_file_actions_destroy(&actions);
  log_.Write("start " + id + (failure == 0 ? "" : " failed"));
  if (failure != 0) return false;
  Register(pid);
  running_[id] = pid;
  return true;
}

void fleet::Kill(const std::string& id) {
  const auto node = running_.extract(id);
  if (!node) return;
  kill(node.mapped(), SIGKILL);
  waitpid(node.mapped(), nullptr, 0);
  Unregister(node.mapped());
  log_.Write("kill " + id);
}

std::size_t fleet::MemoryOfEntry(int index) {
  const auto process = running_.find("entry-" + std::to_string(index));
  if (process == running_.end()) return 0;
  std::ifstream status("/proc/" + std::to_string(process->second) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("VmRSS:")) return 1024 * std::stoull(line.substr(6));
  }
  return 0;
}

int fleet::Coordinator() {
  const auto leader = store_.Find("coltsfoot/in/leader");
  for (int index = 0; leader && index < options_.entries; ++index) {
    if (leader->find("entry-" + std::to_string(index)) != std::string::npos) return index;
  }
  return -1;
}

bool fleet::WaitUntilReady(seconds limit) {
  const auto until = steady::now() + limit;
  const auto is_ready = [this](const std::string& address) {
    const auto result = http::CallAndWait(
        *client_, {.url = "http://" + address + "/-/readyz", .timeout = kCallTimeout});
    return result.answer && result.answer->status == 200;
  };
  for (const std::string& address : readies_) {
    while (!is_ready(address)) {
      if (steady::now() > until) return false;
      std::this_thread::sleep_for(kRetryPause);
    }
  }
  while (Coordinator() < 0) {
    if (steady::now() > until) return false;
    std::this_thread::sleep_for(kRetryPause);
  }
  return true;
}

http::response fleet::Call(int entry, const std::string& method, const std::string& id,
                           const std::string& body) {
  const auto result = http::CallAndWait(
      *client_, {.method = method,
                 .url = "http://" + fronts_.at(entry) + "/q/" + id,
                 .headers = {{"Host", "h.example"}, {"Content-Type", "application/json"}},
                 .body = body,
                 .timeout = kCallTimeout});
  http::response answer = result.answer ? *result.answer : http::response{.status = 0};
  log_.Write(method + " " + id + " at entry-" + std::to_string(entry) + " -> " +
             std::to_string(answer.status) + " " + answer.body);
  return answer;
}

bool fleet::Submit(const std::string& id, const std::string& body) {
  constexpr int kAttempts = 5;
  for (int attempt = 0; attempt < kAttempts; ++attempt) {
    const auto answer = Call(attempt % options_.entries, "POST", id, body);
    if (answer.status / 100 == 2) return true;
    std::this_thread::sleep_for(kRetryPause);
  }
  return false;
}

std::string fleet::StateOf(const std::string& id, int entry) {
  const auto answer = Call(entry, "GET", id);
  const auto body = nlohmann::json::parse(answer.body, nullptr, false);
  if (answer.status != 200 || !body.is_object()) return "";
  return body.value("state", std::string());
}

bool fleet::WaitForState(const std::string& id, const std::string& state, seconds limit) {
  const auto until = steady::now() + limit;
  for (int attempt = 0; steady::now() < until; ++attempt) {
    if (StateOf(id, attempt % options_.entries) == state) return true;
    std::this_thread::sleep_for(kRetryPause);
  }
  return false;
}

std::vector<observed_run> fleet::Runs() {
  std::vector<observed_run> runs;
  for (const auto& target : targets_) {
    for (observed_run& run : target->Runs()) runs.push_back(std::move(run));
  }
  return runs;
}

void fleet::RecordRuns(const std::vector<observed_run>& runs) {
  for (const observed_run& run : runs) {
    char times[64];
    std::snprintf(times, sizeof(times), " started %.3f ended %.3f", log_.Seconds(run.started_at),
                  run.ended_at ? log_.Seconds(*run.ended_at) : -1.0);
    log_.Write("run " + run.task + " number " + std::to_string(run.run) + " at " + run.target +
               times + " " + run.reason);
  }
}

}  // namespace coltsfoot::review
