#include <doctest/doctest.h>

#include <cerrno>
#include <fstream>
#include <regex>
#include <string>
#include <system_error>

#include "core/ids.h"
#include "core/json_nesting.h"
#include "core/log_tally.h"
#include "core/open_files.h"
#include "core/resources.h"
#include "core/result_code.h"

namespace coltsfoot::core {

// Guards against a result code without documentation, and against a documented code that no longer
// exists.
TEST_CASE("docs/result-codes.md lists exactly the codes of the header") {
  std::ifstream page(COLTSFOOT_SOURCE_DIR "/docs/result-codes.md");
  REQUIRE(page.is_open());
  const std::regex row(R"(^\| (\d+) \| `(\w+)` \| (.*) \|$)");
  std::string line;
  std::size_t rows = 0;
  while (std::getline(page, line)) {
    std::smatch match;
    if (!std::regex_match(line, match, row)) continue;
    REQUIRE(rows < AllResultCodes().size());
    const result_code_info& info = AllResultCodes()[rows++];
    CHECK(std::stoi(match[1]) == static_cast<int>(info.code));
    CHECK(match[2].str() == info.name);
    CHECK(match[3].str() == info.description);
  }
  CHECK(rows == AllResultCodes().size());
}

// Guards against a refusal that is reported as an unknown outcome, or the reverse.
TEST_CASE("only classes 1xx and 2xx count as not run") {
  CHECK(IsNotRun(result_code::no_capacity));
  CHECK(IsNotRun(result_code::malformed_request));
  CHECK_FALSE(IsNotRun(result_code::ok));
  CHECK_FALSE(IsNotRun(result_code::connection_lost));
  CHECK_FALSE(IsNotRun(result_code::cancelled));
}

// Guards against a repeated submission that creates a second task.
TEST_CASE("the same idempotency key gives the same task id") {
  CHECK(TaskIdForKey("mills", "plan-7", 8) == TaskIdForKey("mills", "plan-7", 8));
  CHECK(TaskIdForKey("mills", "plan-7", 8) != TaskIdForKey("kilns", "plan-7", 8));
  const auto shard = ShardOfTask(TaskIdForKey("mills", "plan-7", 8));
  REQUIRE(shard.has_value());
  CHECK(*shard < 8);
  CHECK_FALSE(ShardOfTask("t0x-0000000000000000").has_value());
  CHECK_FALSE(ShardOfTask("").has_value());
}

// Guards against JSON that passes the limit because of what its strings contain.
TEST_CASE("the nesting of JSON counts open arrays and objects outside strings") {
  CHECK(IsNestedDeeperThan("[[]]", 1));
  CHECK_FALSE(IsNestedDeeperThan("[[]]", 2));
  CHECK_FALSE(IsNestedDeeperThan(R"([{},{},{"a":[]}])", 3));
  CHECK(IsNestedDeeperThan(R"([{},{},{"a":[]}])", 2));
  CHECK_FALSE(IsNestedDeeperThan(R"(["[[[\"[[[\\"])", 1));
  CHECK(IsNestedDeeperThan(R"(["\\",[]])", 1));
  CHECK_FALSE(IsNestedDeeperThan("]]]]", 0));
  CHECK_FALSE(IsNestedDeeperThan("\"\\", 0));
}

TEST_CASE("resources fit only if each component fits") {
  const resources worker{.cpu_millis = 16000, .memory_mb = 60000, .accelerators = 1};
  CHECK(resources{16000, 60000, 1}.FitsIn(worker));
  CHECK_FALSE(resources{1, 1, 2}.FitsIn(worker));
  CHECK((worker - resources{1, 2, 1}) == resources{15999, 59998, 0});
}

// Guards against a log line for each connection of a crowd, and against events that no line tells.
TEST_CASE("a tally tells of all events in one line a period") {
  log_tally<2> tally;
  const mono_time start{};
  using counts = log_tally<2>::counts;
  CHECK(tally.Add(0, start) == counts{1, 0});
  CHECK_FALSE(tally.Add(0, start));
  CHECK_FALSE(tally.Add(1, start + kLogTallyPeriod - milliseconds{1}));
  CHECK(tally.Add(1, start + kLogTallyPeriod) == counts{1, 2});
}

// Guards against a listener that stops accepting, or uses a whole processor, without descriptors.
TEST_CASE("exhausted descriptors are told from failures of one connection") {
  for (const int each : {EMFILE, ENFILE, ENOBUFS, ENOMEM}) {
    CHECK(IsOutOfDescriptors({each, std::system_category()}));
  }
  CHECK_FALSE(IsOutOfDescriptors({ECONNABORTED, std::system_category()}));
  CHECK_FALSE(IsOutOfDescriptors({}));
}

}  // namespace coltsfoot::core
