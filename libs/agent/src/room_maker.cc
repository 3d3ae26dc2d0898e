#include "room_maker.h"

#include <algorithm>
#include <utility>

namespace coltsfoot::agent {
namespace {

// An entry requests room 1.5 s after the submission, and an urgent task must start within 6.4 s.
constexpr core::milliseconds kMaxRoomWait{4000};
// Equals the maximum number of tasks that an entry itself evicts for one task.
constexpr std::size_t kMaxVictims = 8;

double LostWork(const eviction_candidate& candidate, core::mono_time now) {
  return std::chrono::duration<double>(now - candidate.saved_at).count() *
         static_cast<double>(candidate.need.cpu_millis);
}

}  // namespace

// Selects candidates in ascending order of lost work until enough is released. Then deselects those
// that are not needed, the one with the most lost work first.
std::optional<std::vector<std::string>> ChooseVictims(std::vector<eviction_candidate> candidates,
                                                      const core::resources& missing,
                                                      core::mono_time now) {
  std::sort(candidates.begin(), candidates.end(),
            [now](const eviction_candidate& left, const eviction_candidate& right) {
              return LostWork(left, now) < LostWork(right, now);
            });
  core::resources freed;
  std::vector<eviction_candidate> chosen;
  for (eviction_candidate& candidate : candidates) {
    if (missing.FitsIn(freed)) break;
    freed += candidate.need;
    chosen.push_back(std::move(candidate));
  }
  if (!missing.FitsIn(freed)) return std::nullopt;
  for (std::size_t i = chosen.size(); i-- > 0;) {
    if (!missing.FitsIn(freed - chosen[i].need)) continue;
    freed -= chosen[i].need;
    chosen.erase(chosen.begin() + static_cast<std::ptrdiff_t>(i));
  }
  if (chosen.size() > kMaxVictims) return std::nullopt;
  std::vector<std::string> out;
  out.reserve(chosen.size());
  for (eviction_candidate& candidate : chosen) out.push_back(std::move(candidate.task));
  return out;
}

std::optional<std::vector<std::string>> room_maker::BeginWait(
    const std::string& task, const core::resources& need,
    std::vector<eviction_candidate> candidates, const core::resources& releasing) {
  if (!ledger_.HoldRoom(task, need)) {
    CountOutcome("impossible");
    return std::nullopt;
  }
  auto victims = ChooseVictims(std::move(candidates), ledger_.MissingRoom(releasing), time_.Now());
  if (!victims) {
    ledger_.ReleaseTask(task);
    CountOutcome("impossible");
    return std::nullopt;
  }
  wait_until_[task] = time_.Now() + kMaxRoomWait;
  return victims;
}

bool room_maker::CommitRoom(const std::string& task) {
  if (!ledger_.CommitHold(task)) return false;
  wait_until_.erase(task);
  CountOutcome("made");
  return true;
}

bool room_maker::HasTimedOut(const std::string& task) const {
  const auto found = wait_until_.find(task);
  return found == wait_until_.end() || found->second <= time_.Now();
}

void room_maker::EndWait(const std::string& task, std::string_view outcome) {
  if (wait_until_.erase(task) == 0) return;
  ledger_.ReleaseTask(task);
  CountOutcome(outcome);
}

void room_maker::CountOutcome(std::string_view outcome) {
  metrics_.GetCounter("coltsfoot_agent_room_total", {"outcome", outcome}).Add();
}

}  // namespace coltsfoot::agent
