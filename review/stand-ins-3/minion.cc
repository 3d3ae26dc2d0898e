#include "minion.h"

#include <algorithm>
#include <utility>

namespace coltsfoot::review {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds kStep{10};
// `heartbeatMs` and `holdMaxMs` of the site.
constexpr milliseconds kHeartbeat{1500};
constexpr std::int64_t kMaxLeaseMs = 10'000;
constexpr std::size_t kMaxListedEnds = 500;
constexpr auto kLasting = "lasting";

http::response Answer(int status, const json& body) {
  return http::JsonResponse(status, body.dump());
}

std::uint64_t UnixMs() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(now).count());
}

}  // namespace

minion::minion(std::string name, milliseconds task_time, std::size_t saved_bytes)
    : name_(std::move(name)),
      task_time_(task_time),
      saved_bytes_(saved_bytes),
      born_(UnixMs()),
      server_(std::make_unique<web_server>(
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
  server_.reset();
}

std::int64_t minion::ClockMs() const {
  return std::chrono::duration_cast<milliseconds>(steady::now() - began_at_).count();
}

void minion::AnnounceTo(const std::string& agent) {
  const std::lock_guard lock(mutex_);
  agent_ = agent;
}

void minion::DelayNextStart(milliseconds delay) {
  const std::lock_guard lock(mutex_);
  order_delay_ = delay;
}

std::size_t minion::CountLate() {
  const std::lock_guard lock(mutex_);
  return late_orders_.size();
}

void minion::SetCut(bool cut) {
  const std::lock_guard lock(mutex_);
  cut_ = cut;
  polls_.clear();
}

bool minion::FailLastingTask() {
  const std::lock_guard lock(mutex_);
  for (task_state& task : tasks_) {
    if (!task.lasting || !task.run.reason.empty()) continue;
    End(task, "failed");
    return true;
  }
  return false;
}

void minion::StartAgain() {
  const std::lock_guard lock(mutex_);
  for (task_state& task : tasks_) {
    if (task.run.reason.empty()) End(task, "crashed");
  }
  ++life_;
  began_at_ = steady::now();
  born_ = std::max(born_ + 1, UnixMs());
  fence_ = 0;
  lease_until_ms_ = 0;
  last_end_ = 0;
  forgotten_end_ = 0;
  sequence_ = 0;
  stopped_runs_.clear();
  polls_.clear();
  next_announcement_ = {};
}

std::vector<minion::observed_run> minion::Runs() {
  const std::lock_guard lock(mutex_);
  std::vector<observed_run> runs;
  for (const task_state& task : tasks_) runs.push_back(task.run);
  return runs;
}

void minion::Handle(const http::request& request, const http::responder& respond) {
  const json call = json::parse(request.body, nullptr, false);
  const std::lock_guard lock(mutex_);
  if (cut_ || !call.is_object()) return;
  if (request.path != "/-/hold") {
    if (order_delay_ > milliseconds{0} && request.path == "/-/run-start") {
      const milliseconds delay = std::exchange(order_delay_, milliseconds{0});
      late_orders_.push_back({steady::now() + delay, request.path, call});
    } else {
      respond(Execute(request.path, call));
    }
    return;
  }
  if (!TakeFence(call)) {
    respond(Answer(409, {{"clockMs", ClockMs()}, {"reason", "fence"}}));
    return;
  }
  forgotten_end_ = std::max(forgotten_end_, call.value("lastSeen", std::uint64_t{0}));
  polls_.push_back(
      {forgotten_end_, steady::now() + milliseconds(call.value("waitMs", 0)), respond});
  Step();
}

bool minion::TakeFence(const json& call) {
  const auto fence = call.value("fence", std::uint64_t{0});
  if (fence < fence_) return false;
  fence_ = fence;
  const std::int64_t longest = ClockMs() + kMaxLeaseMs;
  lease_until_ms_ =
      std::max(lease_until_ms_, std::min(longest, call.value("untilMs", std::int64_t{0})));
  return true;
}

http::response minion::Execute(const std::string& path, const json& order) {
  if (!TakeFence(order)) return Answer(409, {{"clockMs", ClockMs()}, {"reason", "fence"}});
  if (path == "/-/run-start") return Start(order);
  if (path == "/-/run-stop") return Stop(order);
  return Answer(200, {{"clockMs", ClockMs()}});
}

http::response minion::Start(const json& order) {
  const auto task = order.value("task", std::string());
  const auto run = order.value("run", std::int64_t{0});
  if (order.value("untilMs", std::int64_t{0}) <= ClockMs()) {
    return Answer(409, {{"clockMs", ClockMs()}, {"reason", "late"}});
  }
  std::int64_t highest = stopped_runs_.contains(task) ? stopped_runs_[task] : 0;
  for (const task_state& known : tasks_) {
    if (known.life != life_ || known.run.task != task) continue;
    if (known.run.run == run && known.run.reason.empty()) {
      return Answer(200, {{"clockMs", ClockMs()}});
    }
    highest = std::max<std::int64_t>(highest, known.run.run);
  }
  if (run <= highest) return Answer(409, {{"clockMs", ClockMs()}, {"reason", "old"}});
  task_state& added = tasks_.emplace_back();
  added.life = life_;
  added.run.task = task;
  added.run.run = static_cast<std::uint32_t>(run);
  added.run.target = name_ + " life " + std::to_string(life_);
  added.run.started_at = steady::now();
  added.lasting = order.value("spec", std::string()) == kLasting;
  return Answer(200, {{"clockMs", ClockMs()}});
}

http::response minion::Stop(const json& order) {
  const auto task = order.value("task", std::string());
  const auto run = order.value("run", std::int64_t{0});
  stopped_runs_[task] = std::max(stopped_runs_[task], run);
  for (task_state& known : tasks_) {
    const bool is_meant = known.life == life_ && known.run.task == task && known.run.run <= run;
    if (is_meant && known.run.reason.empty()) End(known, "stopped");
  }
  return Answer(200, {{"clockMs", ClockMs()}});
}

void minion::End(task_state& task, const char* how) {
  task.run.reason = how;
  task.run.ended_at = steady::now();
  task.end_number = ++last_end_;
}

std::string minion::SavedOf(const task_state& task) const {
  if (!task.lasting || saved_bytes_ == 0) return "";
  const auto ran = task.run.ended_at.value_or(steady::now()) - task.run.started_at;
  const auto saves = std::chrono::duration_cast<std::chrono::seconds>(ran).count();
  if (saves == 0) return "";
  std::string saved = std::to_string(saves);
  saved.insert(0, saved_bytes_ - std::min(saved.size(), saved_bytes_), '0');
  return saved;
}

std::optional<http::response> minion::Lists(const waiting_poll& poll) {
  json running = json::array();
  std::vector<const task_state*> ends;
  for (const task_state& task : tasks_) {
    if (task.life != life_) continue;
    if (task.run.reason.empty()) {
      const auto ran = steady::now() - task.run.started_at;
      const auto percent = task.lasting ? 100 : 100 * ran / task_time_;
      running.push_back({task.run.task, task.run.run, SavedOf(task), percent, 100});
    } else if (task.end_number > poll.last_seen) {
      ends.push_back(&task);
    }
  }
  std::sort(ends.begin(), ends.end(), [](const task_state* left, const task_state* right) {
    return left->end_number < right->end_number;
  });
  json ended = json::array();
  for (const task_state* task : ends) {
    if (ended.size() >= kMaxListedEnds) break;
    ended.push_back(
        {task->end_number, task->run.task, task->run.run, task->run.reason, SavedOf(*task)});
  }
  if (ended.empty() && steady::now() < poll.until) return std::nullopt;
  return Answer(200,
                {{"clockMs", ClockMs()}, {"born", born_}, {"running", running}, {"ended", ended}});
}

void minion::Step() {
  const auto now = steady::now();
  std::vector<late_order> orders;
  orders.swap(late_orders_);
  for (const late_order& order : orders) {
    if (now < order.due) {
      late_orders_.push_back(order);
    } else {
      Execute(order.path, order.body);
    }
  }
  for (task_state& task : tasks_) {
    if (!task.run.reason.empty()) continue;
    if (ClockMs() > lease_until_ms_) {
      End(task, "lapsed");
    } else if (!task.lasting && now - task.run.started_at >= task_time_) {
      End(task, "done");
    }
  }
  if (cut_) return;
  std::erase_if(polls_, [this](const waiting_poll& poll) {
    const auto answer = Lists(poll);
    if (answer) poll.respond(*answer);
    return answer.has_value();
  });
  if (!agent_.empty() && now >= next_announcement_) Announce();
}

void minion::Announce() {
  next_announcement_ = steady::now() + kHeartbeat;
  const json body = {{"service", "svc"},
                     {"addr", address()},
                     {"zone", "z-0"},
                     {"version", "v1"},
                     {"slots", 8},
                     {"state", "ready"},
                     {"coldLeftMs", 0},
                     {"seq", ++sequence_},
                     {"born", born_},
                     {"clockMs", ClockMs()},
                     {"labels", json::array({"a", "r1-1"})},
                     {"capacity", {{"cpu", 4000}, {"memMb", 8000}, {"gpu", 0}}}};
  client_->Send({.method = "PUT",
                 .url = "http://" + agent_ + "/-/minions/" + name_,
                 .headers = {{"Content-Type", "application/json"}},
                 .body = body.dump()},
                [](const http::call_result&) {});
}

}  // namespace coltsfoot::review
