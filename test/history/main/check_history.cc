#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <fmt/format.h>

#include <fstream>

#include "history/checker.h"

ABSL_FLAG(int, departure_ms, 5000, "time until a departed target gets no new work");
ABSL_FLAG(int, config_ms, 14000, "time until an accepted configuration is in force everywhere");

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage("Checks the invariants on histories: check-history FILE...");
  const auto arguments = absl::ParseCommandLine(argc, argv);
  std::vector<std::string> lines;
  for (std::size_t index = 1; index < arguments.size(); ++index) {
    std::ifstream file(arguments[index]);
    for (std::string line; std::getline(file, line);) lines.push_back(line);
  }
  coltsfoot::history::bounds limits;
  limits.departure = coltsfoot::core::milliseconds{absl::GetFlag(FLAGS_departure_ms)};
  limits.config = coltsfoot::core::milliseconds{absl::GetFlag(FLAGS_config_ms)};
  const std::vector<std::string> violations = coltsfoot::history::Check(lines, limits);
  for (const std::string& violation : violations) fmt::print("{}\n", violation);
  fmt::print("{} lines, {} violations\n", lines.size(), violations.size());
  return violations.empty() ? 0 : 1;
}
