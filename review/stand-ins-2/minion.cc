#include "minion.h"

#include <algorithm>
#include <utility>

namespace coltsfoot::review {
namespace {

using nlohmann::json;

constexpr milliseconds kStep{5};
constexpr milliseconds kMaxWait{2000};

}  // namespace

minion::minion(minion_options options) : options_(std::move(options)) {
  Serve();
  BeginLife();
  timer_ = std::thread([this] {
    std::unique_lock lock(mutex_);
    while (!stopped_.wait_for(lock, kStep, [this] { return stopping_; })) {
      Step();
      if (closed_channels_ && back_at_ && server_) CloseChannels(lock);
      if (!back_at_ && !server_) Serve();
    }
  });
}

void minion::Serve() {
  server_ = std::make_unique<http::server>(
      http::server_options{.port = port_},
      [this](const http::request& request, const http::responder& respond) {
        Handle(request, respond);
      });
  port_ = server_->port();
  closed_channels_ = false;
}

void minion::CloseChannels(std::unique_lock<std::mutex>& lock) {
  const auto old = std::move(server_);
  lock.unlock();
  // Not under the lock, for which a request may wait.
  old->ShutDown(milliseconds{0});
  lock.lock();
}

minion::~minion() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  stopped_.notify_all();
  timer_.join();
  server_.reset();
}

void minion::BeginLife() {
  ++life_;
  id_ = "i-" + options_.name + "-" + std::to_string(life_);
  born_ms_ =
      std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
          .count();
  began_at_ = steady::now();
  fence_ = 0;
  lease_until_ms_ = 0;
  last_end_ = 0;
  sequence_ = 0;
  closed_.clear();
  next_ping_ = steady::now();
}

std::int64_t minion::ClockMs() const {
  return std::chrono::duration_cast<milliseconds>(steady::now() - began_at_).count() + 1000;
}

http::response minion::Answer(int status, json body) const {
  body["clockMs"] = ClockMs();
  return http::JsonResponse(status, body.dump());
}

void minion::PingTo(const std::string& control) {
  const std::lock_guard lock(mutex_);
  control_ = control;
  next_ping_ = steady::now();
}

std::vector<seen_run> minion::Runs() {
  const std::lock_guard lock(mutex_);
  std::vector<seen_run> out;
  for (const entry& each : entries_) out.push_back(each.run);
  return out;
}

void minion::Crash(milliseconds downtime) {
  const std::lock_guard lock(mutex_);
  GoDown(downtime);
}

void minion::SetUnhealthy(bool unhealthy) {
  const std::lock_guard lock(mutex_);
  unhealthy_ = unhealthy;
}

void minion::GoDown(milliseconds downtime) {
  for (entry& each : entries_) {
    if (each.run.how.empty()) End(each, "crashed");
  }
  for (waiting_hold& each : holds_) unanswered_.push_back(std::move(each.respond));
  holds_.clear();
  back_at_ = steady::now() + downtime;
}

void minion::Handle(const http::request& request, const http::responder& respond) {
  const json call = json::parse(request.body, nullptr, false);
  const std::lock_guard lock(mutex_);
  if (back_at_) {
    unanswered_.push_back(respond);
    return;
  }
  const auto intended = request.FindHeader("Expect-Instance");
  if (intended && *intended != id_) {
    respond(Answer(421, json::object()));
    return;
  }
  if (!call.is_object()) {
    respond(Answer(400, json::object()));
    return;
  }
  if (unhealthy_ && request.path == "/-/run-start") {
    respond(Answer(503, json::object()));
    return;
  }
  const auto fence = call.value("fence", std::uint64_t{0});
  if (fence < fence_) {
    respond(Answer(409, {{"reason", "fence"}}));
    return;
  }
  fence_ = fence;
  if (request.path == "/-/hold") {
    Hold(call, respond);
  } else if (request.path == "/-/run-start") {
    respond(Start(call));
  } else if (request.path == "/-/run-stop") {
    respond(Stop(call));
  } else if (request.path == "/-/pace") {
    respond(Answer(200, json::object()));
  } else {
    respond(Answer(404, json::object()));
  }
}

std::int64_t minion::NeededMs(const entry& which) {
  // A lasting task is at work after a short start.
  constexpr std::int64_t kLastingStartMs = 200;
  constexpr std::int64_t kDeadlyMs = 1000;
  if (which.spec == kLastingSpec) return kLastingStartMs;
  return which.spec == kDeadlySpec ? kDeadlyMs : std::stoll(which.spec);
}

void minion::TakeLease(const json& call) {
  const auto until = call.value("untilMs", std::int64_t{0});
  lease_until_ms_ =
      std::max(lease_until_ms_, std::min(until, ClockMs() + options_.hold_max.count()));
}

http::response minion::Start(const json& call) {
  const auto task = call.at("task").get<std::string>();
  const auto run = call.at("run").get<std::uint32_t>();
  if (call.value("untilMs", std::int64_t{0}) <= ClockMs()) return Answer(409, {{"reason", "late"}});
  TakeLease(call);
  for (const entry& each : entries_) {
    const bool here = each.life == life_ && each.run.task == task && each.run.how.empty();
    if (here && each.run.run == run) return Answer(200, json::object());
  }
  const auto closed = closed_.find(task);
  if (closed != closed_.end() && run <= closed->second) return Answer(409, {{"reason", "old"}});
  entry& added = entries_.emplace_back();
  added.run = {.task = task, .run = run, .minion = id_, .started_at = steady::now()};
  added.life = life_;
  added.spec = call.value("spec", std::string());
  return Answer(200, json::object());
}

http::response minion::Stop(const json& call) {
  const auto task = call.at("task").get<std::string>();
  const auto run = call.at("run").get<std::uint32_t>();
  closed_[task] = std::max(closed_[task], run);
  for (entry& each : entries_) {
    const bool here = each.life == life_ && each.run.task == task && each.run.how.empty();
    if (here && each.run.run == run) End(each, "stopped");
  }
  return Answer(200, json::object());
}

void minion::Hold(const json& call, const http::responder& respond) {
  if (call.contains("untilMs")) TakeLease(call);
  const auto last_seen = call.value("lastSeen", std::uint64_t{0});
  for (entry& each : entries_) {
    if (each.life == life_ && each.end_number != 0 && each.end_number <= last_seen) {
      each.forgotten = true;
    }
  }
  const milliseconds wait = std::min(milliseconds(call.value("waitMs", 0)), kMaxWait);
  holds_.push_back({last_seen, steady::now() + wait, respond});
  Step();
}

void minion::End(entry& which, const char* how) {
  which.run.how = how;
  which.run.ended_at = steady::now();
  which.end_number = ++last_end_;
  closed_[which.run.task] = std::max(closed_[which.run.task], which.run.run);
}

std::optional<http::response> minion::Lists(const waiting_hold& hold) {
  json running = json::array();
  json ended = json::array();
  for (const entry& each : entries_) {
    if (each.life != life_) continue;
    if (each.run.how.empty()) {
      const auto ran =
          std::chrono::duration_cast<milliseconds>(steady::now() - each.run.started_at);
      const std::int64_t percent = std::min<std::int64_t>(100, 100 * ran.count() / NeededMs(each));
      running.push_back({each.run.task, each.run.run, "", percent, 0});
    } else if (!each.forgotten) {
      ended.push_back({each.end_number, each.run.task, each.run.run, each.run.how, ""});
    }
  }
  if (ended.empty() && steady::now() < hold.until) return std::nullopt;
  return Answer(200, {{"born", born_ms_}, {"running", running}, {"ended", ended}});
}

void minion::Step() {
  if (back_at_) {
    if (steady::now() < *back_at_) return;
    back_at_.reset();
    BeginLife();
  }
  for (entry& each : entries_) {
    if (each.life != life_ || !each.run.how.empty()) continue;
    const auto ran = steady::now() - each.run.started_at;
    if (ClockMs() > lease_until_ms_) {
      End(each, "lapsed");
    } else if (each.spec == kDeadlySpec) {
      if (ran < kDeadlyAfter) continue;
      GoDown(kDeadlyDowntime);
      closed_channels_ = true;
      return;
    } else if (each.spec != kLastingSpec && ran >= milliseconds(NeededMs(each))) {
      End(each, "done");
    }
  }
  std::erase_if(holds_, [this](const waiting_hold& hold) {
    const auto answer = Lists(hold);
    if (answer) hold.respond(*answer);
    return answer.has_value();
  });
  if (!control_.empty() && steady::now() >= next_ping_) Ping();
}

void minion::Ping() {
  next_ping_ = steady::now() + options_.heartbeat;
  const json body = {
      {"service", options_.service},
      {"addr", address()},
      {"zone", "zone-a"},
      {"version", "v1"},
      {"slots", 8},
      {"state", "ready"},
      {"coldLeftMs", 0},
      {"capacity", {{"cpu", options_.cpu}, {"memMb", options_.memory_mb}, {"gpu", 0}}},
      {"labels", {options_.kind, "r1-1"}},
      {"clockMs", ClockMs()},
      {"born", born_ms_},
      {"seq", ++sequence_}};
  client_->Send({.method = "PUT",
                 .url = "http://" + control_ + "/-/minions/" + id_,
                 .headers = {{"Content-Type", "application/json"}},
                 .body = body.dump(),
                 .timeout = milliseconds{1000}},
                [](const http::call_result&) {});
}

}  // namespace coltsfoot::review
