#include "request_manager.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "wire/frame.h"

namespace coltsfoot::agent {
namespace {

using core::error_reason;
using core::result_code;

constexpr int kAverageWeight = 8;
// Without new samples the average halves once per period. Otherwise a short slowdown could raise it
// so far that all requests are refused, and then no new sample would correct it.
constexpr core::milliseconds kAverageHalfLife{2000};
constexpr std::int64_t kMaxHalvings = 30;
// Time after the deadline for which the target may still work on the request and keeps its slot.
constexpr core::milliseconds kLateAnswerLimit{10000};
// The process must stay below 32 MB of memory with all connections in use.
constexpr std::size_t kMaxBodyBytes = 8U << 20U;
constexpr std::size_t kReplyOverheadBytes = 1024;

}  // namespace

request_manager::request_manager(const core::clock& time, metrics::registry& metrics,
                                 capacity_ledger& ledger, const worker_state& state,
                                 const entry_directory& entries, target_client& target,
                                 entry_link& link)
    : time_(time),
      metrics_(metrics),
      service_time_(metrics.GetHistogram("coltsfoot_agent_service_time_ms")),
      ledger_(ledger),
      state_(state),
      entries_(entries),
      target_(target),
      link_(link) {}

void request_manager::SetServices(const std::vector<std::string>& services) {
  std::map<std::string, service_state> kept;
  for (const std::string& service : services) {
    const auto known = services_.find(service);
    kept[service] = known == services_.end() ? service_state{} : known->second;
  }
  // Active requests still need the state of a service that is no longer offered.
  for (const auto& [key, item] : active_) {
    const auto known = services_.find(item.request.service);
    if (known != services_.end()) kept.insert(*known);
  }
  services_ = std::move(kept);
}

void request_manager::Dispatch(connection_id from, wire::dispatch_request request,
                               const std::optional<error_reason>& refusal) {
  const request_key key{from, request.request_id, request.attempt};
  if (active_.contains(key)) {
    metrics_.GetCounter("coltsfoot_drops_total", {"where", "agent"}, {"reason", "repeated_request"})
        .Add();
    return;
  }
  const auto reason = refusal ? refusal : RefusalReason(request);
  if (reason || !ledger_.TakeConnection()) {
    Reply(key, request.service,
          reason.value_or(error_reason{result_code::queue_full, "all connections are in use"}), "");
    return;
  }
  active_request item;
  item.deadline = time_.Now() + core::milliseconds{request.deadline_ms};
  item.body_bytes = request.body.size();
  body_bytes_ += item.body_bytes;
  item.request = std::move(request);
  ++services_[item.request.service].queued;
  active_.emplace(key, std::move(item));
  queue_.push_back(key);
  StartQueued();
}

std::optional<error_reason> request_manager::RefusalReason(
    const wire::dispatch_request& request) const {
  if (!services_.contains(request.service)) {
    return error_reason{result_code::no_target, "the target does not offer the service"};
  }
  const bool must_wait = ledger_.slots_free() == 0 || !queue_.empty();
  if (must_wait && queue_.size() >= state_.policy.queue_limit) {
    return error_reason{result_code::queue_full, "the queue for slots is full"};
  }
  if (body_bytes_ + request.body.size() > kMaxBodyBytes) {
    return error_reason{result_code::queue_full,
                        "the size limit of all admitted request bodies is reached"};
  }
  const core::nanoseconds wait =
      must_wait ? ExpectedWait(request.service) : core::nanoseconds::zero();
  if (wait + Average(request.service) >= core::milliseconds{request.deadline_ms}) {
    return error_reason{result_code::deadline_unmeetable, "cannot finish before the deadline"};
  }
  return std::nullopt;
}

core::nanoseconds request_manager::Average(const std::string& service) const {
  const auto found = services_.find(service);
  if (found == services_.end()) return core::nanoseconds::zero();
  const auto halvings = (time_.Now() - found->second.updated) / kAverageHalfLife;
  const auto shift = std::clamp<std::int64_t>(halvings, 0, kMaxHalvings);
  return found->second.average / (std::int64_t{1} << shift);
}

core::nanoseconds request_manager::ExpectedWait(const std::string& service) const {
  const std::uint32_t slots = std::max(ledger_.slots_total(), 1U);
  core::nanoseconds ahead = Average(service);  // a running request must end first
  for (const request_key& key : queue_) ahead += Average(active_.at(key).request.service);
  return ahead / slots;
}

bool request_manager::CanMeetDeadline(const active_request& item, core::nanoseconds wait) const {
  return time_.Now() + wait + Average(item.request.service) < item.deadline;
}

void request_manager::StartQueued() {
  while (!queue_.empty()) {
    const request_key key = queue_.front();
    active_request& item = active_.at(key);
    if (!CanMeetDeadline(item, core::nanoseconds::zero())) {
      DropQueued(key, {result_code::deadline_unmeetable, "waited too long for a slot"});
      continue;
    }
    if (!ledger_.TakeSlot()) return;
    queue_.pop_front();
    Start(key, item);
  }
}

void request_manager::Start(const request_key& key, active_request& item) {
  service_state& service = services_[item.request.service];
  --service.queued;
  ++service.in_flight;
  item.running = true;
  item.started = time_.Now();
  service_request out;
  out.id = fmt::format("{}-{}-{}", entries_.ProcessOf(key.connection), key.request_id, key.attempt);
  out.service = item.request.service;
  out.team = item.request.team;
  out.idempotent = item.request.idempotent;
  out.time_left = std::chrono::duration_cast<core::milliseconds>(item.deadline - item.started);
  out.timeout = out.time_left + kLateAnswerLimit;
  out.body = std::move(item.request.body);
  target_.Run(out, [this, key](service_answer answer) { Finish(key, std::move(answer)); });
}

void request_manager::Finish(const request_key& key, service_answer answer) {
  if (!active_.contains(key)) return;
  const active_request item = Remove(key);
  service_state& service = services_[item.request.service];
  --service.in_flight;
  const core::nanoseconds duration = time_.Now() - item.started;
  if (answer.code == result_code::ok) AddSample(service, duration);
  ledger_.ReleaseSlot();
  if (item.replied) {
    metrics_.GetCounter("coltsfoot_drops_total", {"where", "agent"}, {"reason", "late_answer"})
        .Add();
  } else if (answer.body.size() + kReplyOverheadBytes > wire::kMaxFrameBytes) {
    Reply(key, item.request.service,
          {result_code::answer_not_kept, "the answer exceeds the size limit"}, "");
  } else {
    Reply(key, item.request.service, {answer.code, std::move(answer.reason)},
          std::move(answer.body));
  }
  StartQueued();
}

request_manager::active_request request_manager::Remove(const request_key& key) {
  active_request out = std::move(active_.extract(key).mapped());
  body_bytes_ -= out.body_bytes;
  ledger_.ReleaseConnection();
  return out;
}

void request_manager::AddSample(service_state& service, core::nanoseconds duration) {
  service_time_.Record(duration);
  service.average = service.average.count() == 0
                        ? duration
                        : service.average + (duration - service.average) / kAverageWeight;
  service.updated = time_.Now();
}

void request_manager::DropQueued(const request_key& key, const error_reason& reason) {
  std::erase(queue_, key);
  const active_request item = Remove(key);
  --services_[item.request.service].queued;
  Reply(key, item.request.service, reason, "");
}

void request_manager::Reply(const request_key& key, const std::string& service, error_reason reason,
                            std::string body) {
  if (core::IsNotRun(reason.code)) {
    metrics_.CountRefusal("agent", reason.code);
  } else {
    metrics_.GetCounter("coltsfoot_agent_replies_total", {"code", core::ToString(reason.code)})
        .Add();
  }
  wire::request_reply reply;
  reply.request_id = key.request_id;
  reply.attempt = key.attempt;
  reply.code = reason.code;
  reply.reason = std::move(reason.message);
  reply.digest = core::StableHash(body);
  reply.body = std::move(body);
  reply.slots_free = ledger_.slots_free();
  reply.config = state_.policy.version;
  reply.load.service = service;
  const auto found = services_.find(service);
  if (found != services_.end()) {
    reply.load.in_flight = found->second.in_flight;
    reply.load.queued = found->second.queued;
    reply.load.average_us = static_cast<std::uint32_t>(Average(service) / core::nanoseconds{1000});
  }
  if (!link_.SendFrame(key.connection, wire::ToFrame(reply))) {
    metrics_.GetCounter("coltsfoot_drops_total", {"where", "agent"}, {"reason", "entry_gone"})
        .Add();
  }
}

void request_manager::Cancel(connection_id from, const wire::cancel_request& request) {
  const request_key key{from, request.request_id, request.attempt};
  const auto found = active_.find(key);
  if (found == active_.end() || found->second.running) return;
  DropQueued(key, {result_code::cancelled, "cancelled while it waited for a slot"});
}

void request_manager::OnDisconnected(connection_id connection) {
  const std::deque<request_key> waiting = queue_;
  for (const request_key& key : waiting) {
    if (key.connection == connection) {
      DropQueued(key, {result_code::cancelled, "the connection to the entry has ended"});
    }
  }
}

void request_manager::Tick() {
  const std::deque<request_key> waiting = queue_;
  for (const request_key& key : waiting) {
    if (!CanMeetDeadline(active_.at(key), core::nanoseconds::zero())) {
      DropQueued(key, {result_code::deadline_unmeetable, "waited too long for a slot"});
    }
  }
  for (auto& [key, item] : active_) {
    if (!item.running || item.replied || time_.Now() < item.deadline) continue;
    item.replied = true;
    Reply(key, item.request.service,
          {result_code::deadline_exceeded, "the target did not answer in time"}, "");
  }
  StartQueued();
}

std::vector<wire::service_load> request_manager::Loads() const {
  std::vector<wire::service_load> out;
  out.reserve(services_.size());
  for (const auto& [name, service] : services_) {
    out.push_back({name, service.in_flight, service.queued,
                   static_cast<std::uint32_t>(Average(name) / core::nanoseconds{1000})});
  }
  return out;
}

}  // namespace coltsfoot::agent
