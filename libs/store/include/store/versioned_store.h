#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "store/kv_client.h"

namespace coltsfoot::store {

/// Change of one key: its new entry, or nothing if the key was deleted.
struct key_change {
  std::string key;
  std::optional<kv_entry> entry;
  bool operator==(const key_change&) const = default;
};

/// Size of an answer, in bytes, that occupies even a slow link only briefly.
inline constexpr std::size_t kSmallAnswerBytes = 64U << 10U;

/// Request to wait for changes of the keys below a prefix.
struct watch_request {
  std::string prefix;
  std::uint64_t since = 0;        ///< revision after which changes are reported
  core::milliseconds timeout{0};  ///< time to wait for a change; 0: none
  /// Size of the answer, in bytes, above which it is not transferred; 0: no limit. The answer holds
  /// all changes after `since`, with their values.
  std::size_t answer_limit = 0;
  bool operator==(const watch_request&) const = default;
};

/// Answer to a watch: the changes in the order of their versions.
struct change_batch {
  /// conflict: the changes after `since` are no longer known, or the answer is above its limit
  kv_status status = kv_status::unknown;
  std::uint64_t revision = 0;  ///< from which the next watch continues
  std::vector<key_change> changes;
  bool operator==(const change_batch&) const = default;
};

/// Present version that a transaction expects of a key; 0 means absent.
struct expectation {
  std::string key;
  key_version version = 0;
  bool operator==(const expectation&) const = default;
};

struct transaction_put {
  std::string key;
  std::string value;
  lease_id lease = 0;  ///< 0: none
  bool operator==(const transaction_put&) const = default;
};

/// Writes that take effect together, if all expectations hold.
struct transaction {
  std::vector<expectation> expect;
  std::vector<transaction_put> puts;
  std::vector<std::string> deletes;
  /// Size of the answer to a conflict, in bytes, above which it is not transferred; 0: no limit.
  std::size_t answer_limit = 0;
  bool operator==(const transaction&) const = default;
};

/// Outcome of a transaction. After a conflict `present` holds the expected keys that exist, or none
/// if the answer is above its limit.
struct commit_result {
  kv_status status = kv_status::unknown;  ///< not_found: a named lease has ended
  std::uint64_t revision = 0;
  std::vector<kv_entry> present;
  bool operator==(const commit_result&) const = default;
};

/// Maximum number of expectations, puts and deletes of one transaction.
inline constexpr std::size_t kMaxTransactionEntries = 32;

/// Key-value service with transactions over several keys and watches that carry values. Handlers
/// run once each on the control thread, never from within the call. Mocked in tests.
class versioned_store {
 public:
  template <class Result>
  using handler = std::function<void(Result)>;

  virtual ~versioned_store() = default;
  virtual void Get(std::string key, handler<get_result> done) = 0;
  /// Reads all entries below `prefix`, in pages. The revision is that of the first page.
  virtual void ReadAll(std::string prefix, handler<range_result> done) = 0;
  virtual void Commit(transaction writes, handler<commit_result> done) = 0;
  virtual void WatchChanges(watch_request request, handler<change_batch> done) = 0;
  virtual void GrantLease(core::milliseconds ttl, handler<lease_result> done) = 0;
  virtual void RenewLease(lease_id lease, handler<lease_result> done) = 0;
  virtual void RevokeLease(lease_id lease, handler<lease_result> done) = 0;
};

}  // namespace coltsfoot::store
