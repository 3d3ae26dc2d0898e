#pragma once

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <future>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "harness/fleet.h"

namespace coltsfoot::failure {

using core::milliseconds;
using core::result_code;
using harness::fleet;
using harness::fleet_options;
using harness::outcome;
using harness::request_options;
using harness::task_spec;
using harness::task_view;
using nlohmann::json;

inline constexpr milliseconds kSlack = harness::fleet_timings::kSlack;
inline constexpr const char* kService = "strawline";

/// @return options whose execution leases outlast a takeover, so that no task may be evicted by
/// the loss of an entry or a restart of an agent.
inline fleet_options WithLongLeases() {
  fleet_options options;
  options.timings.lease_ttl = milliseconds{8000};
  return options;
}

/// @return options with a constant service time.
inline fleet_options WithServiceTime(int service_ms) {
  fleet_options options;
  options.target["service_ms"] = std::to_string(service_ms);
  return options;
}

/// Submits `count` tasks through an entry and requires that each is accepted. Repeats a submission
/// that was refused as not run, as callers do, because shards may be changing their owner.
inline std::vector<std::string> SubmitTasks(fleet& running, std::size_t entry, int count,
                                            std::int64_t work_ms,
                                            const std::string& prefix = "task") {
  std::vector<std::string> ids;
  for (int index = 0; index < count; ++index) {
    task_spec spec;
    spec.key = fmt::format("{}-{}", prefix, index);
    spec.expected_ms = work_ms;
    spec.work_ms = work_ms;
    outcome observed;
    std::optional<std::string> id;
    harness::WaitUntil(kSlack, [&] {
      id = running.calls().Submit(running.Entry(entry), spec, &observed);
      return !core::IsNotRun(observed.code);
    });
    CAPTURE(observed.body);
    REQUIRE(id.has_value());
    ids.push_back(*id);
  }
  return ids;
}

/// Requires that each task runs within `bound`.
/// @return the states that the entries report.
inline std::vector<task_view> RequireRunning(fleet& running,
                                             const std::vector<std::string>& entries,
                                             const std::vector<std::string>& ids,
                                             milliseconds bound, std::uint64_t after_epoch = 0) {
  std::vector<task_view> views;
  for (const std::string& id : ids) {
    views.push_back(running.calls().WaitForRun(entries, id, after_epoch, bound));
    CAPTURE(id);
    const std::string& state = views.back().state;
    REQUIRE_MESSAGE((state == "running" || state == "ended"), "state '" << state << "'");
  }
  return views;
}

/// Checks that each task ends successfully within `bound`.
inline std::vector<task_view> CheckFinished(fleet& running, const std::vector<std::string>& entries,
                                            const std::vector<std::string>& ids,
                                            milliseconds bound) {
  std::vector<task_view> views;
  const auto end = std::chrono::steady_clock::now() + bound;
  for (const std::string& id : ids) {
    const auto left =
        std::chrono::duration_cast<milliseconds>(end - std::chrono::steady_clock::now());
    views.push_back(running.calls().WaitForEnd(entries, id, std::max(left, milliseconds{1})));
    CAPTURE(id);
    CHECK(views.back().state == "ended");
    CHECK(views.back().code == result_code::ok);
  }
  return views;
}

/// @return whether an entry owns all shards in the store.
inline bool OwnsAll(fleet& running, std::size_t entry) {
  constexpr std::uint32_t kShards = 8;
  for (std::uint32_t shard = 0; shard < kShards; ++shard) {
    if (running.OwnerOf(shard) != entry) return false;
  }
  return true;
}

/// Checks the invariants on the ground truth and on the outcomes that callers saw.
inline void CheckInvariants(fleet& running, bool strict_resume = false) {
  for (const std::string& violation : running.Violations(strict_resume)) FAIL_CHECK(violation);
}

/// Starts requests with the keys `prefix`-0 and following, through the given entry.
inline std::vector<std::future<outcome>> StartRequests(fleet& running, std::size_t entry, int count,
                                                       const std::string& prefix,
                                                       const request_options& options = {}) {
  std::vector<std::future<outcome>> answers;
  answers.reserve(static_cast<std::size_t>(count));
  for (int index = 0; index < count; ++index) {
    answers.push_back(running.calls().Request(running.Entry(entry), kService,
                                              fmt::format("{}-{}", prefix, index), options));
  }
  return answers;
}

/// Checks that each request is answered.
inline void CheckAnswered(std::vector<std::future<outcome>>& answers) {
  for (auto& answer : answers) {
    const outcome observed = answer.get();
    CAPTURE(observed.body);
    CHECK(observed.code == result_code::ok);
  }
}

/// Waits until the ground truth has at least `count` lines with all of `texts`.
inline bool WaitForTruth(const fleet& running, const std::vector<std::string>& texts,
                         std::size_t count, milliseconds bound) {
  return harness::WaitUntil(bound, [&] { return running.Truth(texts).size() >= count; });
}

/// From the design page: a change is in force everywhere within this time.
inline constexpr milliseconds kConfigBound{14000};

inline json Get(fleet& running, std::size_t entry, const std::string& path) {
  const auto result = running.calls().Call("GET", running.Entry(entry) + path);
  if (!result.answer || result.answer->status != 200) return json::object();
  return json::parse(result.answer->body, nullptr, false);
}

inline std::uint64_t Version(fleet& running, std::size_t entry) {
  return Get(running, entry, "/v1/config").value("version", std::uint64_t{0});
}

inline outcome Change(fleet& running, std::size_t entry, std::uint64_t base,
                      const std::string& author, int deadline_ms) {
  const json body = {{"if_version", base},
                     {"author", author},
                     {"set", {{"requests.default_deadline_ms", deadline_ms}}}};
  outcome observed = harness::OutcomeOf(
      running.calls().Call("PATCH", running.Entry(entry) + "/v1/config/defaults", body.dump()));
  if (observed.ok()) {
    running.history().Add("config_accepted", fmt::format(R"("version":{})", base + 1));
  }
  return observed;
}

/// Records the version in force at each process that an entry knows; a process that has just
/// started has none. The versions that two entries last received of it may differ, hence the entry
/// in the record.
/// @return true if all have at least `version`.
inline bool AllHave(fleet& running, std::uint64_t version, std::size_t processes,
                    std::size_t entry = 0) {
  const json status = Get(running, entry, "/v1/config/status");
  std::size_t current = 0;
  for (const json& process : status.value("processes", json::array())) {
    const auto in_force = process.value("version", std::uint64_t{0});
    if (in_force == 0) continue;
    running.history().Add("config_seen",
                          fmt::format(R"("process":"{} seen by {}","version":{})",
                                      process.value("process", ""), entry, in_force));
    if (in_force >= version) ++current;
  }
  return current >= processes;
}

}  // namespace coltsfoot::failure
