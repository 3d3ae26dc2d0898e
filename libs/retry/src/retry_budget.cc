#include "retry/retry_budget.h"

#include <algorithm>

namespace coltsfoot::retry {
namespace {

constexpr double kPercent = 100;
// Initial tokens, so that a newly started service can retry before its traffic has earned tokens.
constexpr double kInitialTokens = 10;
// Upper bound of the accumulated tokens, which limits the burst of retries when a failure begins.
constexpr double kMaxTokens = 100;
// Sums of fractions such as 0.1 can be slightly below a whole token because of rounding errors.
constexpr double kRoundingTolerance = 1e-9;

}  // namespace

retry_budget::retry_budget(double percent)
    : percent_(percent), tokens_(percent > 0 ? kInitialTokens : 0) {}

void retry_budget::SetPercent(double percent) noexcept {
  percent_ = percent;
  if (percent <= 0) tokens_ = 0;
}

void retry_budget::OnSuccess() noexcept {
  tokens_ = std::min(kMaxTokens, tokens_ + percent_ / kPercent);
}

bool retry_budget::TryWithdraw() noexcept {
  if (tokens_ < 1 - kRoundingTolerance) return false;
  tokens_ = std::max(0.0, tokens_ - 1);
  return true;
}

void retry_budget::Refund() noexcept {
  if (percent_ > 0) tokens_ = std::min(kMaxTokens, tokens_ + 1);
}

}  // namespace coltsfoot::retry
