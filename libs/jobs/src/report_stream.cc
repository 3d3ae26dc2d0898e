#include "jobs/report_stream.h"

#include <algorithm>
#include <map>
#include <string_view>
#include <utility>

namespace coltsfoot::jobs {
namespace {

/// 32-bit FNV-1a hash.
class digest_builder {
 public:
  void Add(std::string_view text) {
    for (const char each : text) AddByte(static_cast<unsigned char>(each));
    AddByte(0xFF);
  }
  void Add(std::uint32_t number) {
    for (int shift = 0; shift < 32; shift += 8) {
      AddByte(static_cast<unsigned char>((number >> shift) & 0xFFU));
    }
  }
  std::uint32_t value() const noexcept { return value_; }

 private:
  void AddByte(unsigned char byte) {
    value_ ^= byte;
    value_ *= 16'777'619U;
  }
  std::uint32_t value_ = 2'166'136'261U;
};

std::uint32_t DigestOf(const std::vector<running_task>& tasks) {
  digest_builder digest;
  for (const running_task& task : tasks) {
    digest.Add(task.task.job);
    digest.Add(task.task.occurrence);
    digest.Add(task.task.step);
    digest.Add(task.task.index);
    digest.Add(task.run);
    digest.Add(task.checkpoint);
    digest.Add(task.progress);
    digest.Add(task.reading);
    digest.Add(task.pace);
  }
  return digest.value();
}

worker_identity IdentityOf(const worker_report& report) {
  return {.agent = report.agent,
          .agent_incarnation = report.agent_incarnation,
          .incarnation = report.incarnation,
          .service = report.service,
          .zone = report.zone,
          .labels = report.labels,
          .capacity = report.capacity};
}

}  // namespace

worker_changes report_encoder::Encode(const worker_report& report) {
  worker_changes out{.sequence = ++sequence_,
                     .term = report.term,
                     .sent_ms = report.sent_ms,
                     .commands_seen = report.commands_seen,
                     .state = report.state,
                     .listed = report.listed,
                     .ends_omitted = report.ends_omitted};
  worker_identity identity = IdentityOf(report);
  if (sequence_ == 1 || identity != identity_) {
    // Ended runs are numbered per incarnation of the target.
    if (identity.incarnation != identity_.incarnation) last_ended_ = 0;
    identity_ = identity;
    out.identity = std::move(identity);
  }
  out.starting = report.starting;
  if (!report.listed) return out;
  EncodeRunning(report, out);
  out.refused = report.refused;
  out.crashed = report.crashed;
  out.first_unstored = report.ended.empty() ? last_ended_ + 1 : report.ended.front().number;
  for (const ended_run& end : report.ended) {
    if (end.number > last_ended_) out.ended.push_back(end);
  }
  if (!report.ended.empty()) last_ended_ = std::max(last_ended_, report.ended.back().number);
  return out;
}

void report_encoder::EncodeRunning(const worker_report& report, worker_changes& out) {
  std::map<run_id, const running_task*> present;
  for (const running_task& task : report.running) {
    present.emplace(run_id{task.task, task.run}, &task);
  }
  std::vector<running_task> next;
  next.reserve(report.running.size());
  for (std::uint32_t row = 0; row < running_.size(); ++row) {
    running_task& before = running_[row];
    const auto place = present.find({before.task, before.run});
    if (place == present.end()) {
      out.removed.push_back(row);
      continue;
    }
    const running_task& now = *place->second;
    if (before != now) {
      running_change& change = out.changed.emplace_back();
      change = {.row = row, .progress = now.progress, .reading = now.reading, .pace = now.pace};
      if (before.checkpoint != now.checkpoint) change.checkpoint = now.checkpoint;
    }
    next.push_back(now);
    present.erase(place);
  }
  for (const auto& [run, task] : present) {
    out.added.push_back(*task);
    next.push_back(*task);
  }
  running_ = std::move(next);
  out.digest = DigestOf(running_);
}

std::optional<worker_report> report_decoder::Decode(const worker_changes& changes,
                                                    core::last_error& error) {
  if (changes.sequence != sequence_ + 1 || (sequence_ == 0 && !changes.identity)) {
    return error.Set(core::result_code::decode_error,
                     "changes are out of sequence: a report is missing or repeated");
  }
  ++sequence_;
  if (changes.identity) {
    if (changes.identity->incarnation != identity_.incarnation) ended_.clear();
    identity_ = *changes.identity;
  }
  worker_report out{.agent = identity_.agent,
                    .agent_incarnation = identity_.agent_incarnation,
                    .term = changes.term,
                    .sent_ms = changes.sent_ms,
                    .commands_seen = changes.commands_seen,
                    .state = changes.state,
                    .incarnation = identity_.incarnation,
                    .service = identity_.service,
                    .zone = identity_.zone,
                    .labels = identity_.labels,
                    .capacity = identity_.capacity,
                    .listed = changes.listed,
                    .ends_omitted = changes.ends_omitted};
  out.starting = changes.starting;
  if (!changes.listed) return out;
  if (!DecodeRunning(changes)) {
    return error.Set(core::result_code::decode_error, "changes do not apply to the last report");
  }
  ended_.insert(ended_.end(), changes.ended.begin(), changes.ended.end());
  std::erase_if(ended_, [&](const auto& end) { return end.number < changes.first_unstored; });
  out.running = running_;
  out.ended = ended_;
  out.refused = changes.refused;
  out.crashed = changes.crashed;
  return out;
}

bool report_decoder::DecodeRunning(const worker_changes& changes) {
  for (const running_change& change : changes.changed) {
    if (change.row >= running_.size()) return false;
    running_task& task = running_[change.row];
    task.progress = change.progress;
    task.reading = change.reading;
    task.pace = change.pace;
    if (change.checkpoint) task.checkpoint = *change.checkpoint;
  }
  std::vector<running_task> next;
  next.reserve(running_.size() + changes.added.size());
  auto removed = changes.removed.begin();
  for (std::uint32_t row = 0; row < running_.size(); ++row) {
    if (removed != changes.removed.end() && *removed == row) {
      ++removed;
    } else {
      next.push_back(std::move(running_[row]));
    }
  }
  if (removed != changes.removed.end()) return false;
  next.insert(next.end(), changes.added.begin(), changes.added.end());
  running_ = std::move(next);
  return DigestOf(running_) == changes.digest;
}

}  // namespace coltsfoot::jobs
