#include "measure/scenario.h"

#include <fmt/format.h>

#include <array>
#include <atomic>
#include <nlohmann/json.hpp>
#include <utility>

#include "http/client.h"

namespace coltsfoot::measure {
namespace {

using core::milliseconds;
using nlohmann::json;

// Occupies about a third of the slots of 11 workers at 60 ms per request without interference.
constexpr double kRequestRate = 480;
// Percentage of non-idempotent requests in the outage of the key-value service. The other scenarios
// have none, because their log appends would add the same time to the latencies of all policies.
constexpr double kNonIdempotentPercent = 10;
// Occupies about three quarters of the fleet's CPU.
constexpr double kPlanTaskRate = 14;
constexpr double kWatchTaskRate = 2;
constexpr double kNoisyTaskRate = 12;
// 2,000 tasks in 5 s, of which the fleet can run about a tenth before they are cancelled.
constexpr double kSurgeRate = 400;
constexpr milliseconds kSurgeTime{5000};
constexpr const char* kSurgeTeam = "surge";
constexpr std::uint64_t kSurgeSeed = 3000;
// Number of tasks that are listed and then cancelled concurrently.
constexpr int kCancelBatch = 200;
constexpr milliseconds kCancelTimeout{4000};
constexpr std::array<std::size_t, 2> kRestartedAgents = {2, 7};
constexpr std::uint64_t kWatchSeed = 1000;
constexpr std::uint64_t kNoisySeed = 2000;
constexpr int kWaves = 3;
constexpr std::size_t kBrokenWorker = 3;
constexpr std::size_t kLostZone = 1;
constexpr std::size_t kZones = 3;

/// @return the given percentage of a duration.
milliseconds PercentOf(milliseconds duration, int percent) { return duration * percent / 100; }

/// @return a phase whose calls the caller fills in; it does not wait for tasks at its end.
load_phase TaskPhase(milliseconds at, milliseconds duration, std::uint64_t seed) {
  load_phase phase{.at = at};
  phase.load.duration = duration;
  phase.load.seed = seed;
  phase.load.task_wait = milliseconds{0};
  return phase;
}

/// Requests, batch tasks of class plan and latency-critical tasks of class watch.
std::vector<load_phase> CommonPhases(const std::string& service, milliseconds duration,
                                     std::uint64_t seed) {
  load_phase main = TaskPhase(milliseconds{0}, duration, seed);
  main.load.service = service;
  main.load.request_rate = kRequestRate;
  main.load.task_rate = kPlanTaskRate;
  main.load.task_class = "plan";
  main.load.task_cpu_millis = {1000, 2000, 4000};
  main.load.task_expected_ms = {1500, 3000, 4500};
  main.load.teams = {"mills", "kilns"};
  load_phase watch = TaskPhase(milliseconds{0}, duration, seed + kWatchSeed);
  watch.load.task_rate = kWatchTaskRate;
  watch.load.task_class = "watch";
  watch.load.task_kind = "latency_critical";
  watch.load.task_cpu_millis = {2000};
  watch.load.task_expected_ms = {4000};
  return {std::move(main), std::move(watch)};
}

void AddNoisyWaves(scenario& out, milliseconds duration, std::uint64_t seed) {
  for (int wave = 0; wave < kWaves; ++wave) {
    const milliseconds at = PercentOf(duration, 10 + 30 * wave);
    load_phase noisy = TaskPhase(at, PercentOf(duration, 15), seed + kNoisySeed + wave);
    noisy.load.task_rate = kNoisyTaskRate;
    noisy.load.task_class = "noisy";
    noisy.load.task_cpu_millis = {3000};
    noisy.load.task_expected_ms = {3000};
    out.phases.push_back(std::move(noisy));
  }
}

void AddSurge(scenario& out, milliseconds duration, std::uint64_t seed) {
  load_phase surge = TaskPhase(PercentOf(duration, 10), kSurgeTime, seed + kSurgeSeed);
  surge.load.task_rate = kSurgeRate;
  surge.load.task_class = "surge";
  surge.load.teams = {kSurgeTeam};
  surge.load.task_expected_ms = {2000};
  out.phases.push_back(std::move(surge));
}

/// @return ids of up to kCancelBatch surge tasks in the given state, listed by entry 0 for all
/// entries.
std::vector<std::string> SurgeTasks(harness::fleet& fleet, const std::string& state) {
  std::vector<std::string> ids;
  const auto listed =
      fleet.calls().Call("GET", fmt::format("{}/v1/tasks?team={}&state={}&limit={}", fleet.Entry(0),
                                            kSurgeTeam, state, kCancelBatch));
  if (!listed.answer) return ids;
  const json body = json::parse(listed.answer->body, nullptr, false);
  if (!body.is_object()) return ids;
  for (const json& task : body.at("tasks")) ids.push_back(task.at("task").get<std::string>());
  return ids;
}

/// Cancels the tasks of the surge through all entries, in concurrent batches.
void CancelSurge(harness::fleet& fleet) {
  const auto client = http::MakeCurlClient();
  const auto entries = fleet.Entries();
  const auto end = std::chrono::steady_clock::now() + kCancelTimeout;
  for (const char* state : {"queued", "running"}) {
    while (std::chrono::steady_clock::now() < end) {
      const std::vector<std::string> ids = SurgeTasks(fleet, state);
      if (ids.empty()) break;
      std::atomic<std::size_t> answered{0};
      for (std::size_t i = 0; i < ids.size(); ++i) {
        client->Send(
            {.method = "POST",
             .url = fmt::format("{}/v1/tasks/{}/cancel", entries[i % entries.size()], ids[i])},
            [&answered](const http::call_result& /*result*/) { ++answered; });
      }
      harness::WaitUntil(kCancelTimeout, [&] { return answered.load() == ids.size(); });
    }
  }
}

void RestartAgents(harness::fleet& fleet) {
  for (const std::size_t agent : kRestartedAgents) {
    fleet.agent_process(agent).Kill();
    fleet.StartAgent(agent);
  }
}

void LoseZone(harness::fleet& fleet, std::size_t workers) {
  for (std::size_t index = kLostZone; index < workers; index += kZones) fleet.KillWorker(index);
}

}  // namespace

std::vector<deployment> Deployments() {
  return {{.name = "malolos",
           .service = "strawline",
           .tail_latency = 1,
           .throughput = 4,
           .evictions = 3,
           .main_quantities = {"tasks/s", "evictions"}},
          {.name = "armor",
           .service = "planner",
           .tail_latency = 6,
           .throughput = 1,
           .evictions = 1,
           .main_quantities = {"p99", "p99.9"}}};
}

std::vector<scenario> Scenarios(const std::string& service, milliseconds duration,
                                std::uint64_t seed) {
  const auto phases = CommonPhases(service, duration, seed);
  std::vector<scenario> out;
  out.push_back({"steady", "requests, batch and latency-critical tasks at a steady rate", phases});

  scenario wave{"noisy_wave", "a batch class that slows the service arrives in three waves",
                phases};
  AddNoisyWaves(wave, duration, seed);
  out.push_back(std::move(wave));

  scenario cancel{"cancel_wave",
                  "2,000 tasks are submitted at once, then cancelled, and two agents restart",
                  phases};
  AddSurge(cancel, duration, seed);
  cancel.faults.push_back({PercentOf(duration, 45), CancelSurge});
  cancel.faults.push_back({PercentOf(duration, 70), RestartAgents});
  out.push_back(std::move(cancel));

  scenario sizes{"wrong_sizes", "run times and sizes are declared up to four times wrong", phases};
  sizes.phases.front().load.task_work_percent = {25, 100, 300};
  sizes.phases.front().load.task_use_percent = {25, 50, 200};
  out.push_back(std::move(sizes));

  scenario broken{"broken_worker", "one worker fails all tasks and requests after a fifth", phases};
  broken.faults.push_back({PercentOf(duration, 20), [](harness::fleet& fleet) {
                             fleet.TargetFaults(kBrokenWorker,
                                                R"({"fail_every_task":true,"fail_requests":true})");
                           }});
  out.push_back(std::move(broken));

  scenario zone{"zone_loss", "agents and targets of one zone are killed after a fifth", phases};
  zone.faults.push_back(
      {PercentOf(duration, 20), [](harness::fleet& fleet) { LoseZone(fleet, 11); }});
  out.push_back(std::move(zone));

  scenario outage{"kv_outage", "the key-value service is down from a quarter to two thirds",
                  phases};
  outage.phases.front().load.non_idempotent_percent = kNonIdempotentPercent;
  outage.faults.push_back({PercentOf(duration, 25), [](harness::fleet& fleet) {
                             fleet.PlatformFaults(R"({"down":true})");
                           }});
  outage.faults.push_back({PercentOf(duration, 66), [](harness::fleet& fleet) {
                             fleet.PlatformFaults(R"({"down":false})");
                           }});
  out.push_back(std::move(outage));
  return out;
}

}  // namespace coltsfoot::measure
