#include "fleet.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <thread>

namespace coltsfoot::review {
namespace {

constexpr milliseconds kReadyLimit{20'000};
constexpr milliseconds kPause{50};
constexpr milliseconds kStoreDelay{4};  // "4 ms an answer" on the sheets

[[noreturn]] void GiveUp(const std::string& reason) {
  std::cerr << reason << "\n";
  std::exit(2);
}

/// @return a port of the loopback address that no one uses now and that was not returned before.
int FreePort() {
  // Below the range from which the kernel takes the ports of outgoing connections.
  constexpr int kFirst = 20'000;
  constexpr int kCount = 12'000;
  constexpr int kPerProcess = 40;
  static int next = static_cast<int>(getpid()) * kPerProcess;
  for (int tried = 0; tried < kCount; ++tried) {
    const int port = kFirst + next++ % kCount;
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    const bool is_free =
        bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
    close(descriptor);
    if (is_free) return port;
  }
  GiveUp("no free port");
}

std::string FreeAddress() { return fmt::format("127.0.0.1:{}", FreePort()); }

}  // namespace

void record::Add(const std::string& line) {
  const std::lock_guard lock(mutex_);
  out_ << fmt::format("{:8} ms  {}", Elapsed().count(), line) << std::endl;
}

program::program(const std::string& binary, const std::string& settings, const std::string& log) {
  std::string path = "target/bin/" + binary;
  std::string argument = "--settings=" + settings;
  std::vector<char*> arguments{path.data(), argument.data(), nullptr};
  pid_ = fork();
  if (pid_ < 0) GiveUp("cannot start " + path);
  if (pid_ > 0) return;
  // The program ends with the driver, however that ends.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(output, STDOUT_FILENO);
  dup2(output, STDERR_FILENO);
  close_range(STDERR_FILENO + 1, ~0U, 0);
  execv(path.c_str(), arguments.data());
  _exit(127);
}

program::~program() {
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
}

void program::Signal(int number) const { kill(pid_, number); }

fleet::fleet(const layout& wanted, record& log)
    : log_(log), slow_store_(store_.address(), kStoreDelay, wanted.changes_before) {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "coltsfoot-review-XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr) GiveUp("no temporary folder");
  directory_ = pattern;
  store_.Put("op/config", wanted.configuration);
  for (int index = 0; index < wanted.entries; ++index) {
    fronts_.push_back(FreeAddress());
    ready_.push_back(FreeAddress());
    const std::string name = fmt::format("edge-{}", index);
    const std::string file = Settings(
        name, fmt::format("front: {}\nready: {}\npeer: {}\nmetrics: {}\nprocessor_share: 0.1\n"
                          "processor_speed: 1\nconfig_bound_ms: 2000\n",
                          fronts_.back(), ready_.back(), FreeAddress(), FreeAddress()));
    entry_files_.push_back(file);
    entries_.emplace_back();
    StartEntry(entries_.size() - 1);
  }
  for (const minion_options& each : wanted.minions) {
    minions_.push_back(std::make_unique<minion>(each));
    const std::string control = FreeAddress();
    const std::string file =
        Settings("side-" + each.name,
                 fmt::format("announce: {}\ntarget: {}\npeer: {}\nmetrics: {}\n", control,
                             minions_.back()->address(), FreeAddress(), FreeAddress()));
    runners_.push_back(std::make_unique<program>("coltsfoot-runner", file, file + ".log"));
    minions_.back()->PingTo(control);
  }
  for (std::size_t index = 0; index < entries_.size(); ++index) AwaitReady(index);
  log_.Add(fmt::format("{} entries are ready", entries_.size()));
}

fleet::~fleet() {
  entries_.clear();
  runners_.clear();
  minions_.clear();
  if (std::getenv("KEEP_LOGS") == nullptr) std::filesystem::remove_all(directory_);
}

void fleet::StartEntry(std::size_t index) {
  const std::string& file = entry_files_[index];
  entries_[index] = std::make_unique<program>("coltsfoot-scheduler", file, file + ".log");
}

std::optional<std::size_t> fleet::Leader() {
  const auto value = store_.Find("coltsfoot/in/leader");
  for (std::size_t index = 0; value && index < entries_.size(); ++index) {
    if (value->find(fmt::format("edge-{}", index)) != std::string::npos) return index;
  }
  return std::nullopt;
}

std::string fleet::Settings(const std::string& name, const std::string& text) {
  std::string file = (directory_ / (name + ".yaml")).string();
  std::ofstream(file) << "id: " << name << "\nstore: " << slow_store_.address() << "\n" << text;
  return file;
}

void fleet::AwaitReady(std::size_t entry) {
  const auto limit = steady::now() + kReadyLimit;
  while (steady::now() < limit) {
    const auto result = http::CallAndWait(
        *client_, {.url = "http://" + ready_[entry] + "/-/readyz", .timeout = milliseconds{500}});
    if (result.answer && result.answer->status == 200) return;
    std::this_thread::sleep_for(kPause);
  }
  GiveUp("an entry isn't ready");
}

client_answer fleet::Call(std::size_t entry, const std::string& method, const std::string& path,
                          const std::string& body, milliseconds time_limit) {
  http::call request{
      .method = method,
      .url = "http://" + fronts_[entry] + path,
      .headers = {{"Host", "h.example"}, {"Deadline-Ms", std::to_string(time_limit.count())}},
      .body = body,
      .timeout = time_limit,
      .at_most_once = true};
  if (!body.empty()) request.headers.emplace("Content-Type", "application/json");
  const auto result = http::CallAndWait(*client_, std::move(request));
  client_answer answer =
      result.answer ? client_answer{result.answer->status, result.answer->body} : client_answer{};
  log_.Add(fmt::format("edge-{} {} {} -> {} {}", entry, method, path,
                       answer.status == 0 ? "no answer" : std::to_string(answer.status),
                       answer.body));
  return answer;
}

std::vector<seen_run> fleet::Runs() {
  std::vector<seen_run> out;
  for (const auto& each : minions_) {
    for (seen_run& run : each->Runs()) out.push_back(std::move(run));
  }
  std::sort(out.begin(), out.end(),
            [](const auto& left, const auto& right) { return left.started_at < right.started_at; });
  return out;
}

void RecordRuns(fleet& all, record& log) {
  for (const seen_run& run : all.Runs()) {
    log.Add(fmt::format("run of {} number {} at {}: from {} ms to {}", run.task, run.run,
                        run.minion, log.Ms(run.started_at),
                        run.ended_at ? fmt::format("{} ms, {}", log.Ms(*run.ended_at), run.how)
                                     : "the end of the record"));
  }
}

bool HasTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

}  // namespace coltsfoot::review
