#include "metrics/registry.h"

#include <doctest/doctest.h>

namespace coltsfoot::metrics {

// Guards against a metrics page that a Prometheus scraper rejects.
TEST_CASE("registry renders counters, gauges and histograms as Prometheus text") {
  registry metrics;
  metrics.CountRefusal("entry", core::result_code::queue_full);
  metrics.CountRefusal("entry", core::result_code::queue_full);
  metrics.GetGauge("coltsfoot_workers").Set(11);
  metrics.GetHistogram("coltsfoot_request_ms").Record(core::milliseconds{5});
  const std::string page = metrics.Render();
  CHECK(page.find("coltsfoot_refusals_total{where=\"entry\",reason=\"queue_full\"} 2") !=
        std::string::npos);
  CHECK(page.find("coltsfoot_workers 11") != std::string::npos);
  CHECK(page.find("coltsfoot_request_ms_count 1") != std::string::npos);
  CHECK(page.find("le=\"+Inf\"} 1") != std::string::npos);
}

// Guards against percentiles that are off by more than one bucket (26 %).
TEST_CASE("histogram quantiles are within one bucket") {
  latency_histogram histogram;
  for (int ms = 1; ms <= 1000; ++ms) histogram.Record(core::milliseconds{ms});
  CHECK(histogram.QuantileMs(0.5) >= 500);
  CHECK(histogram.QuantileMs(0.5) <= 630);
  CHECK(histogram.QuantileMs(0.99) >= 990);
  CHECK(histogram.QuantileMs(0.99) <= 1260);
}

}  // namespace coltsfoot::metrics
