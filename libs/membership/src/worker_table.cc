#include "membership/worker_table.h"

#include <algorithm>

namespace coltsfoot::membership {

namespace {

constexpr std::uint8_t kRecovering = 1;
constexpr std::uint8_t kAgentDrain = 2;
constexpr std::uint8_t kOperatorDrain = 4;
constexpr std::uint8_t kGone = 8;

constexpr std::size_t kMaxForgottenPerCall = 64;

/// An unconfirmed assignment is included in the second heartbeat after it at the latest, because
/// that heartbeat was sent a whole interval after the assignment.
constexpr std::uint64_t kHeartbeatsToInclude = 2;

core::resources ElementwiseMin(const core::resources& left, const core::resources& right) {
  return {std::min(left.cpu_millis, right.cpu_millis), std::min(left.memory_mb, right.memory_mb),
          std::min(left.accelerators, right.accelerators)};
}

void Decrement(std::uint32_t& count) {
  if (count > 0) --count;
}

}  // namespace

worker_table::worker_table(worker_table_options options)
    : silence_limit_(options.heartbeat * options.missed_heartbeats),
      forget_after_(options.forget_after),
      forget_unconfirmed_after_(options.forget_unconfirmed_after),
      max_workers_(options.max_workers),
      max_names_(options.max_names) {}

heartbeat_result worker_table::OnHeartbeat(const wire::agent_heartbeat& heartbeat,
                                           core::mono_time now) {
  if (!heartbeat.described) return OnBriefHeartbeat(heartbeat, now);
  if (!HasRoomFor(heartbeat)) return {kNoWorker, heartbeat_outcome::refused};
  const auto known = by_id_.find(heartbeat.worker);
  const bool added = known == by_id_.end();
  const worker_index worker = added ? AddRow(heartbeat.worker, now) : known->second;
  worker_identity& identity = identity_[worker];
  const bool restarted = !added && identity.incarnation != heartbeat.incarnation;
  if (restarted && identity.previous_incarnation == heartbeat.incarnation) {
    return {worker, heartbeat_outcome::stale};
  }
  if (!added && !restarted && heartbeat.seq <= identity.seq) {
    return {worker, heartbeat_outcome::stale};
  }
  if (added || restarted) {
    SetIncarnation(worker, heartbeat.incarnation);
    std::erase_if(pending_[worker], [](const pending_assignment& row) { return !row.hold; });
    ClearServices(worker);
    SetFlag(worker, kGone, false);
  }
  ApplyDescription(worker, heartbeat);
  ApplyState(worker, heartbeat, now);
  ApplyServices(worker, heartbeat.services);
  if (added) return {worker, heartbeat_outcome::added};
  return {worker, restarted ? heartbeat_outcome::replaced : heartbeat_outcome::updated};
}

bool worker_table::HasRoomFor(const wire::agent_heartbeat& heartbeat) const {
  if (by_id_.size() >= max_workers_ && !by_id_.contains(heartbeat.worker)) return false;
  const auto is_new_place = [this](const std::string& name) { return !place_names_.Find(name); };
  const auto places = {heartbeat.region, heartbeat.zone, heartbeat.rack};
  if (place_names_.size() + places.size() > max_names_ &&
      std::any_of(places.begin(), places.end(), is_new_place)) {
    return false;
  }
  return service_names_.size() + heartbeat.services.size() <= max_names_ ||
         std::all_of(
             heartbeat.services.begin(), heartbeat.services.end(),
             [this](const auto& load) { return service_names_.Find(load.service).has_value(); });
}

heartbeat_result worker_table::OnBriefHeartbeat(const wire::agent_heartbeat& heartbeat,
                                                core::mono_time now) {
  const auto known = by_incarnation_.find(heartbeat.incarnation);
  if (known == by_incarnation_.end()) return {kNoWorker, heartbeat_outcome::undescribed};
  const worker_index worker = known->second;
  const worker_identity& identity = identity_[worker];
  if (heartbeat.seq <= identity.seq) return {worker, heartbeat_outcome::stale};
  if (heartbeat.description != identity.description ||
      heartbeat.services.size() != services_[worker].size()) {
    return {worker, heartbeat_outcome::undescribed};
  }
  ApplyState(worker, heartbeat, now);
  ApplyLoads(worker, heartbeat.services);
  return {worker, heartbeat_outcome::updated};
}

void worker_table::SetIncarnation(worker_index worker, std::uint64_t incarnation) {
  worker_identity& identity = identity_[worker];
  ForgetIncarnation(worker);
  identity.previous_incarnation = identity.incarnation;
  identity.incarnation = incarnation;
  by_incarnation_[incarnation] = worker;
}

void worker_table::ForgetIncarnation(worker_index worker) {
  const auto known = by_incarnation_.find(identity_[worker].incarnation);
  if (known != by_incarnation_.end() && known->second == worker) by_incarnation_.erase(known);
}

std::optional<worker_index> worker_table::OnGoodbye(const wire::agent_goodbye& goodbye) {
  const auto worker = Find(goodbye.worker);
  if (!worker || identity_[*worker].incarnation != goodbye.incarnation) return std::nullopt;
  if ((flags_[*worker] & kGone) != 0) return std::nullopt;
  SetFlag(*worker, kGone, true);
  return worker;
}

void worker_table::OnRequestReply(worker_index worker, name_id service,
                                  const wire::request_reply& reply) {
  service_row* row = MutableService(worker, service);
  if (row == nullptr) return;
  Decrement(row->outstanding);
  if (reply.load.service.empty()) {
    Decrement(row->sent_since);
    return;
  }
  row->in_flight = reply.load.in_flight;
  row->queued = reply.load.queued;
  row->average_us = reply.load.average_us;
  row->sent_since = 0;
  slots_free_[worker] = reply.slots_free;
}

void worker_table::OnRequestSent(worker_index worker, name_id service) {
  if (service_row* row = MutableService(worker, service); row != nullptr) {
    ++row->sent_since;
    ++row->outstanding;
  }
}

void worker_table::OnRequestAbandoned(worker_index worker, name_id service) {
  if (service_row* row = MutableService(worker, service); row != nullptr) {
    Decrement(row->outstanding);
  }
}

void worker_table::OnFreeReported(worker_index worker, const core::resources& free) {
  reported_free_[worker] = free;
  // Only heartbeats drop unconfirmed assignments: reports come at no fixed interval that would
  // bound how long a start command may be in transit.
  std::erase_if(pending_[worker],
                [](const pending_assignment& row) { return !row.hold && row.confirmed; });
  released_[worker] = {};
  RecomputeAvailable(worker);
}

void worker_table::SetOperatorDrain(worker_index worker, bool drain) {
  SetFlag(worker, kOperatorDrain, drain);
}

assignment_id worker_table::Assign(worker_index worker, const core::resources& need) {
  return AddPending(worker, need, false);
}

assignment_id worker_table::Hold(worker_index worker, const core::resources& need) {
  return AddPending(worker, need, true);
}

void worker_table::ConvertHold(worker_index worker, assignment_id id) {
  for (pending_assignment& row : pending_[worker]) {
    if (row.id != id) continue;
    row.hold = false;
    row.made_at_seq = identity_[worker].seq;
  }
}

void worker_table::ConfirmAssignment(worker_index worker, assignment_id id) {
  for (pending_assignment& row : pending_[worker]) {
    if (row.id == id) row.confirmed = true;
  }
}

void worker_table::ReleaseAssignment(worker_index worker, assignment_id id,
                                     const core::resources& need) {
  const std::size_t erased =
      std::erase_if(pending_[worker], [id](const pending_assignment& row) { return row.id == id; });
  if (erased == 0) released_[worker] += need;
  RecomputeAvailable(worker);
}

void worker_table::ReleaseHold(worker_index worker, assignment_id id) {
  std::erase_if(pending_[worker], [id](const pending_assignment& row) { return row.id == id; });
  RecomputeAvailable(worker);
}

bool worker_table::IsForgettable(worker_index worker, core::mono_time now) const {
  if (!IsKnown(worker)) return false;
  const bool is_full = by_id_.size() >= max_workers_;
  const core::nanoseconds silence = now - last_heartbeat_at_[worker];
  if (silence > forget_after_ || (is_full && silence > silence_limit_)) return true;
  if (confirmed_[worker]) return false;
  return (is_full ? now - added_at_[worker] : silence) > forget_unconfirmed_after_;
}

std::vector<worker_index> worker_table::Forget(core::mono_time now) {
  std::vector<worker_index> forgotten;
  for (worker_index worker = 0; worker < size(); ++worker) {
    if (forgotten.size() == kMaxForgottenPerCall) break;
    if (!IsForgettable(worker, now)) continue;
    by_id_.erase(identity_[worker].id);
    ForgetIncarnation(worker);
    ClearServices(worker);
    pending_[worker].clear();
    reported_free_[worker] = {};
    released_[worker] = {};
    identity_[worker] = {};
    flags_[worker] = kGone;
    total_[worker] = {};
    available_[worker] = {};
    evictable_[worker] = {};
    free_rows_.push_back(worker);
    forgotten.push_back(worker);
  }
  return forgotten;
}

std::optional<worker_index> worker_table::Find(std::string_view id) const {
  const auto found = by_id_.find(std::string(id));
  if (found == by_id_.end()) return std::nullopt;
  return found->second;
}

worker_state worker_table::State(worker_index worker, core::mono_time now) const noexcept {
  const std::uint8_t flags = flags_[worker];
  if ((flags & kGone) != 0) return worker_state::gone;
  if (now - last_heartbeat_at_[worker] > silence_limit_) return worker_state::silent;
  if ((flags & kRecovering) != 0) return worker_state::recovering;
  if (flags != 0) return worker_state::draining;
  return worker_state::live;
}

wire::liveness_token worker_table::LivenessToken(worker_index worker) const {
  return {identity_[worker].incarnation, identity_[worker].seq};
}

const service_row* worker_table::FindService(worker_index worker, name_id service) const noexcept {
  for (const service_row& row : services_[worker]) {
    if (row.service == service) return &row;
  }
  return nullptr;
}

std::span<const worker_index> worker_table::Targets(name_id service) const noexcept {
  if (service >= targets_.size()) return {};
  return targets_[service];
}

std::size_t worker_table::CountDispatchable(core::mono_time now) const noexcept {
  std::size_t count = 0;
  for (worker_index worker = 0; worker < size(); ++worker) {
    count += IsDispatchable(worker, now) ? 1 : 0;
  }
  return count;
}

worker_index worker_table::AddRow(const std::string& id, core::mono_time now) {
  worker_index worker = static_cast<worker_index>(size());
  if (free_rows_.empty()) {
    flags_.emplace_back();
    last_heartbeat_at_.emplace_back();
    added_at_.emplace_back();
    confirmed_.push_back(false);
    total_.emplace_back();
    available_.emplace_back();
    evictable_.emplace_back();
    slots_total_.emplace_back();
    slots_free_.emplace_back();
    region_.push_back(kNoName);
    zone_.push_back(kNoName);
    rack_.push_back(kNoName);
    identity_.emplace_back();
    services_.emplace_back();
    reported_free_.emplace_back();
    released_.emplace_back();
    pending_.emplace_back();
  } else {
    worker = free_rows_.back();
    free_rows_.pop_back();
  }
  flags_[worker] = 0;
  added_at_[worker] = now;
  confirmed_[worker] = false;
  identity_[worker].id = id;
  by_id_[id] = worker;
  return worker;
}

void worker_table::ApplyDescription(worker_index worker, const wire::agent_heartbeat& heartbeat) {
  worker_identity& identity = identity_[worker];
  identity.description = heartbeat.description;
  identity.agent_tcp = heartbeat.agent_tcp;
  identity.connections_total = heartbeat.connections_total;
  total_[worker] = heartbeat.total;
  slots_total_[worker] = heartbeat.slots_total;
  region_[worker] = place_names_.Intern(heartbeat.region);
  zone_[worker] = place_names_.Intern(heartbeat.zone);
  rack_[worker] = place_names_.Intern(heartbeat.rack);
}

void worker_table::ApplyState(worker_index worker, const wire::agent_heartbeat& heartbeat,
                              core::mono_time now) {
  worker_identity& identity = identity_[worker];
  identity.seq = heartbeat.seq;
  identity.running_tasks = heartbeat.running_tasks;
  identity.connections_free = heartbeat.connections_free;
  identity.config = heartbeat.config;
  last_heartbeat_at_[worker] = now;
  SetFlag(worker, kRecovering, heartbeat.recovering);
  SetFlag(worker, kAgentDrain, heartbeat.draining);
  reported_free_[worker] = heartbeat.free;
  evictable_[worker] = heartbeat.evictable;
  slots_free_[worker] = heartbeat.slots_free;
  DropIncludedAssignments(worker, heartbeat.seq);
}

void worker_table::ApplyLoads(worker_index worker, const std::vector<wire::service_load>& loads) {
  for (std::size_t index = 0; index < loads.size(); ++index) {
    service_row& row = services_[worker][index];
    row.in_flight = loads[index].in_flight;
    row.queued = loads[index].queued;
    row.average_us = loads[index].average_us;
    row.sent_since = 0;
  }
}

void worker_table::ApplyServices(worker_index worker,
                                 const std::vector<wire::service_load>& loads) {
  std::vector<service_row> rows;
  rows.reserve(loads.size());
  for (const wire::service_load& load : loads) {
    const name_id service = service_names_.Intern(load.service);
    const service_row* old = FindService(worker, service);
    rows.push_back({.service = service,
                    .in_flight = load.in_flight,
                    .queued = load.queued,
                    .average_us = load.average_us,
                    .outstanding = old == nullptr ? 0 : old->outstanding});
    if (targets_.size() <= service) targets_.resize(service + 1);
    if (old == nullptr) targets_[service].push_back(worker);
  }
  for (const service_row& old : services_[worker]) {
    const bool kept = std::any_of(rows.begin(), rows.end(), [&](const service_row& row) {
      return row.service == old.service;
    });
    if (!kept) std::erase(targets_[old.service], worker);
  }
  services_[worker] = std::move(rows);
}

void worker_table::ClearServices(worker_index worker) {
  for (const service_row& row : services_[worker]) std::erase(targets_[row.service], worker);
  services_[worker].clear();
}

void worker_table::DropIncludedAssignments(worker_index worker, std::uint64_t seq) {
  std::erase_if(pending_[worker], [seq](const pending_assignment& row) {
    if (row.hold) return false;
    return row.confirmed || seq >= row.made_at_seq + kHeartbeatsToInclude;
  });
  released_[worker] = {};
  RecomputeAvailable(worker);
}

void worker_table::RecomputeAvailable(worker_index worker) {
  core::resources free = ElementwiseMin(reported_free_[worker] + released_[worker], total_[worker]);
  for (const pending_assignment& row : pending_[worker]) free -= row.need;
  available_[worker] = free;
}

assignment_id worker_table::AddPending(worker_index worker, const core::resources& need,
                                       bool hold) {
  const assignment_id id = next_assignment_++;
  pending_[worker].push_back(
      {.id = id, .need = need, .made_at_seq = identity_[worker].seq, .hold = hold});
  available_[worker] -= need;
  return id;
}

service_row* worker_table::MutableService(worker_index worker, name_id service) noexcept {
  for (service_row& row : services_[worker]) {
    if (row.service == service) return &row;
  }
  return nullptr;
}

void worker_table::SetFlag(worker_index worker, std::uint8_t flag, bool on) noexcept {
  if (on) {
    flags_[worker] |= flag;
  } else {
    flags_[worker] &= static_cast<std::uint8_t>(~flag);
  }
}

}  // namespace coltsfoot::membership
