#include "metrics/registry.h"

#include <fmt/format.h>

#include <boost/histogram.hpp>
#include <iterator>
#include <vector>

namespace coltsfoot::metrics {
namespace {

namespace bh = boost::histogram;

constexpr int kBuckets = 60;
constexpr double kMinMs = 0.1;
constexpr double kMaxMs = 100000.0;
constexpr double kNanosecondsPerMs = 1e6;

using log_axis = bh::axis::regular<double, bh::axis::transform::log>;
using histogram_type = decltype(bh::make_histogram(log_axis(kBuckets, kMinMs, kMaxMs)));

std::string RenderLabels(label first, label second) {
  std::string text;
  for (const label& entry : {first, second}) {
    if (entry.key.empty()) continue;
    if (!text.empty()) text += ',';
    text += fmt::format("{}=\"{}\"", entry.key, entry.value);
  }
  return text;
}

std::string WithBraces(const std::string& labels) {
  return labels.empty() ? "" : "{" + labels + "}";
}

}  // namespace

struct latency_histogram::state {
  mutable std::mutex mutex;
  histogram_type histogram = bh::make_histogram(log_axis(kBuckets, kMinMs, kMaxMs));
  std::uint64_t count = 0;
  double sum_ms = 0;

  /// @return the samples in bucket `index`; -1 is the underflow and kBuckets the overflow bucket.
  std::uint64_t at(int index) const { return static_cast<std::uint64_t>(histogram.at(index)); }
};

latency_histogram::latency_histogram() : state_(std::make_unique<state>()) {}
latency_histogram::~latency_histogram() = default;

void latency_histogram::Record(core::nanoseconds duration) {
  const double ms = static_cast<double>(duration.count()) / kNanosecondsPerMs;
  const std::lock_guard lock(state_->mutex);
  state_->histogram(ms);
  state_->count += 1;
  state_->sum_ms += ms;
}

double latency_histogram::QuantileMs(double quantile) const {
  const std::lock_guard lock(state_->mutex);
  if (state_->count == 0) return 0;
  const double target_rank = quantile * static_cast<double>(state_->count);
  double samples_so_far = 0;
  for (int index = -1; index <= kBuckets; ++index) {
    samples_so_far += static_cast<double>(state_->at(index));
    if (samples_so_far >= target_rank && samples_so_far > 0) {
      return index < 0           ? kMinMs
             : index >= kBuckets ? kMaxMs
                                 : state_->histogram.axis().bin(index).upper();
    }
  }
  return kMaxMs;
}

std::uint64_t latency_histogram::count() const {
  const std::lock_guard lock(state_->mutex);
  return state_->count;
}

void latency_histogram::Render(std::string_view name, std::string_view labels,
                               std::string& out) const {
  const std::lock_guard lock(state_->mutex);
  const std::string_view comma = labels.empty() ? "" : ",";
  auto inserter = std::back_inserter(out);
  std::uint64_t cumulative = state_->at(-1);
  for (int index = 0; index < kBuckets; ++index) {
    const std::uint64_t in_bucket = state_->at(index);
    if (in_bucket == 0) continue;
    cumulative += in_bucket;
    fmt::format_to(inserter, "{}_bucket{{{}{}le=\"{:.4g}\"}} {}\n", name, labels, comma,
                   state_->histogram.axis().bin(index).upper(), cumulative);
  }
  fmt::format_to(inserter, "{}_bucket{{{}{}le=\"+Inf\"}} {}\n", name, labels, comma, state_->count);
  const std::string braces = WithBraces(std::string(labels));
  fmt::format_to(inserter, "{}_sum{} {:.3f}\n", name, braces, state_->sum_ms);
  fmt::format_to(inserter, "{}_count{} {}\n", name, braces, state_->count);
}

template <class Metric>
Metric& registry::FindOrCreate(family<Metric>& metrics, std::string_view name, label first,
                               label second) {
  const std::lock_guard lock(mutex_);
  auto& slot = metrics[series_key{std::string(name), RenderLabels(first, second)}];
  if (!slot) slot = std::make_unique<Metric>();
  return *slot;
}

counter& registry::GetCounter(std::string_view name, label first, label second) {
  return FindOrCreate(counters_, name, first, second);
}

gauge& registry::GetGauge(std::string_view name, label first, label second) {
  return FindOrCreate(gauges_, name, first, second);
}

latency_histogram& registry::GetHistogram(std::string_view name, label first, label second) {
  return FindOrCreate(histograms_, name, first, second);
}

void registry::CountRefusal(std::string_view where, core::result_code reason) {
  GetCounter("coltsfoot_refusals_total", {"where", where}, {"reason", core::ToString(reason)})
      .Add();
}

void registry::CountRetry(std::string_view where, core::result_code reason) {
  GetCounter("coltsfoot_retries_total", {"where", where}, {"reason", core::ToString(reason)}).Add();
}

std::string registry::Render() const {
  const std::lock_guard lock(mutex_);
  std::string out;
  auto inserter = std::back_inserter(out);
  std::string_view last_name;
  const auto type_line = [&](const std::string& name, std::string_view type) {
    if (name != last_name) fmt::format_to(inserter, "# TYPE {} {}\n", name, type);
    last_name = name;
  };
  for (const auto& [key, metric] : counters_) {
    type_line(key.name, "counter");
    fmt::format_to(inserter, "{}{} {}\n", key.name, WithBraces(key.labels), metric->value());
  }
  for (const auto& [key, metric] : gauges_) {
    type_line(key.name, "gauge");
    fmt::format_to(inserter, "{}{} {}\n", key.name, WithBraces(key.labels), metric->value());
  }
  for (const auto& [key, metric] : histograms_) {
    type_line(key.name, "histogram");
    metric->Render(key.name, key.labels, out);
  }
  return out;
}

}  // namespace coltsfoot::metrics
