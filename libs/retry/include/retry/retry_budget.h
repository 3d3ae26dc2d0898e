#pragma once

#include <cstdint>

namespace coltsfoot::retry {

/// Token bucket that limits the retries and hedges of one service to a percentage of its successful
/// requests, so that retries cannot amplify an overload.
class retry_budget {
 public:
  /// @param percent tokens added per hundred successes (setting `retry.budget_percent`).
  explicit retry_budget(double percent);

  /// Changes the percentage for later successes. 0 also discards all tokens, so that retries stop
  /// immediately.
  void SetPercent(double percent) noexcept;
  /// Records that a first attempt succeeded.
  void OnSuccess() noexcept;
  /// Takes the token for one retry or hedge.
  /// @return false if no token is available (result code `retry_budget_exhausted`).
  bool TryWithdraw() noexcept;
  /// Returns the token of an attempt that was never sent.
  void Refund() noexcept;

  /// @return the available tokens.
  double tokens() const noexcept { return tokens_; }

 private:
  double percent_;
  double tokens_;
};

}  // namespace coltsfoot::retry
