#include "retry/retry_budget.h"

#include <algorithm>

namespace coltsfoot::retry {
namespace {

constexpr double kPercent = 100;
// A service that has just started may retry this often before its traffic pays for it.
constexpr double kInitialTokens = 10;
// Tokens saved up in quiet times are bounded, so that a failure meets at most this many retries at
// once.
constexpr double kMaxTokens = 100;
// Sums of fractions such as 0.1 fall short of a whole token by rounding.
constexpr double kRounding = 1e-9;

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
  if (tokens_ < 1 - kRounding) return false;
  tokens_ = std::max(0.0, tokens_ - 1);
  return true;
}

void retry_budget::Refund() noexcept {
  if (percent_ > 0) tokens_ = std::min(kMaxTokens, tokens_ + 1);
}

}  // namespace coltsfoot::retry
