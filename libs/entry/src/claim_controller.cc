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
    request.done({result_code::store_unavailable,
                  "the request cannot be recorded because the log is not writable", ""});
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
    // The entry that recorded the claim no longer owns the shard, so it is unknown whether the
    // request ran.
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
    // All callers may have been answered "not run" at their deadlines while the claim was being
    // recorded.
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
  // Answer before the outcome is recorded, because the request has run in any case. If this entry
  // fails before the record is committed, a retry is answered `outcome_unknown`.
  running_claim& claim = running_.at(key);
  claim.outcome = outcome;
  AnswerWaiters(claim, outcome);
  ledger_.Append(shard, std::move(record),
                 [this, key](ledger::append_outcome) { running_.erase(key); });
}

// Answers only after the claim is released, so that an immediate retry with the key is not refused.
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

// Unsettled claims are never pruned, and only the owner of the shard can settle them.
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
    AnswerAll(key, {result_code::outcome_unknown,
                    "the entry lost the shard while the claim was being recorded", ""});
  }
}

void claim_controller::Tick() {
  const core::mono_time now = time_.Now();
  for (auto& item : running_) {
    running_claim& claim = item.second;
    std::erase_if(claim.waiters, [&claim, now](waiter& waiting) {
      if (waiting.deadline > now) return false;
      // Before the dispatch nothing has run, and `OnClaimed` does not dispatch without waiters.
      waiting.done(
          {claim.dispatched ? result_code::deadline_exceeded : result_code::deadline_unmeetable,
           "the deadline passed", ""});
      return true;
    });
  }
}

}  // namespace coltsfoot::entry
