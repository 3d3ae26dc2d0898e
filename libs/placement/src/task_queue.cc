#include "placement/task_queue.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>

namespace coltsfoot::placement {

namespace {

/// Limits on subqueues whose backoff ends and on batch subqueues that age in one pass, to bound its
/// cost.
constexpr std::size_t kMaxBackoffsEndedPerPass = 256;
constexpr std::size_t kMaxAgedSubqueues = 32;

std::size_t TierIndex(task_tier tier) { return static_cast<std::size_t>(tier); }

std::string SubqueueKey(const task_spec& task) {
  std::string key = fmt::format("{}\n{}\n{}\n{},{},{}\n{},{}", TierIndex(task.tier()), task.team,
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
  const auto& quota = teams_[FindOrAddTeam(task.team)].cpu_quota_millis;
  if (quota && task.need.cpu_millis > *quota) return core::result_code::quota_exceeded;
  Requeue(std::move(task));
  return core::result_code::ok;
}

bool task_queue::Requeue(task_spec task) {
  if (tasks_.contains(task.task)) return false;
  const subqueue_index index = FindOrAddSubqueue(task, FindOrAddTeam(task.team));
  subqueue& row = subqueues_[index];
  ++tier_sizes_[TierIndex(row.tier)];
  // Requeued tasks are usually older than the others, so their position is near the front.
  auto position = row.tasks.end();
  if (!row.tasks.empty() && task.submitted < row.tasks.back().submitted) {
    position = std::find_if(row.tasks.begin(), row.tasks.end(), [&](const task_spec& other) {
      return task.submitted < other.submitted;
    });
  }
  const bool becomes_head = position == row.tasks.begin() || row.tasks.empty();
  const bool was_empty = row.tasks.empty();
  if (becomes_head && !was_empty) RemoveFromIndexes(index);
  const std::string name = task.task;
  const auto inserted = row.tasks.insert(position, std::move(task));
  tasks_[name] = {index, inserted};
  if (!becomes_head) return true;
  AddToIndexes(index);
  return true;
}

std::optional<task_spec> task_queue::Remove(std::string_view task) {
  const auto entry = tasks_.find(std::string(task));
  if (entry == tasks_.end()) return std::nullopt;
  const task_location location = entry->second;
  task_spec removed = *location.position;
  EraseTask(location.subqueue, location.position);
  return removed;
}

const task_spec* task_queue::Find(std::string_view task) const noexcept {
  const auto entry = tasks_.find(std::string(task));
  return entry == tasks_.end() ? nullptr : &*entry->second.position;
}

pass_stats task_queue::RunPass(task_placer& placer, core::mono_time now) {
  EndDeferrals(now);
  EndDueBackoffs(now);
  PromoteAged(now);
  pass_stats stats;
  std::uint32_t blocked = 0;
  while (stats.attempts < options_.max_attempts_per_pass &&
         blocked < options_.max_blocked_per_pass) {
    const auto next = NextSubqueue();
    if (!next) break;
    ++stats.attempts;
    const auto head = subqueues_[*next].tasks.begin();
    if (!FitsQuota(teams_[subqueues_[*next].team], head->need)) {
      ++stats.over_quota;
      CountFailedPlacement(*next, now);
      StartBackoff(*next, now);
      continue;
    }
    const attempt_outcome outcome = placer.TryPlace(*head);
    if (outcome == attempt_outcome::blocked) {
      ++blocked;
      CountFailedPlacement(*next, now);
      StartBackoff(*next, now);
      continue;
    }
    if (outcome == attempt_outcome::placed) ++stats.placed;
    teams_[subqueues_[*next].team]
        .tiers[TierIndex(EffectiveTier(subqueues_[*next]))]
        .failed_placements = 0;
    subqueues_[*next].backoff = {};
    EraseTask(*next, head);
  }
  return stats;
}

void task_queue::SetFleetTotal(const core::resources& total) {
  if (total == fleet_total_) return;
  fleet_total_ = total;
  for (team_index team = 0; team < teams_.size(); ++team) UpdateShare(team);
}

void task_queue::SetQuota(std::string_view team, std::optional<std::int64_t> cpu_millis) {
  teams_[FindOrAddTeam(team)].cpu_quota_millis = cpu_millis;
}

void task_queue::OnRunning(std::string_view team, const core::resources& need) {
  const team_index index = FindOrAddTeam(team);
  teams_[index].usage += need;
  UpdateShare(index);
}

void task_queue::OnStopped(std::string_view team, const core::resources& need) {
  const team_index index = FindOrAddTeam(team);
  teams_[index].usage -= need;
  UpdateShare(index);
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
  return entry == team_ids_.end() || FitsQuota(teams_[entry->second], need);
}

std::size_t task_queue::size(task_tier tier) const noexcept { return tier_sizes_[TierIndex(tier)]; }

std::vector<const task_spec*> task_queue::WaitingLongerThan(
    task_tier tier, core::nanoseconds age, std::size_t limit, core::mono_time now,
    const std::function<bool(const task_spec&)>& skip) const {
  std::vector<const task_spec*> waiting;
  for (const auto& [head_submitted_at, index] : by_age_[TierIndex(tier)]) {
    if (now - head_submitted_at <= age) break;
    for (const task_spec& task : subqueues_[index].tasks) {
      if (waiting.size() == limit) return waiting;
      if (now - task.submitted <= age) break;
      if (!skip(task)) waiting.push_back(&task);
    }
  }
  return waiting;
}

task_queue::team_index task_queue::FindOrAddTeam(std::string_view name) {
  const auto [entry, added] =
      team_ids_.try_emplace(std::string(name), static_cast<team_index>(teams_.size()));
  if (added) teams_.emplace_back().name = name;
  return entry->second;
}

task_queue::subqueue_index task_queue::FindOrAddSubqueue(const task_spec& task, team_index team) {
  std::string key = SubqueueKey(task);
  const auto known = subqueue_ids_.find(key);
  if (known != subqueue_ids_.end()) return known->second;
  subqueue_index index = static_cast<subqueue_index>(subqueues_.size());
  if (free_subqueues_.empty()) {
    subqueues_.emplace_back();
  } else {
    index = free_subqueues_.back();
    free_subqueues_.pop_back();
  }
  subqueue& row = subqueues_[index];
  row = {};
  row.key = key;
  row.tier = task.tier();
  row.team = team;
  row.ready = true;
  subqueue_ids_.emplace(std::move(key), index);
  return index;
}

task_tier task_queue::EffectiveTier(const subqueue& row) noexcept {
  return row.aged ? task_tier::latency_critical : row.tier;
}

// Inserts a subqueue that is not empty into the ordered sets.
void task_queue::AddToIndexes(subqueue_index index) {
  subqueue& row = subqueues_[index];
  row.head_submitted_at = row.tasks.front().submitted;
  row.ready_key = row.head_submitted_at;
  by_age_[TierIndex(row.tier)].emplace(row.head_submitted_at, index);
  if (row.ready) {
    Activate(index);
  } else {
    backing_off_.emplace(row.retry_at, index);
  }
}

// Removes a subqueue from the ordered sets before its head changes.
void task_queue::RemoveFromIndexes(subqueue_index index) {
  subqueue& row = subqueues_[index];
  by_age_[TierIndex(row.tier)].erase({row.head_submitted_at, index});
  if (row.ready) {
    Deactivate(index);
  } else {
    backing_off_.erase({row.retry_at, index});
  }
}

void task_queue::Activate(subqueue_index index) {
  const subqueue& row = subqueues_[index];
  const std::size_t tier = TierIndex(EffectiveTier(row));
  team_row& team = teams_[row.team];
  if (team.ready_subqueues[tier].empty()) InsertTeam(tier, row.team);
  team.ready_subqueues[tier].emplace(row.ready_key, index);
}

void task_queue::Deactivate(subqueue_index index) {
  const subqueue& row = subqueues_[index];
  const std::size_t tier = TierIndex(EffectiveTier(row));
  team_row& team = teams_[row.team];
  team.ready_subqueues[tier].erase({row.ready_key, index});
  if (team.ready_subqueues[tier].empty()) EraseTeam(tier, row.team);
}

void task_queue::StartBackoff(subqueue_index index, core::mono_time now) {
  subqueue& row = subqueues_[index];
  Deactivate(index);
  row.backoff = std::clamp(row.backoff * 2, options_.initial_backoff, options_.max_backoff);
  row.retry_at = now + row.backoff;
  row.ready = false;
  backing_off_.emplace(row.retry_at, index);
}

void task_queue::EndDueBackoffs(core::mono_time now) {
  for (std::size_t ended = 0; ended < kMaxBackoffsEndedPerPass && !backing_off_.empty(); ++ended) {
    const auto [retry_at, index] = *backing_off_.begin();
    if (retry_at > now) return;
    backing_off_.erase(backing_off_.begin());
    subqueues_[index].ready = true;
    subqueues_[index].ready_key = retry_at;
    Activate(index);
  }
}

void task_queue::EndDeferrals(core::mono_time now) {
  for (std::size_t tier = 0; tier < kTiers; ++tier) {
    auto& deferred = deferred_teams_[tier];
    while (!deferred.empty() && now - deferred.begin()->first >= options_.deferral) {
      const team_index team = deferred.begin()->second;
      EraseTeam(tier, team);
      teams_[team].tiers[tier] = {};
      InsertTeam(tier, team);
    }
  }
}

void task_queue::InsertTeam(std::size_t tier, team_index index) {
  const team_row& team = teams_[index];
  const core::mono_time deferred_at = team.tiers[tier].deferred_at;
  if (deferred_at == core::mono_time{}) {
    ready_teams_[tier].emplace(team.share, index);
  } else {
    deferred_teams_[tier].emplace(deferred_at, index);
  }
}

void task_queue::EraseTeam(std::size_t tier, team_index index) {
  const team_row& team = teams_[index];
  ready_teams_[tier].erase({team.share, index});
  deferred_teams_[tier].erase({team.tiers[tier].deferred_at, index});
}

void task_queue::CountFailedPlacement(subqueue_index index, core::mono_time now) {
  const std::size_t tier = TierIndex(EffectiveTier(subqueues_[index]));
  const team_index team = subqueues_[index].team;
  team_tier_state& state = teams_[team].tiers[tier];
  if (++state.failed_placements < options_.failures_before_deferral) return;
  EraseTeam(tier, team);
  state = {.deferred_at = now};
  InsertTeam(tier, team);
}

void task_queue::PromoteAged(core::mono_time now) {
  // Only the oldest subqueues age, which bounds the cost while they cannot be placed.
  std::vector<subqueue_index> aged;
  for (const auto& [head_submitted_at, index] : by_age_[TierIndex(task_tier::batch)]) {
    if (now - head_submitted_at <= options_.aging || aged.size() == kMaxAgedSubqueues) break;
    aged.push_back(index);
  }
  for (const subqueue_index index : aged) {
    subqueue& row = subqueues_[index];
    if (row.aged) continue;
    if (row.ready) Deactivate(index);
    row.aged = true;
    if (row.ready) Activate(index);
  }
}

void task_queue::EraseTask(subqueue_index index, std::list<task_spec>::iterator position) {
  subqueue& row = subqueues_[index];
  --tier_sizes_[TierIndex(row.tier)];
  tasks_.erase(position->task);
  if (position != row.tasks.begin()) {
    row.tasks.erase(position);
    return;
  }
  RemoveFromIndexes(index);
  row.tasks.erase(position);
  row.aged = false;
  if (row.tasks.empty()) {
    ReleaseSubqueue(index);
  } else {
    AddToIndexes(index);
  }
}

void task_queue::ReleaseSubqueue(subqueue_index index) {
  subqueue_ids_.erase(subqueues_[index].key);
  free_subqueues_.push_back(index);
}

void task_queue::UpdateShare(team_index index) {
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

std::optional<task_queue::subqueue_index> task_queue::NextSubqueue() const {
  for (std::size_t tier = 0; tier < kTiers; ++tier) {
    if (ready_teams_[tier].empty()) continue;
    const team_row& team = teams_[ready_teams_[tier].begin()->second];
    return team.ready_subqueues[tier].begin()->second;
  }
  for (std::size_t tier = 0; tier < kTiers; ++tier) {
    if (deferred_teams_[tier].empty()) continue;
    const team_row& team = teams_[deferred_teams_[tier].begin()->second];
    return team.ready_subqueues[tier].begin()->second;
  }
  return std::nullopt;
}

bool task_queue::FitsQuota(const team_row& team, const core::resources& need) noexcept {
  return !team.cpu_quota_millis ||
         team.usage.cpu_millis + need.cpu_millis <= *team.cpu_quota_millis;
}

}  // namespace coltsfoot::placement
