#include "shard_log.h"

#include "wire/codec.h"

namespace coltsfoot::ledger {
namespace {

// Maximum encoded size of a batch's token, wall time, fence, retention limits and lengths, without
// the entry's id.
constexpr std::size_t kBatchHeaderBytes = 128;
// The key at the index and, if there is one, the key that follows it.
constexpr std::size_t kReadBackEntries = 2;

}  // namespace

shard_log::shard_log(const ledger_context& context, core::shard_index shard, shard_table table,
                     core::fencing_token fence, shard_log_listener& listener)
    : context_(context),
      shard_(shard),
      table_(std::move(table)),
      fence_(fence),
      listener_(listener),
      scope_(context.health) {}

void shard_log::Append(record change, std::size_t bytes, append_callback done) {
  queue_.push_back({std::move(change), bytes, std::move(done)});
}

std::size_t shard_log::pending() const noexcept {
  return queue_.size() + (attempt_ ? attempt_->callbacks.size() : 0);
}

bool shard_log::MaybeWritten() const noexcept {
  return attempt_ && (attempt_->call_in_flight || attempt_->maybe_written);
}

void shard_log::Tick(bool may_write) {
  if (stopped_) return;
  const core::mono_time now = context_.time.Now();
  if (!attempt_ && !queue_.empty() && may_write && now >= next_append_) BuildAttempt();
  if (!attempt_ || attempt_->call_in_flight || now < attempt_->not_before) return;
  if (attempt_->next == append_step::read_back) {
    ReadBack();
  } else if (may_write) {
    Put();
  }
}

void shard_log::BuildAttempt() {
  append_attempt& next = attempt_.emplace();
  next.index = table_.next_index();
  next.first_sent = context_.time.Now();
  next.batch.token = {context_.writer, context_.random.Next()};
  next.batch.entry = context_.options.entry;
  next.batch.wall_ms = context_.time.WallNow().time_since_epoch().count();
  next.batch.fence = fence_;
  next.batch.retention = context_.options.retention;
  std::size_t bytes = kBatchHeaderBytes + context_.options.entry.size();
  while (!queue_.empty() && bytes + queue_.front().bytes <= kMaxBatchBytes) {
    bytes += queue_.front().bytes;
    next.batch.records.push_back(std::move(queue_.front().change));
    next.callbacks.push_back(std::move(queue_.front().done));
    queue_.pop_front();
  }
  next.bytes = wire::EncodeValue(next.batch);
  next_append_ = next.first_sent + context_.options.commit_interval;
}

void shard_log::Put() {
  attempt_->call_in_flight = true;
  context_.kv.Put(LogKey(shard_, attempt_->index), attempt_->bytes, {.if_version = 0},
                  scope_.Wrap([this](const store::write_result& result) { OnPut(result); }));
}

void shard_log::OnPut(const store::write_result& result) {
  attempt_->call_in_flight = false;
  switch (result.status) {
    case store::kv_status::ok:
      // Once the lease may have expired, another owner may have used this index, covered it by a
      // snapshot and deleted it, so that the late write found the index free.
      if (context_.time.Now() < listener_.TruncationHorizon()) return Commit();
      attempt_->maybe_written = true;
      return ReadBack();
    case store::kv_status::conflict:
      other_writer_suspected_ = true;
      return ReadBack();
    case store::kv_status::refused:
    case store::kv_status::unreachable:
      return RetryLater(append_step::put, result.status);
    default:
      attempt_->maybe_written = true;
      return ReadBack();
  }
}

void shard_log::ReadBack() {
  context_.metrics.read_backs.Add();
  attempt_->next = append_step::read_back;
  attempt_->call_in_flight = true;
  context_.kv.Range(LogPrefix(shard_), LogKey(shard_, attempt_->index - 1), kReadBackEntries,
                    scope_.Wrap([this](const store::range_result& result) { OnReadBack(result); }));
}

void shard_log::OnReadBack(const store::range_result& result) {
  attempt_->call_in_flight = false;
  if (result.status != store::kv_status::ok) {
    return RetryLater(append_step::read_back, result.status);
  }
  if (result.entries.empty()) {
    // The batch is absent. It may be written again, because an earlier write that is still in
    // transit carries the same token.
    other_writer_suspected_ = false;
    return RetryLater(append_step::put, store::kv_status::unknown);
  }
  const bool at_index = IndexOfLogKey(shard_, result.entries.front().key) == attempt_->index;
  // A later index exists, but not this one: another owner has written and deleted it.
  if (!at_index) return StopForOtherWriter(false);
  core::last_error error;
  const auto found = wire::DecodeValue<log_batch>(result.entries.front().value, error);
  if (!found || found->token != attempt_->batch.token) return StopForOtherWriter(true);
  if (result.entries.size() > 1) return StopForOtherWriter(false);
  other_writer_suspected_ = false;
  Commit();
}

void shard_log::RetryLater(append_step next, store::kv_status status) {
  CountRetry(context_, "ledger_append", status);
  attempt_->next = next;
  attempt_->not_before = context_.time.Now() + backoff_.Next(context_.random);
}

void shard_log::Commit() {
  backoff_.Reset();
  const append_attempt done = std::move(*attempt_);
  attempt_.reset();
  const std::vector<bool> effects = table_.ApplyBatch(done.batch);
  ledger_metrics& metrics = context_.metrics;
  metrics.appends.Add();
  metrics.append_bytes.Add(done.bytes.size());
  metrics.records.Add(effects.size());
  metrics.append_wait.Record(context_.time.Now() - done.first_sent);
  listener_.OnBatchCommitted();
  for (std::size_t index = 0; index < effects.size(); ++index) {
    if (!effects[index]) metrics.ignored_records.Add();
    const auto outcome = effects[index] ? append_outcome::committed : append_outcome::no_effect;
    if (done.callbacks[index]) done.callbacks[index](outcome);
  }
}

void shard_log::StopForOtherWriter(bool proved_absent) {
  stopped_ = true;
  attempt_->proved_absent = proved_absent;
  listener_.OnOtherWriter();
}

void shard_log::Abandon() {
  stopped_ = true;
  const bool unknown = MaybeWritten() && !attempt_->proved_absent;
  std::vector<append_callback> in_flight;
  if (attempt_) in_flight = std::move(attempt_->callbacks);
  attempt_.reset();
  const std::deque<queued_record> queued = std::move(queue_);
  for (const append_callback& done : in_flight) {
    if (done) done(unknown ? append_outcome::unknown : append_outcome::not_committed);
  }
  for (const queued_record& one : queued) {
    if (one.done) one.done(append_outcome::not_committed);
  }
}

}  // namespace coltsfoot::ledger
