#include "room_maker.h"

#include <algorithm>
#include <utility>

namespace coltsfoot::agent {
namespace {

// An entry asks for room 1.5 s after the submission, and an urgent task starts within 6.4 s.
constexpr core::milliseconds kRoomWait{4000};
// As many as an entry evicts itself for one task.
constexpr std::size_t kMaxVictims = 8;

double LostWork(const room_candidate& row, core::mono_time now) {
  return std::chrono::duration<double>(now - row.saved).count() *
         static_cast<double>(row.need.cpu_millis);
}

}  // namespace

// Takes candidates from the cheapest on until enough is freed, then gives back the most expensive
// ones that turn out not to be needed.
std::optional<std::vector<std::string>> ChooseVictims(std::vector<room_candidate> candidates,
                                                      const core::resources& missing,
                                                      core::mono_time now) {
  std::sort(candidates.begin(), candidates.end(),
            [now](const room_candidate& left, const room_candidate& right) {
              return LostWork(left, now) < LostWork(right, now);
            });
  core::resources freed;
  std::vector<room_candidate> chosen;
  for (room_candidate& row : candidates) {
    if (missing.FitsIn(freed)) break;
    freed += row.need;
    chosen.push_back(std::move(row));
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
  for (room_candidate& row : chosen) out.push_back(std::move(row.task));
  return out;
}

std::optional<std::vector<std::string>> room_maker::Begin(const std::string& task,
                                                          const core::resources& need,
                                                          std::vector<room_candidate> candidates,
                                                          const core::resources& coming) {
  if (!ledger_.HoldRoom(task, need)) {
    Count("impossible");
    return std::nullopt;
  }
  auto victims = ChooseVictims(std::move(candidates), ledger_.MissingRoom(coming), time_.Now());
  if (!victims) {
    ledger_.ReleaseTask(task);
    Count("impossible");
    return std::nullopt;
  }
  give_up_at_[task] = time_.Now() + kRoomWait;
  return victims;
}

bool room_maker::Take(const std::string& task) {
  if (!ledger_.CommitHold(task)) return false;
  give_up_at_.erase(task);
  Count("made");
  return true;
}

bool room_maker::IsOverdue(const std::string& task) const {
  const auto found = give_up_at_.find(task);
  return found == give_up_at_.end() || found->second <= time_.Now();
}

void room_maker::Abandon(const std::string& task, std::string_view outcome) {
  if (give_up_at_.erase(task) == 0) return;
  ledger_.ReleaseTask(task);
  Count(outcome);
}

void room_maker::Count(std::string_view outcome) {
  metrics_.GetCounter("coltsfoot_agent_room_total", {"outcome", outcome}).Add();
}

}  // namespace coltsfoot::agent
