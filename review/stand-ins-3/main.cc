#include <cstdlib>
#include <cstring>
#include <exception>
#include <filesystem>
#include <iostream>
#include <map>
#include <string>

#include "fleet.h"

// Plays one case: review-3 CASE DIRECTORY. Without the disruption if TROUBLE=0
// is set.
int main(int argc, char** argv) {
  using namespace coltsfoot::review;  // NOLINT(google-build-using-namespace)
  const std::map<std::string, case_function> cases = {
      {"full-listing", RunFullListing},
      {"large-progress", RunLargeProgress},
      {"forgotten-agents", RunForgottenAgents},
      {"long-image", RunLongImage},
      {"late-start", RunLateStart},
      {"many-tasks", RunManyTasks},
      {"whole-worker-task", RunWholeWorkerTask},
  };
  const auto chosen = argc == 3 ? cases.find(argv[1]) : cases.end();
  if (chosen == cases.end()) {
    std::cerr << "usage: review-3 CASE DIRECTORY\n";
    return kCouldNotRun;
  }
  const char* trouble = std::getenv("TROUBLE");
  const std::filesystem::path directory = argv[2];
  record log(directory / "record.txt");
  try {
    const int result =
        chosen->second(directory, trouble == nullptr || std::strcmp(trouble, "0") != 0, log);
    log.Write("exit " + std::to_string(result));
    return result;
  } catch (const std::exception& failure) {
    log.Write(std::string("could not run: ") + failure.what());
    return kCouldNotRun;
  }
}
