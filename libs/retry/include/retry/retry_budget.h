#pragma once

#include <cstdint>

namespace coltsfoot::retry {

/// Token bucket that limits the retries and hedges of one service to a share of its successful
/// traffic, so that retries cannot multiply an overload.
class retry_budget {
 public:
  /// @param percent tokens per hundred successes (`retry.budget_percent`).
  explicit retry_budget(double percent);

  /// Changes the share for later successes. 0 also drops all tokens, so that retries stop at once.
  void SetPercent(double percent) noexcept;
  /// Counts a success of a first attempt.
  void OnSuccess() noexcept;
  /// Takes the token of one retry or hedge.
  /// @return false if there is none (`retry_budget_exhausted`).
  bool TryWithdraw() noexcept;
  /// Gives a token back that was taken for an attempt that was never sent.
  void Refund() noexcept;

  /// @return the tokens that are left.
  double tokens() const noexcept { return tokens_; }

 private:
  double percent_;
  double tokens_;
};

}  // namespace coltsfoot::retry
