#pragma once

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "ledger/keys.h"
#include "ledger_context.h"

namespace coltsfoot::ledger {

/// Receives the events of a `shard_log`.
class shard_log_listener {
 public:
  virtual ~shard_log_listener() = default;
  /// A batch has been applied to the table; callbacks of its records run next.
  virtual void OnBatchCommitted() = 0;
  /// Another writer has appended. This log appends nothing more; the listener may destroy it.
  virtual void OnOtherWriter() = 0;
  /// @return time before which no other entry can have written and deleted a key of this shard's
  /// log that the owner has not seen.
  virtual core::mono_time TruncationHorizon() const = 0;
};

/// Next store call of an append whose outcome is not yet known.
enum class append_step : std::uint8_t { put, read_back };

/// Batch whose append is not yet confirmed.
struct append_attempt {
  log_index index = 0;
  log_batch batch;
  std::string bytes;
  std::vector<shard_manager::append_callback> callbacks;
  core::mono_time first_sent;
  append_step next = append_step::put;
  core::mono_time not_before;   ///< of the next call
  bool call_in_flight = false;  ///< a store call is unanswered
  bool maybe_written = false;   ///< a write may have taken effect although it is not confirmed
  bool proved_absent = false;   ///< another batch has the index
};

/// Appends to the log of one shard and applies confirmed batches to its table. One append is in
/// flight at a time.
class shard_log {
 public:
  using append_callback = shard_manager::append_callback;

  /// @param fence fencing token of all batches that this log writes.
  shard_log(const ledger_context& context, core::shard_index shard, shard_table table,
            core::fencing_token fence, shard_log_listener& listener);

  /// Queues a record of `bytes` encoded bytes.
  void Append(record change, std::size_t bytes, append_callback done);
  /// Makes the store calls that are due.
  /// @param may_write false while the entry's lease may have expired; reads that resolve an append
  /// are still made.
  void Tick(bool may_write);
  /// Stops appending and runs the callbacks of all records that are not confirmed.
  void Abandon();

  const shard_table& table() const noexcept { return table_; }
  /// @return the number of queued records and of those in the append in flight.
  std::size_t pending() const noexcept;
  /// @return true if another writer may have appended and the read that tells is not yet done.
  bool other_writer_suspected() const noexcept { return other_writer_suspected_; }
  /// @return true if the append in flight may already have taken effect.
  bool MaybeWritten() const noexcept;

 private:
  struct queued_record {
    record change;
    std::size_t bytes = 0;
    append_callback done;
  };

  void BuildAttempt();
  void Put();
  void OnPut(const store::write_result& result);
  void ReadBack();
  void OnReadBack(const store::range_result& result);
  void RetryLater(append_step next, store::kv_status status);
  void Commit();
  void StopForOtherWriter(bool proved_absent);

  const ledger_context& context_;
  core::shard_index shard_;
  shard_table table_;
  core::fencing_token fence_;
  shard_log_listener& listener_;
  std::deque<queued_record> queue_;
  std::optional<append_attempt> attempt_;
  core::mono_time next_append_{};
  bool other_writer_suspected_ = false;
  bool stopped_ = false;
  backoff backoff_;
  call_scope scope_;
};

}  // namespace coltsfoot::ledger
