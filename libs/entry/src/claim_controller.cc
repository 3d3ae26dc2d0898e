#include "claim_controller.h"

#include <algorithm>
#include <utility>

#include "core/ids.h"

namespace coltsfoot::entry {
namespace {

using core::result_code;

constexpr std::size_t kMaxKeptAnswerBytes = 64U << 10U;
constexpr std::string_view kWhere = "claim";

std::uint64_t DigestOf(const service_request& request) {
  return core::StableHash(request.service + "\n" + request.body);
}

}  // namespace

claim_controller::claim_controller(ledger::shard_manager& ledger, request_router& router,
                                   const core::clock& time, metrics::registry& metrics)
    : ledger_(ledger), router_(router), time_(time), metrics_(metrics) {}

void claim_controller::Submit(core::shard_index shard, const std::string& key,
                              service_request request) {
  const std::uint64_t digest = DigestOf(request);
  if (const auto found = running_.find(key); found != running_.end()) {
    if (found->second.digest != digest) {
      request.done({result_code::idempotency_key_reused, "the key belongs to another request", ""});
      return;
    }
    metrics_.GetCounter("coltsfoot_claims_joined_total").Add();
    if (found->second.outcome) {
      request.done(*found->second.outcome);
      return;
    }
    found->second.waiters.push_back({request.deadline, std::move(request.done)});
    return;
  }
  if (AnswerFromTable(shard, key, digest, request.done)) return;
  if (!ledger_.MayAppend(shard) || !ledger_.store_reachable()) {
    metrics_.CountRefusal(kWhere, result_code::store_unavailable);
    request.done({result_code::store_unavailable, "the request cannot be recorded", ""});
    return;
  }
  running_claim& claim = running_[key];
  claim.shard = shard;
  claim.digest = digest;
  claim.waiters.push_back({request.deadline, std::move(request.done)});
  request.done = [this, key](request_outcome outcome) { OnOutcome(key, std::move(outcome)); };
  ledger::claim_made record{key, digest, request.team};
  ledger_.Append(shard, std::move(record),
                 [this, key, request = std::move(request)](ledger::append_outcome outcome) mutable {
                   OnClaimed(key, outcome, std::move(request));
                 });
}

bool claim_controller::AnswerFromTable(core::shard_index shard, const std::string& key,
                                       std::uint64_t digest, const outcome_handler& done) {
  const ledger::shard_table* table = ledger_.Table(shard);
  const ledger::claim_entry* claim = table != nullptr ? table->FindClaim(key) : nullptr;
  if (claim == nullptr) return false;
  if (claim->request_digest != digest) {
    done({result_code::idempotency_key_reused, "the key belongs to another request", ""});
  } else if (claim->state == ledger::claim_state::made) {
    // The owner that made the claim is gone; nobody knows whether the request ran.
    done({result_code::outcome_unknown, "the entry that ran the request was lost", ""});
  } else if (!claim->answer_kept) {
    done({result_code::answer_not_kept, "the request ran; its answer is no longer kept", ""});
  } else if (claim->code == result_code::ok) {
    done({result_code::ok, "", claim->answer});
  } else {
    done({claim->code, claim->answer, ""});
  }
  metrics_.GetCounter("coltsfoot_claims_answered_total").Add();
  return true;
}

void claim_controller::OnClaimed(const std::string& key, ledger::append_outcome outcome,
                                 service_request request) {
  const auto found = running_.find(key);
  if (found == running_.end()) return;
  const core::shard_index shard = found->second.shard;
  if (outcome == ledger::append_outcome::committed) {
    // The caller may have been told "not run" while the claim was being written.
    if (found->second.waiters.empty()) {
      Release(key, shard, {result_code::deadline_unmeetable, "the deadline passed", ""});
      return;
    }
    found->second.dispatched = true;
    router_.Submit(std::move(request));
    return;
  }
  const bool not_run = outcome != ledger::append_outcome::unknown;
  AnswerAll(key, {not_run ? result_code::store_unavailable : result_code::outcome_unknown,
                  "the claim could not be recorded", ""});
}

void claim_controller::OnOutcome(const std::string& key, request_outcome outcome) {
  const auto found = running_.find(key);
  if (found == running_.end()) return;
  const core::shard_index shard = found->second.shard;
  if (core::IsNotRun(outcome.code)) {
    Release(key, shard, outcome);
  } else {
    Settle(key, shard, outcome);
  }
}

void claim_controller::Settle(const std::string& key, core::shard_index shard,
                              const request_outcome& outcome) {
  ledger::claim_settled record{key, outcome.code, "", true};
  const std::string& text = outcome.code == result_code::ok ? outcome.body : outcome.reason;
  record.answer_kept = text.size() <= kMaxKeptAnswerBytes;
  if (record.answer_kept) record.answer = text;
  // The request has run, so its callers need not wait for the record. If the record is lost with
  // this entry, a retry is told that the outcome is unknown.
  running_claim& claim = running_.at(key);
  claim.outcome = outcome;
  AnswerWaiters(claim, outcome);
  ledger_.Append(shard, std::move(record),
                 [this, key](ledger::append_outcome) { running_.erase(key); });
}

// The answer waits until the key is free again, so that an immediate retry is not refused.
void claim_controller::Release(const std::string& key, core::shard_index shard,
                               const request_outcome& outcome) {
  ledger_.Append(shard, ledger::claim_released{key},
                 [this, key, outcome](ledger::append_outcome) { AnswerAll(key, outcome); });
}

void claim_controller::AnswerAll(const std::string& key, const request_outcome& outcome) {
  auto node = running_.extract(key);
  if (node.empty()) return;
  AnswerWaiters(node.mapped(), outcome);
}

void claim_controller::AnswerWaiters(running_claim& claim, const request_outcome& outcome) {
  for (waiter& waiting : std::exchange(claim.waiters, {})) waiting.done(outcome);
}

// Unsettled claims are never pruned, and nobody but their owner could settle them.
void claim_controller::OnShardOwned(core::shard_index shard) {
  for (const auto& [key, claim] : ledger_.Table(shard)->claims()) {
    if (claim.state != ledger::claim_state::made) continue;
    metrics_.GetCounter("coltsfoot_claims_orphaned_total").Add();
    ledger_.Append(shard,
                   ledger::claim_settled{key, result_code::outcome_unknown,
                                         "the entry that ran the request was lost", true},
                   [](ledger::append_outcome) {});
  }
}

bool claim_controller::IsBusy(core::shard_index shard) const {
  return std::any_of(running_.begin(), running_.end(),
                     [shard](const auto& item) { return item.second.shard == shard; });
}

void claim_controller::OnShardLost(core::shard_index shard) {
  std::vector<std::string> waiting_for_commit;
  for (auto& [key, claim] : running_) {
    if (claim.shard == shard && !claim.dispatched) waiting_for_commit.push_back(key);
  }
  for (const std::string& key : waiting_for_commit) {
    AnswerAll(key, {result_code::outcome_unknown, "the shard was lost", ""});
  }
}

void claim_controller::Tick() {
  const core::mono_time now = time_.Now();
  for (auto& item : running_) {
    running_claim& claim = item.second;
    std::erase_if(claim.waiters, [&claim, now](waiter& waiting) {
      if (waiting.deadline > now) return false;
      // Before the dispatch nothing has run, and `OnClaimed` dispatches nothing without waiters.
      waiting.done(
          {claim.dispatched ? result_code::deadline_exceeded : result_code::deadline_unmeetable,
           "the deadline passed", ""});
      return true;
    });
  }
}

}  // namespace coltsfoot::entry
