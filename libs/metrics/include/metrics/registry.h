#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

#include "core/clock.h"
#include "core/result_code.h"

namespace coltsfoot::metrics {

/// Monotonically increasing value. Thread-safe.
class counter {
 public:
  void Add(std::uint64_t amount = 1) noexcept {
    value_.fetch_add(amount, std::memory_order_relaxed);
  }
  std::uint64_t value() const noexcept { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::uint64_t> value_{0};
};

/// Value that can go up and down. Thread-safe.
class gauge {
 public:
  void Set(std::int64_t value) noexcept { value_.store(value, std::memory_order_relaxed); }
  std::int64_t value() const noexcept { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::int64_t> value_{0};
};

/// Histogram of durations with logarithmic buckets between 0.1 ms and 100 s. Thread-safe.
class latency_histogram {
 public:
  latency_histogram();
  ~latency_histogram();
  latency_histogram(const latency_histogram&) = delete;
  latency_histogram& operator=(const latency_histogram&) = delete;

  /// Adds a sample.
  void Record(core::nanoseconds duration);
  /// @param quantile in [0, 1].
  /// @return the upper bound of the bucket that contains the quantile, in milliseconds; 0 if empty.
  double QuantileMs(double quantile) const;
  /// @return the number of samples.
  std::uint64_t count() const;
  /// Appends the Prometheus text form of this histogram.
  /// @param name metric name; @param labels rendered labels without braces, may be empty.
  void Render(std::string_view name, std::string_view labels, std::string& out) const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

/// One label of a metric.
struct label {
  std::string_view key;
  std::string_view value;
};

/// Owns all metrics of a process and renders them as Prometheus text. Returned references stay
/// valid for the lifetime of the registry, so that hot paths need to look up a metric only once.
class registry {
 public:
  /// @return the counter `name{key="value"}`, created at the first call.
  counter& GetCounter(std::string_view name, label first = {}, label second = {});
  /// @return the gauge `name{key="value"}`, created at the first call.
  gauge& GetGauge(std::string_view name, label first = {}, label second = {});
  /// @return the histogram `name{key="value"}`, created at the first call.
  latency_histogram& GetHistogram(std::string_view name, label first = {}, label second = {});

  /// Counts a refusal in `coltsfoot_refusals_total{where=,reason=}`.
  void CountRefusal(std::string_view where, core::result_code reason);
  /// Counts a retry in `coltsfoot_retries_total{where=,reason=}`.
  void CountRetry(std::string_view where, core::result_code reason);

  /// @return all metrics in the Prometheus text form, sorted by name.
  std::string Render() const;

 private:
  struct series_key {
    std::string name;
    std::string labels;
    auto operator<=>(const series_key&) const = default;
  };
  template <class Metric>
  using family = std::map<series_key, std::unique_ptr<Metric>>;
  template <class Metric>
  Metric& FindOrCreate(family<Metric>& metrics, std::string_view name, label first, label second);

  mutable std::mutex mutex_;
  family<counter> counters_;
  family<gauge> gauges_;
  family<latency_histogram> histograms_;
};

}  // namespace coltsfoot::metrics
