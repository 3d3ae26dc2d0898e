#include "history/checker.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <utility>

#include "record.h"

namespace coltsfoot::history {
namespace {

using nlohmann::json;

std::int64_t Nanoseconds(core::milliseconds duration) {
  return core::nanoseconds(duration).count();
}

record_list Parse(const std::vector<std::string>& lines, const report& found) {
  record_list out;
  for (const std::string& line : lines) {
    json members = json::parse(line, nullptr, false);
    if (!members.is_object() || !members.contains("mono_ns") || !members.contains("event")) {
      found("unreadable line: " + line);
      continue;
    }
    record item;
    item.at_ns = members["mono_ns"].get<std::int64_t>();
    item.event = members["event"].get<std::string>();
    item.members = std::move(members);
    out.push_back(std::move(item));
  }
  // Stable: lines of one process at the same time keep their order.
  std::stable_sort(out.begin(), out.end(), [](const record& left, const record& right) {
    return left.at_ns < right.at_ns;
  });
  return out;
}

struct worker_use {
  core::resources capacity;
  std::int64_t slots = 0;
  std::map<std::string, core::resources> tasks;
  std::int64_t requests = 0;

  core::resources Sum() const {
    core::resources sum;
    for (const auto& [task, need] : tasks) sum += need;
    return sum;
  }
};

}  // namespace

core::resources record::Amount(const char* name) const {
  const auto found = members.find(name);
  if (found == members.end()) return {};
  return {found->value("cpu_millis", std::int64_t{0}), found->value("memory_mb", std::int64_t{0}),
          found->value("accelerators", std::int64_t{0})};
}

void CheckOccupancy(const record_list& records, const report& found) {
  std::map<std::string, worker_use> workers;
  for (const record& item : records) {
    const std::string worker = item.Text("worker");
    if (item.event == "target_start") {
      workers[worker] = {item.Amount("capacity"), item.Number("slots"), {}, 0};
    }
    if (!workers.contains(worker)) continue;
    worker_use& use = workers[worker];
    if (item.IsTaskStart()) {
      use.tasks[item.Text("task")] = item.Amount("resources");
      if (!use.Sum().FitsIn(use.capacity)) {
        found(fmt::format("{} is committed beyond its resources by task {}", worker,
                          item.Text("task")));
      }
    } else if (item.IsTaskEnd()) {
      use.tasks.erase(item.Text("task"));
    } else if (item.event == "request_start" && ++use.requests > use.slots) {
      found(fmt::format("{} serves {} requests on {} slots", worker, use.requests, use.slots));
    } else if (item.event == "request_finish") {
      use.requests -= 1;
    } else if (item.event == "request_refused") {
      found(fmt::format("{} was sent a request beyond its slots and connections", worker));
    }
  }
}

void CheckDepartures(const record_list& records, std::int64_t bound_ns, const report& found) {
  std::map<std::string, std::int64_t> departed;
  for (const record& item : records) {
    const std::string worker = item.Text("worker");
    if (item.event == "departed") departed.emplace(worker, item.at_ns);
    if (item.event == "target_start") departed.erase(worker);
    const auto left = departed.find(worker);
    if (item.IsStart() && left != departed.end() && item.at_ns > left->second + bound_ns) {
      found(fmt::format("{} got {} {} ms after its target departed", worker, item.event,
                        (item.at_ns - left->second) / 1'000'000));
    }
  }
}

void CheckConfig(const record_list& records, std::int64_t bound_ns, const report& found) {
  std::map<std::string, std::int64_t> in_force;
  std::map<std::int64_t, std::int64_t> accepted_at;
  for (const record& item : records) {
    const std::int64_t version = item.Number("version");
    if (item.event == "config_accepted") accepted_at.emplace(version, item.at_ns);
    if (item.event != "config_seen") continue;
    const std::string process = item.Text("process");
    if (version < in_force[process]) {
      found(fmt::format("configuration of {} went back from {} to {}", process, in_force[process],
                        version));
    }
    in_force[process] = std::max(in_force[process], version);
    for (const auto& [accepted, at_ns] : accepted_at) {
      if (accepted > version && item.at_ns > at_ns + bound_ns) {
        found(fmt::format("{} has configuration {} {} ms after {} was accepted", process, version,
                          (item.at_ns - at_ns) / 1'000'000, accepted));
      }
    }
  }
}

std::vector<std::string> Check(const std::vector<std::string>& lines, const bounds& limits) {
  std::vector<std::string> violations;
  const report found = [&violations](std::string text) { violations.push_back(std::move(text)); };
  const record_list records = Parse(lines, found);
  CheckOccupancy(records, found);
  CheckRuns(records, limits.strict_resume, found);
  CheckCalls(records, found);
  CheckDepartures(records, Nanoseconds(limits.departure), found);
  CheckConfig(records, Nanoseconds(limits.config), found);
  return violations;
}

}  // namespace coltsfoot::history
