#include "request_router.h"

#include <algorithm>
#include <utility>

#include "core/ids.h"
#include "wire/frame.h"

namespace coltsfoot::entry {
namespace {

using core::result_code;

// Number of targets checked for a free concurrency slot before a request is queued. Checking all
// targets for each request would cost too much with 990 workers.
constexpr int kMaxTargetsTried = 6;
constexpr int kMaxDispatchesPerPass = 16;
constexpr core::milliseconds kQueueExpiryInterval{20};
// Time for which a worker without a link is picked only as a last resort. A lost worker
// counts as live for three heartbeat intervals; requests sent to such workers used up the retry
// budget, and one in six requests failed when a zone was lost.
constexpr core::milliseconds kUnlinkedCooldown{1000};
constexpr std::string_view kWhere = "request";

constexpr retry::retry_options kRetryOptions{};

}  // namespace

request_router::request_router(membership::worker_table& workers, config_controller& config,
                               blame::quarantine& quarantine, agent_gateway& agents,
                               view_function view, std::string own_zone, const core::clock& time,
                               core::random_source& random, metrics::registry& metrics)
    : workers_(workers),
      config_(config),
      quarantine_(quarantine),
      agents_(agents),
      view_(std::move(view)),
      own_zone_(workers.place_names().Intern(own_zone)),
      time_(time),
      random_(random),
      metrics_(metrics),
      routing_(placement::MakeRoutingPolicy(policy_kind_)),
      next_id_(random.Next() >> 8U) {}

request_router::service_state& request_router::Service(const std::string& name) {
  const auto found = services_.find(name);
  if (found != services_.end()) return found->second;
  const auto& settings = config_.view().For({.service = name});
  service_state& state =
      services_
          .emplace(std::piecewise_construct, std::forward_as_tuple(name),
                   std::forward_as_tuple(static_cast<std::size_t>(settings.queue_limit),
                                         settings.retry_budget_percent))
          .first->second;
  state.latency = &metrics_.GetHistogram("coltsfoot_request_ms", {"service", name});
  state.answered = &metrics_.GetCounter("coltsfoot_requests_answered_total", {"service", name});
  ApplySettings(name, state);
  return state;
}

void request_router::ApplySettings(const std::string& name, service_state& state) {
  const auto& settings = config_.view().For({.service = name});
  state.queue.SetLimit(static_cast<std::size_t>(settings.queue_limit));
  state.budget.SetPercent(settings.retry_budget_percent);
  state.hedge.Configure(settings.hedge_enabled, settings.hedge_after_percentile);
}

admission::concurrency_limit& request_router::Limit(membership::worker_index worker) {
  const auto found = limits_.find(worker);
  if (found != limits_.end()) return found->second;
  admission::concurrency_options options;
  const auto& identity = workers_.identity(worker);
  options.initial = std::max<double>(workers_.slots_total()[worker], 1);
  options.max = std::max<double>(identity.connections_total, options.initial);
  return limits_.emplace(worker, admission::concurrency_limit(options)).first->second;
}

void request_router::Submit(service_request request) {
  const core::mono_time now = time_.Now();
  if (!config_.is_known()) {
    metrics_.CountRefusal(kWhere, result_code::no_configuration);
    request.done({result_code::no_configuration, "no fleet configuration has been loaded yet", ""});
    return;
  }
  service_state& service = Service(request.service);
  const std::string team = request.team;
  const double share = config_.view().For({.team = team}).team_request_share;
  const std::string name = request.service;
  const core::mono_time deadline = request.deadline;

  const std::uint64_t id = ++next_id_;
  active_request& row = requests_[id];
  row.request = std::move(request);
  row.arrived = now;
  Schedule(deadline, id, timer_kind::deadline);

  result_code why = result_code::no_target;
  const auto target = PickTarget(row, &why);
  if (!target && why != result_code::concurrency_limit) {
    Refuse(id, why, "no target can take the request");
    return;
  }
  const auto admitted = service.queue.Admit({id, team, deadline}, share,
                                            service.expected.expected(), target.has_value(), now);
  if (admitted.displaced) {
    Refuse(admitted.displaced->request.id, admitted.displaced->code,
           "displaced from the queue because the team exceeds its fair share");
  }
  using action = admission::admit_result::action;
  if (admitted.decision == action::refuse) {
    Refuse(id, admitted.code, "the request was not admitted");
  } else if (admitted.decision == action::dispatch) {
    row.dispatched = true;
    if (target) {
      Dispatch(id, *target, false);
    } else {
      DispatchOrFail(id);
    }
  }
}

std::optional<request_router::picked_target> request_router::PickTarget(const active_request& row,
                                                                        result_code* why) {
  const core::mono_time now = time_.Now();
  std::erase_if(unlinked_until_, [now](const auto& entry) { return entry.second <= now; });
  if (unlinked_until_.empty()) return PickExcluding(row.tried, row, why);
  std::vector<membership::worker_index> excluded = row.tried;
  for (const auto& [worker, until] : unlinked_until_) excluded.push_back(worker);
  const auto linked = PickExcluding(std::move(excluded), row, why);
  if (linked || *why != result_code::no_target) return linked;
  return PickExcluding(row.tried, row, why);
}

std::optional<request_router::picked_target> request_router::PickExcluding(
    std::vector<membership::worker_index> excluded, const active_request& row, result_code* why) {
  const core::mono_time now = time_.Now();
  const auto service = workers_.service_names().Find(row.request.service);
  *why = result_code::no_target;
  if (!service) return std::nullopt;
  for (int attempt = 0; attempt < kMaxTargetsTried; ++attempt) {
    const auto choice = routing_->Route({*service, own_zone_, excluded, row.request.idempotent},
                                        view_(), now, random_);
    if (!choice) break;
    if (Limit(choice->worker).CanAcquire()) return picked_target{choice->worker, choice->is_probe};
    *why = result_code::concurrency_limit;
    excluded.push_back(choice->worker);
  }
  return std::nullopt;
}

void request_router::DispatchOrFail(std::uint64_t id) {
  active_request& row = requests_.at(id);
  result_code why = result_code::no_target;
  auto target = PickTarget(row, &why);
  if (!target && !row.tried.empty()) {
    // All targets were tried once; the next attempt may go to any of them again.
    row.tried.clear();
    target = PickTarget(row, &why);
  }
  if (target) {
    Dispatch(id, *target, false);
    return;
  }
  // If an earlier attempt may have run, the request must not be reported as not run.
  Complete(id, {row.may_have_run ? result_code::outcome_unknown : why,
                "no target can take the request", ""});
}

void request_router::Dispatch(std::uint64_t id, const picked_target& target, bool hedge) {
  active_request& row = requests_.at(id);
  const attempt sent{++row.attempts, target.worker, time_.Now(), hedge, target.is_probe};
  if (!Limit(target.worker).TryAcquire()) {
    row.last_code = result_code::concurrency_limit;
    if (row.in_flight.empty()) DispatchOrFail(id);
    return;
  }
  row.tried.push_back(target.worker);
  row.in_flight.push_back(sent);
  workers_.OnRequestSent(target.worker, *workers_.service_names().Find(row.request.service));
  if (!SendAttempt(id, row, sent)) {
    unlinked_until_[target.worker] = sent.sent + kUnlinkedCooldown;
    workers_.OnRequestAbandoned(target.worker, *workers_.service_names().Find(row.request.service));
    EndAttempt(id, sent, result_code::connect_failed, "no connection to the agent");
    return;
  }
  if (!hedge) PlanHedge(id, row);
}

bool request_router::SendAttempt(std::uint64_t id, const active_request& row, const attempt& sent) {
  const core::mono_time now = time_.Now();
  const auto& identity = workers_.identity(sent.worker);
  if (sent.probe) quarantine_.OnProbeSent(sent.worker, now);
  wire::dispatch_request message;
  message.request_id = id;
  message.attempt = sent.number;
  message.service = row.request.service;
  message.team = row.request.team;
  message.deadline_ms =
      static_cast<std::uint32_t>(std::max<std::int64_t>(core::ToMs(row.request.deadline - now), 0));
  message.idempotent = row.request.idempotent;
  message.token = workers_.LivenessToken(sent.worker);
  message.config = config_.version();
  if (identity.config < message.config) {
    const auto& names = workers_.place_names();
    message.policy = config::DeriveAgentPolicy(
        *config_.current(), {.worker = identity.id,
                             .rack = names.Name(workers_.rack()[sent.worker]),
                             .zone = names.Name(workers_.zone()[sent.worker]),
                             .region = names.Name(workers_.region()[sent.worker])});
  }
  message.body = row.request.body;
  return agents_.Send(identity.id, wire::ToFrame(message));
}

void request_router::PlanHedge(std::uint64_t id, active_request& row) {
  const core::mono_time now = time_.Now();
  const auto delay = Service(row.request.service)
                         .hedge.PlanHedge({.idempotent = row.request.idempotent,
                                           .latency_critical = true,
                                           .time_left = row.request.deadline - now});
  if (delay) Schedule(now + *delay, id, timer_kind::hedge);
}

void request_router::OnReply(const std::string& worker, const wire::request_reply& reply) {
  const auto index = workers_.Find(worker);
  const auto found = requests_.find(reply.request_id);
  const auto matches = [&](const attempt& sent) {
    return sent.number == reply.attempt && index && sent.worker == *index;
  };
  if (found == requests_.end() ||
      std::none_of(found->second.in_flight.begin(), found->second.in_flight.end(), matches)) {
    metrics_.GetCounter("coltsfoot_late_answers_total").Add();
    return;
  }
  auto& in_flight = found->second.in_flight;
  const attempt ended = *std::find_if(in_flight.begin(), in_flight.end(), matches);
  workers_.OnRequestReply(*index, *workers_.service_names().Find(found->second.request.service),
                          reply);
  if (reply.code == result_code::ok && core::StableHash(reply.body) != reply.digest) {
    EndAttempt(reply.request_id, ended, result_code::answer_truncated, "the answer is not whole");
  } else if (reply.code == result_code::ok) {
    CompleteWithAnswer(reply.request_id, ended, reply.body);
  } else {
    EndAttempt(reply.request_id, ended, reply.code, reply.reason);
  }
}

void request_router::CompleteWithAnswer(std::uint64_t id, const attempt& ended, std::string body) {
  const core::mono_time now = time_.Now();
  active_request& row = requests_.at(id);
  service_state& service = Service(row.request.service);
  ReleaseLimit(row, ended, admission::load_signal::answered);
  std::erase_if(row.in_flight, [&](const attempt& sent) { return sent.number == ended.number; });
  service.expected.Record(now - ended.sent);
  if (ended.number == 1) {
    service.budget.OnSuccess();
    service.hedge.Record(now - ended.sent);
  }
  if (ended.hedge) service.hedge.RecordWin();
  quarantine_.OnSuccess(ended.worker, row.request.service, now);
  service.latency->Record(now - row.arrived);
  service.answered->Add();
  Complete(id, {result_code::ok, "", std::move(body)});
}

void request_router::EndAttempt(std::uint64_t id, const attempt& ended, result_code code,
                                std::string reason) {
  const core::mono_time now = time_.Now();
  active_request& row = requests_.at(id);
  const bool refused_for_load = code == result_code::no_capacity || code == result_code::queue_full;
  const bool lost = core::IsOutcomeUnknown(code);
  ReleaseLimit(row, ended,
               refused_for_load || lost ? admission::load_signal::overloaded
                                        : admission::load_signal::ignored);
  if (lost || code == result_code::connect_failed) {
    workers_.OnRequestAbandoned(ended.worker, *workers_.service_names().Find(row.request.service));
  }
  std::erase_if(row.in_flight, [&](const attempt& sent) { return sent.number == ended.number; });
  if (code == result_code::target_error) {
    quarantine_.OnFailure(ended.worker, std::to_string(id), row.request.service, now - ended.sent,
                          workers_.CountDispatchable(now), now);
  }
  if (ended.probe && core::IsNotRun(code)) quarantine_.OnProbeNotRun(ended.worker);
  row.may_have_run = row.may_have_run || !core::IsNotRun(code);
  row.last_code = code;
  row.last_reason = std::move(reason);
  if (!row.in_flight.empty()) return;

  service_state& service = Service(row.request.service);
  const auto decision = retry::ShouldRetry({.code = code,
                                            .idempotent = row.request.idempotent,
                                            .attempt = row.attempts,
                                            .time_left = row.request.deadline - now,
                                            .expected = service.expected.expected(),
                                            .previous_delay = row.last_delay},
                                           kRetryOptions, service.budget, random_);
  if (decision.retry) {
    metrics_.CountRetry(kWhere, code);
    row.last_delay = decision.delay;
    Schedule(now + decision.delay, id, timer_kind::retry);
    return;
  }
  metrics_
      .GetCounter("coltsfoot_retries_given_up_total", {"reason", retry::ToString(decision.reason)})
      .Add();
  // If an earlier attempt may have run, a refusal of the last attempt does not prove that the
  // request did not run.
  const bool outcome_is_unknown = row.may_have_run && core::IsNotRun(code);
  Complete(id, {outcome_is_unknown ? result_code::outcome_unknown : code, row.last_reason, ""});
}

void request_router::ReleaseLimit(active_request& row, const attempt& ended,
                                  admission::load_signal signal) {
  const core::mono_time now = time_.Now();
  row.occupied += now - ended.sent;
  Limit(ended.worker).Release(signal, now - ended.sent, now);
}

void request_router::Refuse(std::uint64_t id, result_code code, std::string reason) {
  Complete(id, {code, std::move(reason), ""});
}

void request_router::Complete(std::uint64_t id, request_outcome outcome) {
  auto node = requests_.extract(id);
  if (node.empty()) return;
  active_request& row = node.mapped();
  if (core::IsNotRun(outcome.code)) metrics_.CountRefusal(kWhere, outcome.code);
  if (core::IsOutcomeUnknown(outcome.code)) {
    metrics_.GetCounter("coltsfoot_outcome_unknown_total", {"reason", core::ToString(outcome.code)})
        .Add();
  }
  service_state& service = Service(row.request.service);
  CancelAttemptsInFlight(id, row);
  if (row.dispatched) {
    service.queue.Finish(row.request.team, row.occupied);
  } else {
    service.queue.Remove(id);
  }
  row.request.done(std::move(outcome));
  if (row.dispatched) DispatchQueued(row.request.service);
}

void request_router::CancelAttemptsInFlight(std::uint64_t id, active_request& row) {
  const auto service = workers_.service_names().Find(row.request.service);
  for (const attempt& sent : row.in_flight) {
    ReleaseLimit(row, sent, admission::load_signal::ignored);
    workers_.OnRequestAbandoned(sent.worker, *service);
    agents_.Send(workers_.identity(sent.worker).id,
                 wire::ToFrame(wire::cancel_request{id, sent.number}));
  }
  row.in_flight.clear();
}

void request_router::DispatchQueued(const std::string& name) {
  service_state& service = Service(name);
  for (int count = 0; count < kMaxDispatchesPerPass && service.queue.size() > 0; ++count) {
    active_request placeholder;
    placeholder.request.service = name;
    // The next request is not known yet and must not become the probe of a quarantined worker.
    placeholder.request.idempotent = false;
    result_code why = result_code::no_target;
    const auto target = PickTarget(placeholder, &why);
    if (!target) return;
    auto next = service.queue.Next(service.expected.expected(), time_.Now());
    for (const auto& refused : next.refused) {
      Refuse(refused.request.id, refused.code, "waited too long in the queue");
    }
    if (!next.dispatch) return;
    requests_.at(next.dispatch->id).dispatched = true;
    Dispatch(next.dispatch->id, *target, false);
  }
}

void request_router::OnLinkLost(const std::string& worker) {
  const auto index = workers_.Find(worker);
  if (!index) return;
  unlinked_until_[*index] = time_.Now() + kUnlinkedCooldown;
  std::vector<std::pair<std::uint64_t, attempt>> lost;
  for (const auto& [id, row] : requests_) {
    for (const attempt& sent : row.in_flight) {
      if (sent.worker == *index) lost.emplace_back(id, sent);
    }
  }
  for (const auto& [id, sent] : lost) {
    const auto found = requests_.find(id);
    if (found != requests_.end()) {
      workers_.OnRequestAbandoned(*index,
                                  *workers_.service_names().Find(found->second.request.service));
      EndAttempt(id, sent, result_code::connection_lost, "the connection to the agent was lost");
    }
  }
}

void request_router::Schedule(core::mono_time at, std::uint64_t id, timer_kind kind) {
  timers_.push({at, id, kind});
}

void request_router::Tick() {
  const core::mono_time now = time_.Now();
  if (config_.is_known() && applied_config_ != config_.version()) {
    applied_config_ = config_.version();
    const auto kind = static_cast<placement::policy_kind>(config_.view().fleet_wide().policy);
    if (kind != policy_kind_) routing_ = placement::MakeRoutingPolicy(kind);
    policy_kind_ = kind;
    for (auto& [name, state] : services_) ApplySettings(name, state);
  }
  while (!timers_.empty() && timers_.top().at <= now) {
    const timer due = timers_.top();
    timers_.pop();
    OnTimer(due);
  }
  if (now < next_queue_expiry_) return;
  next_queue_expiry_ = now + kQueueExpiryInterval;
  for (auto& [name, state] : services_) {
    for (const auto& refused : state.queue.Expire(state.expected.expected(), now)) {
      Refuse(refused.request.id, refused.code, "waited too long in the queue");
    }
    DispatchQueued(name);
  }
}

void request_router::OnTimer(const timer& due) {
  const auto found = requests_.find(due.request);
  if (found == requests_.end()) return;
  active_request& row = found->second;
  switch (due.kind) {
    case timer_kind::deadline:
      OnDeadline(due.request, row);
      return;
    case timer_kind::retry:
      if (row.in_flight.empty()) DispatchOrFail(due.request);
      return;
    case timer_kind::hedge: {
      if (row.in_flight.size() != 1) return;
      result_code why = result_code::no_target;
      const auto target = PickTarget(row, &why);
      if (!target ||
          !Service(row.request.service).hedge.TryHedge(Service(row.request.service).budget)) {
        return;
      }
      metrics_.GetCounter("coltsfoot_hedges_total", {"service", row.request.service}).Add();
      Dispatch(due.request, *target, true);
      return;
    }
  }
}

void request_router::OnDeadline(std::uint64_t id, const active_request& row) {
  const bool known_not_run = row.in_flight.empty() && !row.may_have_run;
  Complete(id, {known_not_run ? result_code::deadline_unmeetable : result_code::deadline_exceeded,
                row.last_reason.empty() ? "the deadline passed" : row.last_reason, ""});
}

}  // namespace coltsfoot::entry
