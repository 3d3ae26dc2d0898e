#include "dial_schedule.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace coltsfoot::entry {

void dial_schedule::Add(const std::string& link, core::mono_time now) {
  Remove(link);
  state& added = links_[link];
  added.at = now;
  waiting_[link] = &added;
}

void dial_schedule::Remove(const std::string& link) {
  const auto found = links_.find(link);
  if (found == links_.end()) return;
  EndDial(link, found->second);
  waiting_.erase(link);
  links_.erase(found);
}

void dial_schedule::OnUp(const std::string& link) {
  const auto found = links_.find(link);
  if (found == links_.end()) return;
  EndDial(link, found->second);
  waiting_.erase(link);
  found->second.confirmed = true;
  found->second.failures = 0;
}

void dial_schedule::OnDown(const std::string& link, core::mono_time now) {
  const auto found = links_.find(link);
  if (found == links_.end()) return;
  EndDial(link, found->second);
  ++found->second.failures;
  found->second.at = now + limits_.retry_delay;
  waiting_[link] = &found->second;
}

std::vector<std::string> dial_schedule::TakeDue(core::mono_time now) {
  using row = std::tuple<std::size_t, core::mono_time, std::string>;
  std::vector<std::string> out;
  std::vector<row> unconfirmed;
  for (const auto& [link, each] : waiting_) {
    if (now < each->at) continue;
    if (each->confirmed) {
      out.push_back(link);
    } else if (unconfirmed_ < limits_.unconfirmed) {
      unconfirmed.emplace_back(each->failures, each->at, link);
    }
  }
  const std::size_t room = limits_.unconfirmed - std::min(unconfirmed_, limits_.unconfirmed);
  const std::size_t taken = std::min(unconfirmed.size(), room);
  std::partial_sort(unconfirmed.begin(), unconfirmed.begin() + static_cast<std::ptrdiff_t>(taken),
                    unconfirmed.end());
  for (std::size_t index = 0; index < taken; ++index) {
    out.push_back(std::move(std::get<std::string>(unconfirmed[index])));
  }
  unconfirmed_ += taken;
  for (const std::string& link : out) {
    state* dialled = waiting_.at(link);
    dialled->at = now;
    waiting_.erase(link);
    dialling_[link] = dialled;
  }
  return out;
}

std::vector<std::string> dial_schedule::Overdue(core::mono_time now) const {
  std::vector<std::string> out;
  for (const auto& [link, each] : dialling_) {
    if (now - each->at > limits_.dial_time) out.push_back(link);
  }
  return out;
}

void dial_schedule::EndDial(const std::string& link, state& ended) {
  if (dialling_.erase(link) > 0 && !ended.confirmed) --unconfirmed_;
}

}  // namespace coltsfoot::entry
