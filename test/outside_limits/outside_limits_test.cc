#include <doctest/doctest.h>

#include <functional>
#include <string>
#include <vector>

#include "core/ids.h"
#include "harness/crowd.h"
#include "harness/fleet.h"

namespace coltsfoot {
namespace {

using harness::crowd_kind;
using harness::fleet;

constexpr std::size_t kMegabyte = 1'000'000;
constexpr std::size_t kEntryMemory = 160 * kMegabyte;  // of the host
constexpr std::size_t kAgentMemory = 128 * kMegabyte;
constexpr std::chrono::seconds kTestLimit{280};
constexpr core::milliseconds kTaskLimit{60000};
// Of an agent's port; the server closes a connection with more than 16 times its body limit.
constexpr std::size_t kAgentFarBytes = 1'000'000;

constexpr auto kTask =
    R"({"team":"team-a","task_class":"plan","kind":"batch","urgent":false,"expected_ms":200,)"
    R"("resources":{"cpu_millis":1000,"memory_mb":100,"accelerators":0},)"
    R"("payload":"{\"key\":\"ordinary\",\"work_ms\":200,\"fail\":false}"})";

// Runs for longer than a test.
constexpr auto kLongTask =
    R"({"team":"team-a","task_class":"plan","kind":"batch","urgent":false,"expected_ms":600000,)"
    R"("resources":{"cpu_millis":1000,"memory_mb":100,"accelerators":0},)"
    R"("payload":"{\"key\":\"long\",\"work_ms\":600000,\"fail\":false}"})";

std::optional<http::response> SubmitTask(fleet& running) {
  const auto client = http::MakeCurlClient();
  auto answer = harness::CallOrdinary(*client,
                                      {.method = "POST",
                                       .url = running.Entry(0) + "/v1/tasks",
                                       .headers = {{"Idempotency-Key", "ordinary"}},
                                       .body = kTask},
                                      202);
  return answer && answer->status == 202 ? answer : std::nullopt;
}

std::string TaskOf(const http::response& answer) {
  const std::string key = R"("task":")";
  const std::size_t from = answer.body.find(key) + key.size();
  return answer.body.substr(from, answer.body.find('"', from) - from);
}

bool RunTask(fleet& running) {
  const auto answer = SubmitTask(running);
  if (!answer) return false;
  return running.calls().WaitForEnd(running.Entries(), TaskOf(*answer), kTaskLimit).state ==
         "ended";
}

/// @return a path that waits for the end of a long task, whose shard the entry `owner` owns: an
/// entry chooses a shard of its own for a task without a key.
std::string LongWait(fleet& running, std::size_t owner) {
  const auto client = http::MakeCurlClient();
  const auto answer = harness::CallOrdinary(
      *client, {.method = "POST", .url = running.Entry(owner) + "/v1/tasks", .body = kLongTask},
      202);
  REQUIRE(answer);
  const std::string task = TaskOf(*answer);
  REQUIRE(running.OwnerOf(core::ShardOfTask(task).value_or(0)) == owner);
  return "/v1/tasks/" + task + "?wait_ms=60000";
}

bool AgentIsHealthy(fleet& running) {
  const auto client = http::MakeCurlClient();
  const auto answer = harness::CallOrdinary(*client, {.url = running.Agent(0) + "/healthz"}, 200);
  return answer && answer->status == 200;
}

/// A port and how an ordinary caller uses it.
struct port_case {
  std::string name;
  bool of_entry;
  bool http;
  harness::port_traffic traffic;
  std::function<bool(fleet&)> call;
};

const std::vector<port_case> all_ports{
    {"entry_http",
     true,
     true,
     {.path = "/v1/tasks"},
     [](fleet& running) { return SubmitTask(running).has_value(); }},
    {"agent_http",
     false,
     true,
     {.path = "/v1/announce", .far_bytes = kAgentFarBytes},
     AgentIsHealthy},
    {"entry_tcp", true, false, {.path = ""}, RunTask},
    {"agent_tcp", false, false, {.path = ""}, RunTask},
};

struct crowd_case {
  std::string name;
  crowd_kind kind;
  bool http;
};

const std::vector<crowd_case> all_crowds{
    {"small_chunks", crowd_kind::small_chunks, true},
    {"large_chunks", crowd_kind::large_chunks, true},
    {"announced", crowd_kind::announced, true},
    {"unannounced", crowd_kind::unannounced, true},
    {"many_connections", crowd_kind::many_connections, true},
    {"many_parameters", crowd_kind::many_parameters, true},
    {"reopening", crowd_kind::reopening, true},
    {"few_descriptors", crowd_kind::few_descriptors, true},
    {"unfinished_frames", crowd_kind::unfinished_frames, false},
    {"silent_peers", crowd_kind::silent_peers, false},
};

/// @param owner entry that owns the task for which `long_polls` wait; entry 0 gets the crowd.
void CheckCrowd(const port_case& port, crowd_kind kind, std::size_t owner = 0) {
  const std::size_t max_descriptors = harness::DescriptorLimit(kind);
  harness::SetTimeLimit(kTestLimit);
  fleet running({.entries = owner + 1, .workers = 1, .max_descriptors = max_descriptors});
  REQUIRE(running.WaitReady());
  std::string http = port.of_entry ? running.Entry(0) : running.Agent(0);
  http.erase(0, std::string("http://").size());
  const std::string& tcp =
      port.of_entry ? running.EntryTcpEndpoint(0) : running.AgentTcpEndpoint(0);
  const std::vector<std::string> ports =
      port.http ? std::vector<std::string>{http, tcp} : std::vector<std::string>{tcp, http};
  harness::process& subject = port.of_entry ? running.entry_process(0) : running.agent_process(0);
  harness::port_traffic traffic = port.traffic;
  if (kind == crowd_kind::long_polls) traffic.path = LongWait(running, owner);
  const auto outcome =
      MeetCrowds(subject, ports, PlanCrowds(kind, traffic), [&] { return port.call(running); });
  MESSAGE(outcome.summary);
  CHECK(outcome.running);
  CHECK(outcome.answered);
  CHECK(outcome.stopped);
  CHECK(outcome.held.memory_bytes() <= (port.of_entry ? kEntryMemory : kAgentMemory));
  if (max_descriptors > 0) CHECK(outcome.held.descriptors < max_descriptors);
}

}  // namespace

// Guards against a process that ends, or stops answering ordinary callers, because of clients that
// stay outside the limits. CTest selects one subcase at a time.
TEST_CASE("crowds outside the limits") {
  bool selected = false;
  for (const port_case& port : all_ports) {
    for (const crowd_case& crowd : all_crowds) {
      if (crowd.http != port.http) continue;
      SUBCASE((port.name + "_" + crowd.name).c_str()) {
        selected = true;
        CheckCrowd(port, crowd.kind);
      }
    }
  }
  for (const std::size_t owner : {0, 1}) {
    SUBCASE(("entry_http_long_polls_of_entry_" + std::to_string(owner)).c_str()) {
      selected = true;
      CheckCrowd({"entry_http", true, true, {}, RunTask}, crowd_kind::long_polls, owner);
    }
  }
  REQUIRE(selected);
}

}  // namespace coltsfoot
