#include "stand_ins.h"

#include <absl/strings/escaping.h>
#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <atomic>
#include <cstdlib>
#include <utility>

namespace coltsfoot::review {
namespace {

using nlohmann::json;

constexpr milliseconds kStep{5};
constexpr milliseconds kStoreStep{1};
constexpr milliseconds kStoreDelay{4};
constexpr milliseconds kHeartbeat{1500};
constexpr std::int64_t kHoldMaxMs = 10'000;
constexpr std::size_t kMaxListedEnds = 500;
// Load of the lasting tasks: their tail latency without other tasks is low at first and then
// changes between the two values. Each task that fills adds this much at full pace.
constexpr std::int64_t kQuietMs = 16'000;
constexpr std::int64_t kSwingMs = 3000;
constexpr std::int64_t kLowTailMs = 10;
constexpr std::int64_t kHighTailMs = 44;
constexpr std::int64_t kPressurePermille = 30;
constexpr std::size_t kPageItems = 500;
constexpr std::size_t kMaxPrograms = 64;
constexpr int kCannotRun = 2;

std::array<std::atomic<pid_t>, kMaxPrograms> started;

http::response Answer(int status, const json& body) {
  return http::JsonResponse(status, body.dump());
}

std::uint64_t Number(const http::request& request, std::string_view name) {
  return std::stoull(request.FindParameter(name).value_or("0"));
}

/// @return free ports below the range from which the kernel takes ports of clients.
int FreePort() {
  constexpr int kFirst = 12'000;
  constexpr int kCount = 20'000;
  static int next = static_cast<int>(::getpid() * 137L % kCount);
  asio::io_context context;
  while (true) {
    const int port = kFirst + next++ % kCount;
    asio::ip::tcp::acceptor probe(context);
    probe.open(asio::ip::tcp::v4());
    asio::error_code taken;
    probe.bind({asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(port)}, taken);
    if (!taken) return port;
  }
}

std::string Local(int port) { return "127.0.0.1:" + std::to_string(port); }

void OnAlarm(int /*signal*/) {
  for (const auto& pid : started) {
    if (pid > 0) kill(pid, SIGKILL);
  }
  _exit(kCannotRun);
}

std::int64_t UnixMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

void record::Add(const std::string& line) {
  const std::lock_guard lock(mutex_);
  out_ << Now() << " ms " << line << std::endl;
}

std::int64_t record::Now() const {
  return std::chrono::duration_cast<milliseconds>(steady::now() - began_).count();
}

store::store()
    : server_(std::make_unique<http::server>(
          http::server_options{},
          [this](const http::request& request, const http::responder& respond) {
            const std::lock_guard lock(mutex_);
            calls_.push_back({steady::now() + kStoreDelay, request, respond});
          })) {
  timer_ = std::thread([this] {
    std::unique_lock lock(mutex_);
    while (!stopped_.wait_for(lock, kStoreStep, [this] { return stopping_; })) {
      while (!calls_.empty() && calls_.front().due <= steady::now()) {
        const call next = std::move(calls_.front());
        calls_.pop_front();
        Handle(next.request, next.respond);
      }
      Step();
    }
  });
}

store::~store() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  stopped_.notify_all();
  timer_.join();
  server_.reset();
}

json store::Encode(const std::string& key, const item& entry) {
  return {{"key", key},
          {"value", entry.value},
          {"rev", entry.revision},
          {"created", entry.created},
          {"lease", entry.lease}};
}

void store::Put(const std::string& key, const std::string& value) {
  const std::lock_guard lock(mutex_);
  ++revision_;
  Write(key, item{absl::Base64Escape(value), revision_, revision_, 0});
  Step();
}

void store::SetDown(bool down) {
  const std::lock_guard lock(mutex_);
  if (down == down_) return;
  down_ = down;
  if (down) {
    down_since_ = steady::now();
    return;
  }
  for (auto& [id, each] : leases_) each.until += steady::now() - down_since_;
  unanswered_.clear();
}

void store::DropHistory() {
  const std::lock_guard lock(mutex_);
  history_.clear();
  history_from_ = ++revision_;
  Step();
}

json store::Dump() {
  const std::lock_guard lock(mutex_);
  json out = json::array();
  for (const auto& [key, entry] : items_) {
    if (entry.lease == 0) out.push_back(Encode(key, entry));
  }
  return out;
}

void store::Load(const json& items) {
  const std::lock_guard lock(mutex_);
  for (const json& each : items) {
    const auto revision = each.at("rev").get<std::uint64_t>();
    items_[each.at("key").get<std::string>()] = {each.at("value").get<std::string>(), revision,
                                                 each.at("created").get<std::uint64_t>(), 0};
    revision_ = std::max(revision_, revision);
  }
  history_from_ = revision_;
}

std::string store::Value(const std::string& key) {
  const std::lock_guard lock(mutex_);
  const auto found = items_.find(key);
  std::string value;
  if (found == items_.end() || !absl::Base64Unescape(found->second.value, &value)) return "";
  return value;
}

void store::Write(const std::string& key, std::optional<item> now) {
  if (now) {
    const auto before = items_.find(key);
    if (before != items_.end()) now->created = before->second.created;
    items_[key] = *now;
  } else {
    items_.erase(key);
  }
  history_.push_back({key, revision_, std::move(now)});
}

void store::Handle(const http::request& request, const http::responder& respond) {
  if (down_) {
    unanswered_.push_back(respond);
    return;
  }
  if (request.path == "/-/kv-watch") {
    watches_.push_back({request.FindParameter("prefix").value_or(""), Number(request, "after"),
                        steady::now() + milliseconds(Number(request, "waitMs")), respond});
  } else if (request.path == "/-/kv-key") {
    const std::string key = request.FindParameter("key").value_or("");
    const auto found = items_.find(key);
    json body = found == items_.end() ? json::object() : Encode(key, found->second);
    body["storeRevision"] = revision_;
    respond(Answer(found == items_.end() ? 404 : 200, body));
  } else if (request.path == "/-/kv-range") {
    respond(Range(request));
  } else if (request.path == "/-/kv-txn") {
    respond(Commit(request));
  } else {
    respond(Lease(request));
  }
  Step();
}

http::response store::Range(const http::request& request) {
  const std::string prefix = request.FindParameter("prefix").value_or("");
  const std::string after = request.FindParameter("after").value_or("");
  json items = json::array();
  bool truncated = false;
  for (auto each = items_.lower_bound(prefix); each != items_.end(); ++each) {
    if (!each->first.starts_with(prefix)) break;
    if (!after.empty() && each->first <= after) continue;
    truncated = items.size() == kPageItems;
    if (truncated) break;
    items.push_back(Encode(each->first, each->second));
  }
  return Answer(200, {{"items", items}, {"truncated", truncated}, {"storeRevision", revision_}});
}

http::response store::Commit(const http::request& request) {
  const json body = json::parse(request.body);
  const json none = json::array();
  bool holds = true;
  json present = json::array();
  for (const json& row : body.value("expectRev", none)) {
    const auto key = row.at("key").get<std::string>();
    const auto found = items_.find(key);
    const std::uint64_t revision = found == items_.end() ? 0 : found->second.revision;
    holds = holds && revision == row.at("rev").get<std::uint64_t>();
    if (found != items_.end()) present.push_back(Encode(key, found->second));
  }
  if (!holds) return Answer(412, {{"items", present}});
  for (const json& put : body.value("puts", none)) {
    const auto on = put.value("lease", std::uint64_t{0});
    if (on != 0 && !leases_.contains(on)) return Answer(404, json::object());
  }
  ++revision_;
  for (const json& put : body.value("puts", none)) {
    Write(put.at("key").get<std::string>(), item{put.at("value").get<std::string>(), revision_,
                                                 revision_, put.value("lease", std::uint64_t{0})});
  }
  for (const json& key : body.value("remove", none)) {
    if (items_.contains(key.get<std::string>())) Write(key.get<std::string>(), std::nullopt);
  }
  return Answer(200, {{"rev", revision_}});
}

http::response store::Lease(const http::request& request) {
  if (request.path == "/-/kv-lease") {
    const milliseconds ttl(json::parse(request.body).at("ttlMs").get<std::int64_t>());
    leases_[++last_lease_] = {ttl, steady::now() + ttl};
    return Answer(200, {{"lease", last_lease_}, {"ttlMs", ttl.count()}});
  }
  const std::uint64_t id = std::stoull(request.path.substr(request.path.rfind('/') + 1));
  const auto found = leases_.find(id);
  if (found == leases_.end()) return Answer(404, json::object());
  const bool ends = request.method == "DELETE";
  found->second.until = steady::now() + (ends ? milliseconds{0} : found->second.ttl);
  return Answer(200, {{"ttlMs", found->second.ttl.count()}});
}

void store::Step() {
  if (down_) return;
  std::erase_if(leases_, [this](const auto& each) {
    if (steady::now() < each.second.until) return false;
    std::vector<std::string> expired;
    for (const auto& [key, entry] : items_) {
      if (entry.lease == each.first) expired.push_back(key);
    }
    if (!expired.empty()) ++revision_;
    for (const std::string& key : expired) Write(key, std::nullopt);
    return true;
  });
  std::erase_if(watches_, [this](const watch& each) {
    const auto answer = Changes(each);
    if (answer) each.respond(*answer);
    return answer.has_value();
  });
}

std::optional<http::response> store::Changes(const watch& waiting) const {
  if (waiting.after < history_from_) return Answer(410, json::object());
  json events = json::array();
  for (const change& each : history_) {
    if (each.revision <= waiting.after || !each.key.starts_with(waiting.prefix)) continue;
    if (each.now) {
      json event = Encode(each.key, *each.now);
      event["rev"] = each.revision;
      events.push_back(std::move(event));
    } else {
      events.push_back({{"key", each.key}, {"rev", each.revision}, {"removed", true}});
    }
  }
  if (events.empty() && steady::now() < waiting.until) return std::nullopt;
  return Answer(200, {{"events", events}, {"storeRevision", revision_}});
}

minion::minion(record& log, std::string name, int cpu_millis, int memory_mb)
    : log_(log),
      name_(std::move(name)),
      cpu_millis_(cpu_millis),
      memory_mb_(memory_mb),
      born_(UnixMs()),
      id_(name_ + "-1"),
      booted_(steady::now()),
      server_(std::make_unique<http::server>(
          http::server_options{},
          [this](const http::request& request, const http::responder& respond) {
            Handle(request, respond);
          })) {
  timer_ = std::thread([this] {
    std::unique_lock lock(mutex_);
    while (!stopped_.wait_for(lock, kStep, [this] { return stopping_; })) Step();
  });
}

minion::~minion() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  stopped_.notify_all();
  timer_.join();
  client_.reset();
  server_.reset();
}

std::int64_t minion::Clock() const {
  return std::chrono::duration_cast<milliseconds>(steady::now() - booted_).count() + 1000;
}

void minion::AnnounceTo(const std::string& control) {
  const std::lock_guard lock(mutex_);
  control_ = control;
  next_beat_ = steady::now();
}

std::vector<seen_run> minion::Runs() {
  const std::lock_guard lock(mutex_);
  std::vector<seen_run> out;
  for (const task_state& each : tasks_) out.push_back(each.seen);
  return out;
}

void minion::Handle(const http::request& request, const http::responder& respond) {
  const json body = json::parse(request.body, nullptr, false);
  const std::lock_guard lock(mutex_);
  if (body.is_discarded()) {
    respond(Answer(400, {{"clockMs", Clock()}}));
    return;
  }
  const auto expected = request.FindHeader("Expect-Instance");
  if (expected && *expected != id_) {
    respond(Answer(421, {{"clockMs", Clock()}}));
    return;
  }
  const auto fence = body.value("fence", std::uint64_t{0});
  if (fence < fence_) {
    respond(Answer(409, {{"clockMs", Clock()}, {"reason", "fence"}}));
    return;
  }
  fence_ = fence;
  const std::int64_t until = std::min(body.value("untilMs", std::int64_t{0}), Clock() + kHoldMaxMs);
  lease_until_ = std::max(lease_until_, until);
  if (request.path == "/-/hold") {
    const auto last_seen = body.value("lastSeen", std::uint64_t{0});
    for (task_state& each : tasks_) {
      if (each.boot != boot_ || each.seen.reason.empty() || each.end_number > last_seen) continue;
      each.seen.noted = each.seen.noted || !each.lapsed;
    }
    polls_.push_back({last_seen, steady::now() + milliseconds(body.value("waitMs", 0)), respond});
    Step();
    return;
  }
  const http::response answer = Execute(request.path, body);
  if (request.path == "/-/run-start" && start_time_.count() > 0) {
    answers_.push_back({steady::now() + start_time_, respond, answer});
  } else {
    respond(answer);
  }
}

http::response minion::Execute(const std::string& path, const json& body) {
  if (path == "/-/run-start") return Start(body);
  if (path == "/-/run-stop") return Stop(body);
  if (path == "/-/pace") return Pace(body);
  return Answer(200, {{"clockMs", Clock()}});
}

http::response minion::Start(const json& body) {
  const auto task = body.at("task").get<std::string>();
  const auto run = body.at("run").get<std::uint32_t>();
  for (const task_state& each : tasks_) {
    if (each.boot == boot_ && each.seen.task == task && each.seen.run == run &&
        each.seen.reason.empty()) {
      return Answer(200, {{"clockMs", Clock()}});
    }
  }
  const auto closed = closed_.find(task);
  if (closed != closed_.end() && run <= closed->second) {
    return Answer(409, {{"clockMs", Clock()}, {"reason", "old"}});
  }
  if (body.value("untilMs", std::int64_t{0}) <= Clock()) {
    return Answer(409, {{"clockMs", Clock()}, {"reason", "late"}});
  }
  task_state& added = tasks_.emplace_back();
  added.seen = {.task = task, .run = run, .minion = name_, .started_ms = log_.Now()};
  added.payload = body.value("spec", std::string());
  added.boot = boot_;
  added.started = steady::now();
  log_.Add("start of " + task + " run " + std::to_string(run) + " on " + name_);
  return Answer(200, {{"clockMs", Clock()}});
}

http::response minion::Stop(const json& body) {
  const auto task = body.at("task").get<std::string>();
  const auto run = body.at("run").get<std::uint32_t>();
  closed_[task] = std::max(closed_[task], run);
  for (task_state& each : tasks_) {
    if (each.boot == boot_ && each.seen.task == task && each.seen.run <= run &&
        each.seen.reason.empty()) {
      End(each, "stopped");
    }
  }
  return Answer(200, {{"clockMs", Clock()}});
}

http::response minion::Pace(const json& body) {
  for (task_state& each : tasks_) {
    if (each.boot == boot_ && each.seen.reason.empty() &&
        each.seen.task == body.at("task").get<std::string>() &&
        each.seen.run == body.at("run").get<std::uint32_t>()) {
      each.pace = body.value("percent", std::int64_t{100});
    }
  }
  return Answer(200, {{"clockMs", Clock()}});
}

std::int64_t minion::TailMs() const {
  std::int64_t filling = 0;
  for (const task_state& each : tasks_) {
    if (each.boot == boot_ && each.seen.reason.empty() && each.payload.starts_with("fill")) {
      filling += each.pace;
    }
  }
  const bool low = Clock() < kQuietMs || Clock() / kSwingMs % 2 == 0;
  const std::int64_t base = low ? kLowTailMs : kHighTailMs;
  return base + base * filling * kPressurePermille / 100 / 1000;
}

void minion::End(task_state& state, const std::string& reason) {
  state.seen.reason = reason;
  state.seen.ended_ms = log_.Now();
  state.end_number = ++last_end_;
  closed_[state.seen.task] = std::max(closed_[state.seen.task], state.seen.run);
  log_.Add("end of " + state.seen.task + " run " + std::to_string(state.seen.run) + " on " + name_ +
           ": " + reason);
}

bool minion::HasEnds(std::uint64_t last_seen) const {
  return std::any_of(tasks_.begin(), tasks_.end(), [&](const task_state& each) {
    return each.boot == boot_ && !each.seen.reason.empty() && each.end_number > last_seen;
  });
}

json minion::Lists(std::uint64_t last_seen) {
  json running = json::array();
  std::vector<const task_state*> ends;
  for (const task_state& each : tasks_) {
    if (each.boot != boot_) continue;
    if (each.seen.reason.empty()) {
      const auto ms =
          std::chrono::duration_cast<milliseconds>(steady::now() - each.started).count();
      // Each look shows progress, so that no task seems to stand still.
      const bool lasting = each.payload == "lasting";
      const std::int64_t percent = lasting ? 100 : ms / 500 % 100;
      const std::int64_t reading = lasting ? TailMs() : 10 * each.pace;
      running.push_back({each.seen.task, each.seen.run, "", percent, reading});
    } else if (each.end_number > last_seen) {
      ends.push_back(&each);
    }
  }
  std::sort(ends.begin(), ends.end(), [](const auto* left, const auto* right) {
    return left->end_number < right->end_number;
  });
  json ended = json::array();
  for (const task_state* each : ends) {
    if (ended.size() == kMaxListedEnds) break;
    ended.push_back({each->end_number, each->seen.task, each->seen.run, each->seen.reason, ""});
  }
  return {{"clockMs", Clock()}, {"born", born_}, {"running", running}, {"ended", ended}};
}

void minion::Step() {
  const auto now = steady::now();
  while (!answers_.empty() && answers_.front().due <= now) {
    answers_.front().respond(answers_.front().answer);
    answers_.pop_front();
  }
  for (task_state& each : tasks_) {
    if (each.boot != boot_) continue;
    if (Clock() > lease_until_ && !each.seen.noted) each.lapsed = true;
    if (!each.seen.reason.empty()) continue;
    const auto worked = std::chrono::duration_cast<milliseconds>(now - each.started).count();
    if (Clock() > lease_until_) {
      End(each, "lapsed");
    } else if (const auto at = each.payload.find("ms=");
               at != std::string::npos && worked >= std::stoll(each.payload.substr(at + 3))) {
      End(each, "done");
    }
  }
  std::erase_if(polls_, [&](const poll& each) {
    if (now < each.until && !HasEnds(each.last_seen)) return false;
    each.respond(Answer(200, Lists(each.last_seen)));
    return true;
  });
  if (!control_.empty() && now >= next_beat_) Announce();
}

void minion::Announce() {
  next_beat_ = steady::now() + kHeartbeat;
  const json body = {{"service", "svc"},
                     {"addr", address()},
                     {"zone", "z-1"},
                     {"version", "v1"},
                     {"slots", 8},
                     {"state", "ready"},
                     {"coldLeftMs", 0},
                     {"capacity", {{"cpu", cpu_millis_}, {"memMb", memory_mb_}, {"gpu", 0}}},
                     {"labels", json::array({"a", "r1"})},
                     {"clockMs", Clock()},
                     {"seq", ++sequence_},
                     {"born", born_}};
  client_->Send({.method = "PUT",
                 .url = "http://" + control_ + "/-/minions/" + id_,
                 .headers = {{"Content-Type", "application/json"}},
                 .body = body.dump(),
                 .timeout = milliseconds{1000}},
                [](const http::call_result&) {});
}

fleet::fleet(record& log, store& platform, std::vector<minion*> minions, std::size_t edges,
             bool link_store)
    : log_(log) {
  directory_ = std::filesystem::temp_directory_path() / ("review-" + std::to_string(::getpid()));
  std::filesystem::create_directories(directory_);
  for (std::size_t index = 0; index < edges; ++index) {
    program& each = edges_.emplace_back();
    each.name = "edge-" + std::to_string(index);
    each.binary = "target/bin/coltsfoot-scheduler";
    each.front = Local(FreePort());
    if (link_store) each.store_link = std::make_unique<proxy>(platform.address());
    each.settings = "id: " + each.name + "\nfront: " + each.front +
                    "\nready: " + Local(FreePort()) + "\npeer: " + Local(FreePort()) +
                    "\nmetrics: " + Local(FreePort()) +
                    "\nstore: " + (link_store ? each.store_link->address() : platform.address()) +
                    "\nprocessor_share: 0.1\nprocessor_speed: 1\nconfig_bound_ms: 2000\n";
  }
  for (minion* target : minions) {
    program& each = sides_.emplace_back();
    each.name = "side-" + target->name();
    each.binary = "target/bin/coltsfoot-runner";
    const std::string control = Local(FreePort());
    each.settings = "id: " + each.name + "\nannounce: " + control +
                    "\ntarget: " + target->address() + "\npeer: " + Local(FreePort()) +
                    "\nmetrics: " + Local(FreePort()) + "\nstore: " + platform.address() + "\n";
    target->AnnounceTo(control);
  }
  for (auto* programs : {&edges_, &sides_}) {
    for (program& each : *programs) Spawn(each);
  }
}

fleet::~fleet() {
  Stop();
  if (std::getenv("KEEP_LOGS") == nullptr) std::filesystem::remove_all(directory_);
}

void fleet::Spawn(program& each) {
  const std::string file = (directory_ / (each.name + ".yaml")).string();
  each.log = (directory_ / (each.name + ".log")).string();
  std::ofstream(file) << each.settings;
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, each.log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  std::string settings = "--settings=" + file;
  std::array<char*, 3> words{each.binary.data(), settings.data(), nullptr};
  if (posix_spawn(&each.pid, each.binary.c_str(), &actions, nullptr, words.data(), environ) != 0) {
    log_.Add("cannot start " + each.binary);
    OnAlarm(0);
  }
  posix_spawn_file_actions_destroy(&actions);
  for (auto& slot : started) {
    pid_t none = 0;
    if (slot.compare_exchange_strong(none, each.pid)) break;
  }
  log_.Add("started " + each.name);
}

bool fleet::Ready() {
  for (const auto* programs : {&edges_, &sides_}) {
    for (const program& each : *programs) {
      const auto limit = steady::now() + milliseconds{15'000};
      bool ready = false;
      while (!ready && steady::now() < limit) {
        std::ifstream in(each.log);
        const std::string text((std::istreambuf_iterator<char>(in)), {});
        ready = text.find("event=ready") != std::string::npos;
        if (!ready) Sleep(20);
      }
      if (!ready) return false;
    }
  }
  return true;
}

void fleet::SignalEdge(std::size_t index, int signal) {
  log_.Add("signal " + std::to_string(signal) + " to " + edges_[index].name);
  kill(edges_[index].pid, signal);
}

void fleet::SignalSide(std::size_t index, int signal) {
  log_.Add("signal " + std::to_string(signal) + " to " + sides_[index].name);
  kill(sides_[index].pid, signal);
}

void fleet::Restart(program& each) {
  waitpid(each.pid, nullptr, 0);
  Spawn(each);
}

http::response fleet::Call(std::size_t edge, const std::string& method, const std::string& path,
                           const std::string& body) {
  const auto result = http::CallAndWait(*client_, {.method = method,
                                                   .url = "http://" + edges_[edge].front + path,
                                                   .headers = {{"Host", "h.example"},
                                                               {"Content-Type", "application/json"},
                                                               {"Deadline-Ms", "3000"}},
                                                   .body = body,
                                                   .timeout = milliseconds{3000}});
  http::response answer = result.answer ? *result.answer : http::response{.status = 0};
  log_.Add(method + " " + path + " at " + edges_[edge].name + ": " + std::to_string(answer.status) +
           " " + answer.body);
  return answer;
}

bool fleet::Submit(const std::string& id, const std::string& body) {
  for (std::size_t attempt = 0; attempt < 40; ++attempt) {
    if (Call(attempt % edges_.size(), "POST", "/q/" + id, body).status == 200) return true;
    Sleep(200);
  }
  return false;
}

void fleet::End(std::vector<program>& programs) {
  for (const program& each : programs) {
    if (each.pid > 0) {
      kill(each.pid, SIGCONT);
      kill(each.pid, SIGTERM);
    }
  }
  const auto limit = steady::now() + milliseconds{6000};
  for (program& each : programs) {
    while (each.pid > 0 && waitpid(each.pid, nullptr, WNOHANG) == 0) {
      if (steady::now() >= limit) kill(each.pid, SIGKILL);
      Sleep(10);
    }
    for (auto& slot : started) {
      pid_t expected = each.pid;
      if (slot.compare_exchange_strong(expected, 0)) break;
    }
    each.pid = 0;
  }
}

void fleet::Stop() {
  End(edges_);
  End(sides_);
}

bool WithTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

void SetTimeLimit(unsigned seconds) {
  for (const int each : {SIGALRM, SIGTERM, SIGINT}) signal(each, OnAlarm);
  signal(SIGPIPE, SIG_IGN);
  alarm(seconds);
}

void Sleep(std::int64_t ms) { std::this_thread::sleep_for(milliseconds{ms}); }

std::string Configuration(int attempts) {
  return R"({"version":1,"routes":[{"name":"q","host":"h.example","prefix":"/q/","service":"svc",)"
         R"("priority":0,"attempts":)" +
         std::to_string(attempts) +
         R"(,"stretch":2.0,"sloMs":500}],"services":[{"name":"svc","admissionCheck":false}]})";
}

}  // namespace coltsfoot::review
