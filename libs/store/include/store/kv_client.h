#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/error.h"
#include "http/client.h"

/// Access to the platform's key-value service. All calls to the service are made through
/// `kv_client`.
namespace coltsfoot::store {

/// Version of a key; grows with each change in the whole service. 0 stands for "absent".
using key_version = std::uint64_t;
using lease_id = std::uint64_t;

/// Maximum size of a value in the service.
inline constexpr std::size_t kMaxValueBytes = 1U << 20U;

/// Outcome of a call.
enum class kv_status : std::uint8_t {
  ok,
  not_found,
  conflict,     ///< the version did not match; the write had no effect
  refused,      ///< over the rate limit, or the service is down; proved to have had no effect
  unreachable,  ///< no connection; proved to have had no effect
  unknown,      ///< no answer; a write may or may not have taken effect
};

/// A key with its value.
struct kv_entry {
  std::string key;
  key_version version = 0;
  std::string value;
  bool operator==(const kv_entry&) const = default;
};

/// Answer to a read of one key; `entry` is set if the status is ok.
struct get_result {
  kv_status status = kv_status::unknown;
  std::optional<kv_entry> entry;
  std::uint64_t revision = 0;  ///< of the store at the time of the answer; 0: not known
  bool operator==(const get_result&) const = default;
};

/// Answer to a read of a range, in ascending order of keys.
struct range_result {
  kv_status status = kv_status::unknown;
  std::vector<kv_entry> entries;
  std::uint64_t revision = 0;  ///< of the service at the time of the read, for `Watch`
  bool operator==(const range_result&) const = default;
};

/// Answer to a write. `version` is the new version (ok) or the present one (conflict).
struct write_result {
  kv_status status = kv_status::unknown;
  key_version version = 0;
  bool operator==(const write_result&) const = default;
};

/// Answer to a call about a lease.
struct lease_result {
  kv_status status = kv_status::unknown;  ///< not_found: the lease has expired
  lease_id lease = 0;
  bool operator==(const lease_result&) const = default;
};

/// Answer to a watch: the keys below the prefix that changed after the given revision.
struct watch_result {
  kv_status status = kv_status::unknown;
  std::uint64_t revision = 0;
  std::vector<std::string> keys;
  bool operator==(const watch_result&) const = default;
};

/// Condition of a write, and the lease that its key is attached to.
struct put_options {
  /// Expected present version; 0 means that the key must be absent.
  std::optional<key_version> if_version;
  /// Lease whose end deletes the key.
  std::optional<lease_id> lease;
  bool operator==(const put_options&) const = default;
};

/// Key-value service. Handlers run once each, on the thread that the implementation states.
/// Mocked in tests.
class kv_client {
 public:
  template <class Result>
  using handler = std::function<void(Result)>;

  virtual ~kv_client() = default;
  virtual void Get(std::string key, handler<get_result> done) = 0;
  /// Reads at most `limit` entries below `prefix` whose keys are greater than `after`.
  virtual void Range(std::string prefix, std::string after, std::size_t limit,
                     handler<range_result> done) = 0;
  virtual void Put(std::string key, std::string value, put_options options,
                   handler<write_result> done) = 0;
  virtual void Delete(std::string key, std::optional<key_version> if_version,
                      handler<write_result> done) = 0;
  virtual void GrantLease(core::milliseconds ttl, handler<lease_result> done) = 0;
  virtual void RenewLease(lease_id lease, handler<lease_result> done) = 0;
  virtual void RevokeLease(lease_id lease, handler<lease_result> done) = 0;
  /// Waits up to `timeout` for a change after revision `since`; the answer has no keys if there was
  /// none.
  virtual void Watch(std::string prefix, std::uint64_t since, core::milliseconds timeout,
                     handler<watch_result> done) = 0;
};

/// Posts a handler to the thread that owns the caller's state.
using executor = std::function<void(std::function<void()>)>;

/// Client that speaks the service's HTTP protocol.
/// @param base_url for example "http://127.0.0.1:7000".
/// @param caller id of this process, sent as `X-Caller` so that the service can count calls.
/// @param transport must outlive the client and all its calls.
/// @param run_handler runs each handler.
/// @param timeout of each call; `Watch` adds its own to it.
std::unique_ptr<kv_client> MakeHttpKvClient(std::string base_url, std::string caller,
                                            http::client& transport, executor run_handler,
                                            core::milliseconds timeout);

}  // namespace coltsfoot::store
