#pragma once

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "core/clock.h"
#include "store/kv_client.h"

namespace coltsfoot::ledger {

/// Contents of a key-value service in memory, shared by the `memory_client`s of a test.
class memory_store {
 public:
  struct item {
    std::string value;
    store::key_version version = 0;
    store::lease_id lease = 0;
  };
  struct lease_state {
    core::milliseconds ttl{};
    core::mono_time expires;
  };

  explicit memory_store(const core::clock& clock) : time(clock) {}

  void Erase(const std::string& key) {
    if (items.erase(key) != 0) change_of_key[key] = ++revision;
  }
  /// Ends a lease and deletes its keys, although its holder may still consider it valid.
  void EndLease(store::lease_id lease) {
    leases.erase(lease);
    std::vector<std::string> keys;
    for (const auto& [key, item] : items) {
      if (item.lease == lease) keys.push_back(key);
    }
    for (const std::string& key : keys) Erase(key);
  }
  void ExpireLeases() {
    std::vector<store::lease_id> expired;
    for (const auto& [lease, state] : leases) {
      if (state.expires <= time.Now()) expired.push_back(lease);
    }
    for (const store::lease_id lease : expired) EndLease(lease);
  }
  std::size_t CountKeys(const std::string& prefix) const {
    std::size_t count = 0;
    for (const auto& entry : items) count += entry.first.starts_with(prefix) ? 1 : 0;
    return count;
  }

  const core::clock& time;
  std::map<std::string, item> items;
  std::map<std::string, std::uint64_t> change_of_key;
  std::map<store::lease_id, lease_state> leases;
  std::uint64_t revision = 0;
  store::lease_id next_lease = 0;
};

/// Fault to inject into one call.
enum class call_fault : std::uint8_t {
  none,
  refused,              ///< no effect; the caller gets the status refused
  answer_lost,          ///< takes effect, status unknown
  request_lost,         ///< no effect, status unknown
  delayed,              ///< status unknown at once; takes effect at `ReleaseDelayed`
  delayed_with_answer,  ///< takes effect at `ReleaseDelayed`, which also answers
};

/// Client of a `memory_store` for one process, with fault injection. Answers are delivered by
/// `Deliver`.
class memory_client final : public store::kv_client {
 public:
  explicit memory_client(memory_store& store) : store_(store) {}

  /// Chooses the fault of a call; the key is empty for calls about leases.
  std::function<call_fault(bool is_write, const std::string& key)> fault_for;
  std::uint64_t calls = 0;

  void Deliver() {
    PollWatches();
    for (const auto& answer : std::exchange(answers_, {})) answer();
  }
  void ReleaseDelayed() {
    for (const auto& effect : std::exchange(delayed_, {})) effect();
  }

  void Get(std::string key, handler<store::get_result> done) override {
    Call<store::get_result>(false, key, std::move(done), [this, key] {
      const auto found = store_.items.find(key);
      if (found == store_.items.end()) return store::get_result{store::kv_status::not_found, {}};
      return store::get_result{store::kv_status::ok,
                               store::kv_entry{key, found->second.version, found->second.value}};
    });
  }
  void Range(std::string prefix, std::string after, std::size_t limit,
             handler<store::range_result> done) override {
    Call<store::range_result>(false, prefix, std::move(done), [this, prefix, after, limit] {
      store::range_result out{store::kv_status::ok, {}, store_.revision};
      for (const auto& [key, item] : store_.items) {
        const bool wanted = key.starts_with(prefix) && key > after && out.entries.size() < limit;
        if (wanted) out.entries.push_back({key, item.version, item.value});
      }
      return out;
    });
  }
  void Put(std::string key, std::string value, store::put_options options,
           handler<store::write_result> done) override {
    Call<store::write_result>(true, key, std::move(done), [this, key, value, options] {
      const auto found = store_.items.find(key);
      const store::key_version present = found == store_.items.end() ? 0 : found->second.version;
      if (options.if_version && *options.if_version != present) {
        return store::write_result{store::kv_status::conflict, present};
      }
      if (options.lease && !store_.leases.contains(*options.lease)) {
        return store::write_result{store::kv_status::unknown, 0};
      }
      store_.change_of_key[key] = ++store_.revision;
      store_.items[key] = {value, store_.revision, options.lease.value_or(0)};
      return store::write_result{store::kv_status::ok, store_.revision};
    });
  }
  void Delete(std::string key, std::optional<store::key_version> if_version,
              handler<store::write_result> done) override {
    Call<store::write_result>(true, key, std::move(done), [this, key, if_version] {
      const auto found = store_.items.find(key);
      if (found == store_.items.end()) return store::write_result{store::kv_status::not_found, 0};
      if (if_version && *if_version != found->second.version) {
        return store::write_result{store::kv_status::conflict, found->second.version};
      }
      store_.Erase(key);
      return store::write_result{store::kv_status::ok, store_.revision};
    });
  }
  void GrantLease(core::milliseconds ttl, handler<store::lease_result> done) override {
    Call<store::lease_result>(true, "", std::move(done), [this, ttl] {
      store_.leases[++store_.next_lease] = {ttl, store_.time.Now() + ttl};
      return store::lease_result{store::kv_status::ok, store_.next_lease};
    });
  }
  void RenewLease(store::lease_id lease, handler<store::lease_result> done) override {
    Call<store::lease_result>(true, "", std::move(done), [this, lease] {
      const auto found = store_.leases.find(lease);
      if (found == store_.leases.end()) {
        return store::lease_result{store::kv_status::not_found, 0};
      }
      found->second.expires = store_.time.Now() + found->second.ttl;
      return store::lease_result{store::kv_status::ok, lease};
    });
  }
  void RevokeLease(store::lease_id lease, handler<store::lease_result> done) override {
    Call<store::lease_result>(true, "", std::move(done), [this, lease] {
      store_.EndLease(lease);
      return store::lease_result{store::kv_status::ok, lease};
    });
  }
  void Watch(std::string prefix, std::uint64_t since, core::milliseconds timeout,
             handler<store::watch_result> done) override {
    calls += 1;
    if (fault_for && fault_for(false, prefix) != call_fault::none) {
      answers_.emplace_back([done] { done({store::kv_status::refused, 0, {}}); });
      return;
    }
    watches_.push_back({std::move(prefix), since, store_.time.Now() + timeout, std::move(done)});
  }

 private:
  struct waiting_watch {
    std::string prefix;
    std::uint64_t since = 0;
    core::mono_time expires;
    handler<store::watch_result> done;
  };

  template <class Result>
  void Call(bool is_write, const std::string& key, handler<Result> done,
            std::function<Result()> effect) {
    calls += 1;
    Result lost;
    switch (fault_for ? fault_for(is_write, key) : call_fault::none) {
      case call_fault::none:
        answers_.emplace_back([done, result = effect()] { done(result); });
        return;
      case call_fault::refused:
        lost.status = store::kv_status::refused;
        break;
      case call_fault::answer_lost:
        effect();
        break;
      case call_fault::request_lost:
        break;
      case call_fault::delayed:
        delayed_.emplace_back([effect] { effect(); });
        break;
      case call_fault::delayed_with_answer:
        delayed_.emplace_back([this, done, effect] {
          answers_.emplace_back([done, result = effect()] { done(result); });
        });
        return;
    }
    answers_.emplace_back([done, lost] { done(lost); });
  }

  void PollWatches() {
    std::vector<waiting_watch> rest;
    for (waiting_watch& watch : std::exchange(watches_, {})) {
      store::watch_result out{store::kv_status::ok, store_.revision, {}};
      for (const auto& [key, changed] : store_.change_of_key) {
        if (store_.revision == watch.since) break;
        if (changed > watch.since && key.starts_with(watch.prefix)) out.keys.push_back(key);
      }
      if (out.keys.empty() && store_.time.Now() < watch.expires) {
        rest.push_back(std::move(watch));
      } else {
        answers_.emplace_back([done = watch.done, out] { done(out); });
      }
    }
    watches_ = std::move(rest);
  }

  memory_store& store_;
  std::vector<std::function<void()>> answers_;
  std::vector<std::function<void()>> delayed_;
  std::vector<waiting_watch> watches_;
};

}  // namespace coltsfoot::ledger
