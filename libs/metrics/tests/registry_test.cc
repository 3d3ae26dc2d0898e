#include "metrics/registry.h"

#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <regex>
#include <string>

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

// Guards against a metric that is missing in the documentation for operators.
TEST_CASE("docs/operators.md names each metric of the programs") {
  const std::filesystem::path root = COLTSFOOT_SOURCE_DIR;
  const auto read = [](const std::filesystem::path& path) {
    std::ifstream file(path);
    return std::string(std::istreambuf_iterator<char>(file), {});
  };
  const std::string page = read(root / "docs/operators.md");
  const std::regex name(R"re("(coltsfoot_[a-z_]+)")re");
  std::size_t found = 0;
  for (const auto& file : std::filesystem::recursive_directory_iterator(root / "libs")) {
    if (file.path().extension() != ".cc" || file.path().parent_path().filename() == "tests") {
      continue;
    }
    const std::string code = read(file.path());
    for (std::sregex_iterator match(code.begin(), code.end(), name), end; match != end; ++match) {
      const std::string metric = (*match)[1];
      CAPTURE(metric);
      CHECK(page.find(metric) != std::string::npos);
      found += 1;
    }
  }
  CHECK(found > 40);
}

}  // namespace coltsfoot::metrics
