#include "placement/task_queue.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>

namespace coltsfoot::placement {

namespace {

/// Lanes whose retry is due are moved in bounded steps per pass.
constexpr std::size_t kWokenPerPass = 256;
constexpr std::size_t kAgedLanes = 32;

std::size_t Row(task_tier tier) { return static_cast<std::size_t>(tier); }

std::string LaneKey(const task_spec& task) {
  std::string key = fmt::format("{}\n{}\n{}\n{},{},{}\n{},{}", Row(task.tier()), task.team,
                                task.task_class, task.need.cpu_millis, task.need.memory_mb,
                                task.need.accelerators, task.zone, task.max_per_rack);
  for (const worker_index worker : task.failed_on) key += fmt::format(",{}", worker);
  return key;
}

double Share(std::int64_t used, std::int64_t total) {
  return total > 0 ? static_cast<double>(used) / static_cast<double>(total) : 0;
}

}  // namespace

task_queue::task_queue(queue_options options) : options_(options) {}

core::result_code task_queue::Push(task_spec task) {
  if (tasks_.contains(task.task)) return core::result_code::conflict;
  if (tasks_.size() >= options_.limit) return core::result_code::queue_full;
  const auto& quota = teams_[Team(task.team)].cpu_quota_millis;
  if (quota && task.need.cpu_millis > *quota) return core::result_code::quota_exceeded;
  Requeue(std::move(task));
  return core::result_code::ok;
}

bool task_queue::Requeue(task_spec task) {
  if (tasks_.contains(task.task)) return false;
  const lane_index index = Lane(task, Team(task.team));
  lane& row = lanes_[index];
  ++tier_sizes_[Row(row.tier)];
  // Tasks that come back are older than the others, so their place is near the front.
  auto position = row.tasks.end();
  if (!row.tasks.empty() && task.submitted < row.tasks.back().submitted) {
    position = std::find_if(row.tasks.begin(), row.tasks.end(), [&](const task_spec& other) {
      return task.submitted < other.submitted;
    });
  }
  const bool becomes_head = position == row.tasks.begin() || row.tasks.empty();
  const bool was_empty = row.tasks.empty();
  if (becomes_head && !was_empty) Unlist(index);
  const std::string name = task.task;
  const auto inserted = row.tasks.insert(position, std::move(task));
  tasks_[name] = {index, inserted};
  if (!becomes_head) return true;
  List(index);
  return true;
}

std::optional<task_spec> task_queue::Remove(std::string_view task) {
  const auto entry = tasks_.find(std::string(task));
  if (entry == tasks_.end()) return std::nullopt;
  const task_place place = entry->second;
  task_spec removed = *place.position;
  EraseTask(place.lane, place.position);
  return removed;
}

const task_spec* task_queue::Find(std::string_view task) const noexcept {
  const auto entry = tasks_.find(std::string(task));
  return entry == tasks_.end() ? nullptr : &*entry->second.position;
}

pass_stats task_queue::RunPass(task_placer& placer, core::mono_time now) {
  EndDeferrals(now);
  WakeDue(now);
  PromoteAged(now);
  pass_stats stats;
  std::uint32_t blocked = 0;
  while (stats.attempts < options_.attempts_per_pass && blocked < options_.blocked_per_pass) {
    const auto next = NextLane();
    if (!next) break;
    ++stats.attempts;
    const auto head = lanes_[*next].tasks.begin();
    if (!HasRoom(teams_[lanes_[*next].team], head->need)) {
      ++stats.over_quota;
      CountMiss(*next, now);
      Park(*next, now);
      continue;
    }
    const attempt_outcome outcome = placer.TryPlace(*head);
    if (outcome == attempt_outcome::blocked) {
      ++blocked;
      CountMiss(*next, now);
      Park(*next, now);
      continue;
    }
    if (outcome == attempt_outcome::placed) ++stats.placed;
    teams_[lanes_[*next].team].turns[Row(ServedTier(lanes_[*next]))].misses = 0;
    lanes_[*next].retry_delay = {};
    EraseTask(*next, head);
  }
  return stats;
}

void task_queue::SetFleetTotal(const core::resources& total) {
  if (total == fleet_total_) return;
  fleet_total_ = total;
  for (team_index team = 0; team < teams_.size(); ++team) Reshare(team);
}

void task_queue::SetQuota(std::string_view team, std::optional<std::int64_t> cpu_millis) {
  teams_[Team(team)].cpu_quota_millis = cpu_millis;
}

void task_queue::OnRunning(std::string_view team, const core::resources& need) {
  const team_index index = Team(team);
  teams_[index].usage += need;
  Reshare(index);
}

void task_queue::OnStopped(std::string_view team, const core::resources& need) {
  const team_index index = Team(team);
  teams_[index].usage -= need;
  Reshare(index);
}

core::resources task_queue::Usage(std::string_view team) const {
  const auto entry = team_ids_.find(std::string(team));
  return entry == team_ids_.end() ? core::resources{} : teams_[entry->second].usage;
}

double task_queue::DominantShare(std::string_view team) const {
  const auto entry = team_ids_.find(std::string(team));
  return entry == team_ids_.end() ? 0 : teams_[entry->second].share;
}

bool task_queue::IsWithinQuota(std::string_view team, const core::resources& need) const {
  const auto entry = team_ids_.find(std::string(team));
  return entry == team_ids_.end() || HasRoom(teams_[entry->second], need);
}

std::size_t task_queue::size(task_tier tier) const noexcept { return tier_sizes_[Row(tier)]; }

std::vector<const task_spec*> task_queue::WaitingLongerThan(
    task_tier tier, core::nanoseconds age, std::size_t limit, core::mono_time now,
    const std::function<bool(const task_spec&)>& skip) const {
  std::vector<const task_spec*> waiting;
  for (const auto& [head_at, index] : by_age_[Row(tier)]) {
    if (now - head_at <= age) break;
    for (const task_spec& task : lanes_[index].tasks) {
      if (waiting.size() == limit) return waiting;
      if (now - task.submitted <= age) break;
      if (!skip(task)) waiting.push_back(&task);
    }
  }
  return waiting;
}

task_queue::team_index task_queue::Team(std::string_view name) {
  const auto [entry, added] =
      team_ids_.try_emplace(std::string(name), static_cast<team_index>(teams_.size()));
  if (added) teams_.emplace_back().name = name;
  return entry->second;
}

task_queue::lane_index task_queue::Lane(const task_spec& task, team_index team) {
  std::string key = LaneKey(task);
  const auto known = lane_ids_.find(key);
  if (known != lane_ids_.end()) return known->second;
  lane_index index = static_cast<lane_index>(lanes_.size());
  if (free_lanes_.empty()) {
    lanes_.emplace_back();
  } else {
    index = free_lanes_.back();
    free_lanes_.pop_back();
  }
  lane& row = lanes_[index];
  row = {};
  row.key = key;
  row.tier = task.tier();
  row.team = team;
  row.ready = true;
  lane_ids_.emplace(std::move(key), index);
  return index;
}

task_tier task_queue::ServedTier(const lane& row) noexcept {
  return row.aged ? task_tier::latency_critical : row.tier;
}

// Enters a lane with a head into the ordered sets.
void task_queue::List(lane_index index) {
  lane& row = lanes_[index];
  row.head_at = row.tasks.front().submitted;
  row.order_at = row.head_at;
  by_age_[Row(row.tier)].emplace(row.head_at, index);
  if (row.ready) {
    Activate(index);
  } else {
    parked_.emplace(row.retry_at, index);
  }
}

// Takes a lane out of the ordered sets before its head changes.
void task_queue::Unlist(lane_index index) {
  lane& row = lanes_[index];
  by_age_[Row(row.tier)].erase({row.head_at, index});
  if (row.ready) {
    Deactivate(index);
  } else {
    parked_.erase({row.retry_at, index});
  }
}

void task_queue::Activate(lane_index index) {
  const lane& row = lanes_[index];
  const std::size_t tier = Row(ServedTier(row));
  team_row& team = teams_[row.team];
  if (team.ready_lanes[tier].empty()) EnterTeam(tier, row.team);
  team.ready_lanes[tier].emplace(row.order_at, index);
}

void task_queue::Deactivate(lane_index index) {
  const lane& row = lanes_[index];
  const std::size_t tier = Row(ServedTier(row));
  team_row& team = teams_[row.team];
  team.ready_lanes[tier].erase({row.order_at, index});
  if (team.ready_lanes[tier].empty()) LeaveTeam(tier, row.team);
}

void task_queue::Park(lane_index index, core::mono_time now) {
  lane& row = lanes_[index];
  Deactivate(index);
  row.retry_delay = std::clamp(row.retry_delay * 2, options_.first_retry, options_.max_retry);
  row.retry_at = now + row.retry_delay;
  row.ready = false;
  parked_.emplace(row.retry_at, index);
}

void task_queue::WakeDue(core::mono_time now) {
  for (std::size_t woken = 0; woken < kWokenPerPass && !parked_.empty(); ++woken) {
    const auto [retry_at, index] = *parked_.begin();
    if (retry_at > now) return;
    parked_.erase(parked_.begin());
    lanes_[index].ready = true;
    lanes_[index].order_at = retry_at;
    Activate(index);
  }
}

void task_queue::EndDeferrals(core::mono_time now) {
  for (std::size_t tier = 0; tier < kTiers; ++tier) {
    auto& deferred = deferred_teams_[tier];
    while (!deferred.empty() && now - deferred.begin()->first >= options_.deferral) {
      const team_index team = deferred.begin()->second;
      LeaveTeam(tier, team);
      teams_[team].turns[tier] = {};
      EnterTeam(tier, team);
    }
  }
}

void task_queue::EnterTeam(std::size_t tier, team_index index) {
  const team_row& team = teams_[index];
  const core::mono_time deferred_at = team.turns[tier].deferred_at;
  if (deferred_at == core::mono_time{}) {
    ready_teams_[tier].emplace(team.share, index);
  } else {
    deferred_teams_[tier].emplace(deferred_at, index);
  }
}

void task_queue::LeaveTeam(std::size_t tier, team_index index) {
  const team_row& team = teams_[index];
  ready_teams_[tier].erase({team.share, index});
  deferred_teams_[tier].erase({team.turns[tier].deferred_at, index});
}

void task_queue::CountMiss(lane_index index, core::mono_time now) {
  const std::size_t tier = Row(ServedTier(lanes_[index]));
  const team_index team = lanes_[index].team;
  team_turn& turn = teams_[team].turns[tier];
  if (++turn.misses < options_.misses_per_turn) return;
  LeaveTeam(tier, team);
  turn = {.deferred_at = now};
  EnterTeam(tier, team);
}

void task_queue::PromoteAged(core::mono_time now) {
  // Only the oldest lanes age, which bounds the cost while they cannot be placed.
  std::vector<lane_index> aged;
  for (const auto& [head_at, index] : by_age_[Row(task_tier::batch)]) {
    if (now - head_at <= options_.aging || aged.size() == kAgedLanes) break;
    aged.push_back(index);
  }
  for (const lane_index index : aged) {
    lane& row = lanes_[index];
    if (row.aged) continue;
    if (row.ready) Deactivate(index);
    row.aged = true;
    if (row.ready) Activate(index);
  }
}

void task_queue::EraseTask(lane_index index, std::list<task_spec>::iterator position) {
  lane& row = lanes_[index];
  --tier_sizes_[Row(row.tier)];
  tasks_.erase(position->task);
  if (position != row.tasks.begin()) {
    row.tasks.erase(position);
    return;
  }
  Unlist(index);
  row.tasks.erase(position);
  row.aged = false;
  if (row.tasks.empty()) {
    ReleaseLane(index);
  } else {
    List(index);
  }
}

void task_queue::ReleaseLane(lane_index index) {
  lane_ids_.erase(lanes_[index].key);
  free_lanes_.push_back(index);
}

void task_queue::Reshare(team_index index) {
  team_row& team = teams_[index];
  const double share = std::max({Share(team.usage.cpu_millis, fleet_total_.cpu_millis),
                                 Share(team.usage.memory_mb, fleet_total_.memory_mb),
                                 Share(team.usage.accelerators, fleet_total_.accelerators)});
  if (share == team.share) return;
  for (std::size_t tier = 0; tier < kTiers; ++tier) {
    if (ready_teams_[tier].erase({team.share, index}) > 0) ready_teams_[tier].emplace(share, index);
  }
  team.share = share;
}

std::optional<task_queue::lane_index> task_queue::NextLane() const {
  for (std::size_t tier = 0; tier < kTiers; ++tier) {
    if (ready_teams_[tier].empty()) continue;
    const team_row& team = teams_[ready_teams_[tier].begin()->second];
    return team.ready_lanes[tier].begin()->second;
  }
  for (std::size_t tier = 0; tier < kTiers; ++tier) {
    if (deferred_teams_[tier].empty()) continue;
    const team_row& team = teams_[deferred_teams_[tier].begin()->second];
    return team.ready_lanes[tier].begin()->second;
  }
  return std::nullopt;
}

bool task_queue::HasRoom(const team_row& team, const core::resources& need) noexcept {
  return !team.cpu_quota_millis ||
         team.usage.cpu_millis + need.cpu_millis <= *team.cpu_quota_millis;
}

}  // namespace coltsfoot::placement
