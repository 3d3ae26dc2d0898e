#include "task_json.h"

#include <algorithm>
#include <array>

#include "core/ids.h"
#include "json_text.h"

namespace coltsfoot::entry {
namespace {

using core::result_code;
using nlohmann::json;

constexpr std::int64_t kMaxCpuMillis = 1'024'000;
constexpr std::int64_t kMaxMemoryMb = 16'777'216;
constexpr std::int64_t kMaxAccelerators = 64;
constexpr std::int64_t kMaxExpectedMs = 30LL * 24 * 3600 * 1000;
constexpr std::size_t kMaxNameBytes = 128;
constexpr std::size_t kMaxPayloadBytes = 128U << 10U;

/// Reads the fields of one JSON object; keeps the first error.
class field_reader {
 public:
  field_reader(const json& object, std::string where, core::last_error& error)
      : object_(object), where_(std::move(where)), error_(error) {}

  std::string Name(const char* key, bool required) { return Text(key, required, kMaxNameBytes); }

  std::string Text(const char* key, bool required, std::size_t limit) {
    const auto found = object_.find(key);
    if (found == object_.end()) {
      if (required) Fail(result_code::invalid_argument, key, "is missing");
      return "";
    }
    if (!found->is_string() || found->get_ref<const std::string&>().size() > limit ||
        (required && found->get_ref<const std::string&>().empty())) {
      Fail(result_code::invalid_argument, key, "must be a string within the length limits");
      return "";
    }
    return found->get<std::string>();
  }

  std::int64_t Number(const char* key, std::int64_t min, std::int64_t max, std::int64_t fallback) {
    const auto found = object_.find(key);
    if (found == object_.end()) return fallback;
    const bool in_range = found->is_number_integer() &&
                          !(found->is_number_unsigned() &&
                            found->get<std::uint64_t>() > static_cast<std::uint64_t>(max)) &&
                          found->get<std::int64_t>() >= min && found->get<std::int64_t>() <= max;
    if (!in_range) {
      Fail(result_code::invalid_argument, key,
           "must be a whole number from " + std::to_string(min) + " to " + std::to_string(max));
      return fallback;
    }
    return found->get<std::int64_t>();
  }

  bool Flag(const char* key) {
    const auto found = object_.find(key);
    if (found == object_.end()) return false;
    if (!found->is_boolean()) Fail(result_code::invalid_argument, key, "must be true or false");
    return found->is_boolean() && found->get<bool>();
  }

  template <std::size_t Count>
  void RequireKnown(const std::array<std::string_view, Count>& known) {
    for (const auto& [key, value] : object_.items()) {
      if (std::find(known.begin(), known.end(), key) == known.end()) {
        Fail(result_code::unknown_field, key, "is not known");
      }
    }
  }

  void Fail(result_code code, const std::string& key, const std::string& message) {
    if (failed_) return;
    failed_ = true;
    error_.Set(code, "field '" + where_ + key + "' " + message);
  }
  bool failed() const { return failed_; }

 private:
  const json& object_;
  std::string where_;
  core::last_error& error_;
  bool failed_ = false;
};

std::optional<core::resources> ParseResources(const json& body, core::last_error& error) {
  constexpr std::array<std::string_view, 3> kKnown = {"cpu_millis", "memory_mb", "accelerators"};
  const auto found = body.find("resources");
  if (found == body.end() || !found->is_object()) {
    return error.Set(result_code::invalid_argument, "field 'resources' must be an object");
  }
  field_reader fields(*found, "resources.", error);
  core::resources need{fields.Number("cpu_millis", 1, kMaxCpuMillis, 0),
                       fields.Number("memory_mb", 1, kMaxMemoryMb, 0),
                       fields.Number("accelerators", 0, kMaxAccelerators, 0)};
  fields.RequireKnown(kKnown);
  if (fields.failed()) return std::nullopt;
  if (need.cpu_millis == 0 || need.memory_mb == 0) {
    return error.Set(result_code::invalid_argument,
                     "fields 'resources.cpu_millis' and 'resources.memory_mb' are required");
  }
  return need;
}

}  // namespace

std::optional<ledger::task_spec> ParseTaskSpec(std::string_view text, core::last_error& error) {
  constexpr std::array<std::string_view, 7> kKnown = {
      "team", "task_class", "kind", "urgent", "resources", "expected_ms", "payload"};
  const json body = json::parse(text, nullptr, false);
  if (!body.is_object()) {
    return error.Set(result_code::malformed_request, "the body must be a JSON object");
  }
  field_reader fields(body, "", error);
  ledger::task_spec spec;
  spec.team = fields.Name("team", true);
  spec.task_class = fields.Name("task_class", true);
  const std::string kind = fields.Name("kind", true);
  spec.urgent = fields.Flag("urgent");
  spec.expected_ms = static_cast<std::uint32_t>(fields.Number("expected_ms", 0, kMaxExpectedMs, 0));
  spec.payload = fields.Text("payload", false, kMaxPayloadBytes);
  if (kind == "latency_critical") {
    spec.kind = core::task_kind::latency_critical;
  } else if (kind != "batch") {
    fields.Fail(result_code::invalid_argument, "kind", "must be batch or latency_critical");
  }
  fields.RequireKnown(kKnown);
  if (fields.failed()) return std::nullopt;
  const auto need = ParseResources(body, error);
  if (!need) return std::nullopt;
  spec.need = *need;
  spec.request_digest = core::StableHash(body.dump());
  return spec;
}

std::string_view TaskStateName(const task_view& view) {
  switch (view.entry->state) {
    case ledger::task_state::queued:
      return "queued";
    case ledger::task_state::assigned:
      return view.running ? "running" : "assigned";
    case ledger::task_state::ended:
      break;
  }
  return "ended";
}

std::string RenderTask(const task_view& view) {
  const ledger::task_entry& entry = *view.entry;
  const bool ended = entry.state == ledger::task_state::ended;
  const json body = {
      {"task", entry.spec.task},
      {"team", entry.spec.team},
      {"task_class", entry.spec.task_class},
      {"kind", entry.spec.kind == core::task_kind::batch ? "batch" : "latency_critical"},
      {"urgent", entry.spec.urgent},
      {"state", TaskStateName(view)},
      {"code", ended ? static_cast<unsigned>(entry.code) : 0U},
      {"name", ended ? std::string(core::ToString(entry.code)) : ""},
      {"epoch", entry.epoch},
      {"worker", entry.worker},
      {"evictions", entry.evictions},
      {"attempts", entry.assignments},
      {"cancel_requested", entry.cancel_requested},
      {"result", entry.result},
      {"result_kept", entry.result_kept},
      {"submitted_ms", entry.spec.submitted_wall_ms},
      {"assigned_ms", entry.assigned_wall_ms},
      {"ended_ms", entry.ended_wall_ms},
      {"reason", ended ? "" : std::string(core::ToString(entry.code))},
  };
  return Dump(body);
}

}  // namespace coltsfoot::entry
