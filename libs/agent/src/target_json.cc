#include "target_json.h"

#include <absl/strings/escaping.h>
#include <fmt/format.h>

#include <array>
#include <asio/ip/address.hpp>
#include <limits>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "core/json_nesting.h"

namespace coltsfoot::agent {
namespace {

using core::result_code;
using json = nlohmann::json;

constexpr std::string_view kBatch = "batch";
constexpr std::string_view kLatencyCritical = "latency_critical";
constexpr std::int64_t kMaxCpuMillis = 10'000'000;
constexpr std::int64_t kMaxMemoryMb = 1'000'000'000;
constexpr std::int64_t kMaxAccelerators = 10'000;
constexpr std::int64_t kMaxSlots = 100'000;
constexpr std::size_t kMaxServices = 32;
constexpr std::size_t kMaxNameBytes = 128;

std::string EncodeBase64(const std::string& bytes) { return absl::Base64Escape(bytes); }

std::string DecodeBase64(const json& object, const char* key) {
  const auto found = object.find(key);
  if (found == object.end() || found->is_null()) return "";
  std::string out;
  const std::string& text = found->get_ref<const std::string&>();
  if (!absl::Base64Unescape(absl::string_view(text.data(), text.size()), &out)) {
    throw std::runtime_error(fmt::format("'{}' is not valid base64", key));
  }
  return out;
}

json ToJson(const core::resources& value) {
  return {{"cpu_millis", value.cpu_millis},
          {"memory_mb", value.memory_mb},
          {"accelerators", value.accelerators}};
}

core::resources ToResources(const json& object) {
  return {object.value("cpu_millis", std::int64_t{0}), object.value("memory_mb", std::int64_t{0}),
          object.value("accelerators", std::int64_t{0})};
}

core::mono_time ToTime(const json& nanoseconds) {
  return core::mono_time{core::nanoseconds{nanoseconds.get<std::int64_t>()}};
}

std::int64_t FromTime(core::mono_time time) { return time.time_since_epoch().count(); }

/// @return an instance id as a string; targets send it as a string or a number.
std::string ToInstance(const json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

listed_task ToListedTask(const json& item) {
  listed_task out;
  out.spec.task = item.at("task").get<std::string>();
  out.spec.epoch = item.at("epoch").get<core::epoch_number>();
  out.spec.shard = item.at("shard").get<core::shard_index>();
  out.spec.fence = item.at("fence").get<core::fencing_token>();
  out.spec.team = item.value("team", "");
  out.spec.task_class = item.value("task_class", "");
  out.spec.kind = item.value("kind", "") == kLatencyCritical ? core::task_kind::latency_critical
                                                             : core::task_kind::batch;
  if (item.contains("resources")) out.spec.need = ToResources(item.at("resources"));
  out.spec.expected_ms = item.value("expected_ms", 0U);
  out.spec.checkpoint = DecodeBase64(item, "checkpoint");
  out.spec.lease_until = ToTime(item.at("lease_until_ns"));
  out.ended = item.value("state", "running") == "ended";
  if (!out.spec.need.IsValid()) throw std::runtime_error("'resources' has a negative amount");
  return out;
}

wire::usage_sample ToSample(const json& item) {
  wire::usage_sample out;
  out.task_class = item.value("task_class", "");
  out.task = item.value("task", "");
  out.used = ToResources(item);
  out.slowdown_permille = item.value("slowdown_permille", 1000U);
  return out;
}

std::optional<target_event_type> ToEventType(const std::string& name) {
  if (name == "finished") return target_event_type::finished;
  if (name == "failed") return target_event_type::failed;
  if (name == "lapsed") return target_event_type::lapsed;
  if (name == "usage") return target_event_type::usage;
  return std::nullopt;
}

std::optional<target_event> ToEvent(const json& item) {
  const auto type = ToEventType(item.at("type").get<std::string>());
  if (!type) return std::nullopt;
  target_event out;
  out.type = *type;
  out.id = item.value("id", std::uint64_t{0});
  if (out.type == target_event_type::usage) {
    out.age_ms = item.value("age_ms", 0U);
    for (const json& sample : item.value("samples", json::array())) {
      out.samples.push_back(ToSample(sample));
    }
    return out;
  }
  out.task = item.at("task").get<std::string>();
  out.epoch = item.at("epoch").get<core::epoch_number>();
  out.result = DecodeBase64(item, "result");
  out.checkpoint = DecodeBase64(item, "checkpoint");
  out.run_ms = item.value("run_ms", 0U);
  if (item.contains("observed")) out.observed = ToResources(item.at("observed"));
  return out;
}

/// @return the parsed text, or a discarded value if it is nested too deeply.
/// @throws json::parse_error if it is not valid JSON.
json ParseJson(std::string_view text) {
  if (core::IsNestedDeeperThan(text, core::kMaxJsonNesting)) return json(json::value_t::discarded);
  return json::parse(text);
}

/// Runs `parse` on the JSON object in `body` and reports exceptions as errors. Exceptions of
/// `parse` become `code`.
template <class Parse>
auto ParseObject(std::string_view body, result_code code, core::last_error& error, Parse parse)
    -> std::optional<decltype(parse(json{}))> {
  try {
    const json root = ParseJson(body);
    if (!root.is_object()) return error.Set(result_code::malformed_request, "expected an object");
    return parse(root);
  } catch (const json::parse_error& failure) {
    return error.Set(code == result_code::decode_error ? code : result_code::malformed_request,
                     failure.what());
  } catch (const std::exception& failure) {
    return error.Set(code, failure.what());
  }
}

class unknown_field : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

template <std::size_t Size>
void CheckFields(const json& object, const std::array<std::string_view, Size>& known) {
  for (const auto& [key, value] : object.items()) {
    if (std::find(known.begin(), known.end(), key) == known.end()) {
      throw unknown_field(fmt::format("field '{}' is not known", key));
    }
  }
}

std::string NameField(const json& object, const char* key) {
  auto name = object.at(key).get<std::string>();
  if (name.empty() || name.size() > kMaxNameBytes) {
    throw std::runtime_error(fmt::format("'{}' must have 1 to {} characters", key, kMaxNameBytes));
  }
  return name;
}

std::int64_t NumberField(const json& object, const char* key, std::int64_t min, std::int64_t max) {
  const json& value = object.at(key);
  const bool fits =
      value.is_number_integer() &&
      !(value.is_number_unsigned() && value.get<std::uint64_t>() > std::uint64_t{INT64_MAX});
  if (!fits || value.get<std::int64_t>() < min || value.get<std::int64_t>() > max) {
    throw std::runtime_error(fmt::format("'{}' must be from {} to {}", key, min, max));
  }
  return value.get<std::int64_t>();
}

std::string InstanceField(const json& object) {
  const json& value = object.at("instance");
  if (value.is_string()) return NameField(object, "instance");
  if (!value.is_number_unsigned()) throw std::runtime_error("'instance' must be a text or number");
  return ToInstance(value);
}

target_announcement ToAnnouncement(const json& root) {
  CheckFields<8>(root, {"target", "instance", "address", "port", "services", "resources", "slots",
                        "connections"});
  target_announcement out;
  out.target = NameField(root, "target");
  out.instance = InstanceField(root);
  out.address.ip = NameField(root, "address");
  asio::error_code failure;
  asio::ip::make_address(out.address.ip, failure);
  if (failure) throw std::runtime_error("'address' must be an IP address");
  out.address.port = static_cast<std::uint16_t>(
      NumberField(root, "port", 1, std::numeric_limits<std::uint16_t>::max()));
  for (const json& service : root.at("services")) {
    out.services.push_back(service.get<std::string>());
    if (out.services.back().empty() || out.services.back().size() > kMaxNameBytes ||
        out.services.size() > kMaxServices) {
      throw std::runtime_error("'services' has a name of invalid length or too many names");
    }
  }
  const json& amounts = root.at("resources");
  CheckFields<3>(amounts, {"cpu_millis", "memory_mb", "accelerators"});
  out.total = {NumberField(amounts, "cpu_millis", 0, kMaxCpuMillis),
               NumberField(amounts, "memory_mb", 0, kMaxMemoryMb),
               NumberField(amounts, "accelerators", 0, kMaxAccelerators)};
  out.slots = static_cast<std::uint32_t>(NumberField(root, "slots", 0, kMaxSlots));
  out.connections = static_cast<std::uint32_t>(NumberField(root, "connections", 0, kMaxSlots));
  return out;
}

}  // namespace

std::string StartBody(const task_spec& task) {
  const bool critical = task.kind == core::task_kind::latency_critical;
  return json{{"task", task.task},
              {"epoch", task.epoch},
              {"shard", task.shard},
              {"fence", task.fence},
              {"team", task.team},
              {"task_class", task.task_class},
              {"kind", critical ? kLatencyCritical : kBatch},
              {"resources", ToJson(task.need)},
              {"expected_ms", task.expected_ms},
              {"payload", EncodeBase64(task.payload)},
              {"checkpoint", EncodeBase64(task.checkpoint)},
              {"lease_until_ns", FromTime(task.lease_until)}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string LeasesBody(const std::vector<lease_deadline>& leases) {
  json items = json::array();
  for (const lease_deadline& lease : leases) {
    items.push_back({{"task", lease.task},
                     {"epoch", lease.epoch},
                     {"lease_until_ns", FromTime(lease.lease_until)}});
  }
  return json{{"leases", std::move(items)}}.dump();
}

std::optional<task_listing> ParseListing(std::string_view body, core::last_error& error) {
  return ParseObject(body, result_code::decode_error, error, [](const json& root) {
    task_listing out;
    out.instance = ToInstance(root.at("instance"));
    for (const json& item : root.at("tasks")) out.tasks.push_back(ToListedTask(item));
    return out;
  });
}

std::optional<event_batch> ParseEvents(std::string_view body, core::last_error& error) {
  return ParseObject(body, result_code::decode_error, error, [](const json& root) {
    event_batch out;
    out.instance = ToInstance(root.at("instance"));
    out.next = root.at("next").get<std::uint64_t>();
    for (const json& item : root.at("events")) {
      if (auto event = ToEvent(item)) out.events.push_back(std::move(*event));
    }
    return out;
  });
}

std::optional<std::string> ParseCheckpoint(std::string_view body, core::last_error& error) {
  return ParseObject(body, result_code::decode_error, error,
                     [](const json& root) { return DecodeBase64(root, "checkpoint"); });
}

std::string ParseReason(std::string_view body) {
  const json root = json::parse(body, nullptr, false);
  if (!root.is_object()) return "";
  const auto found = root.find("reason");
  return found != root.end() && found->is_string() ? found->get<std::string>() : "";
}

std::optional<target_announcement> ParseAnnouncement(std::string_view body,
                                                     core::last_error& error) {
  try {
    const json root = ParseJson(body);
    if (!root.is_object()) return error.Set(result_code::malformed_request, "expected an object");
    return ToAnnouncement(root);
  } catch (const json::parse_error& failure) {
    return error.Set(result_code::malformed_request, failure.what());
  } catch (const unknown_field& failure) {
    return error.Set(result_code::unknown_field, failure.what());
  } catch (const std::exception& failure) {
    return error.Set(result_code::invalid_argument, failure.what());
  }
}

std::optional<std::string> ParseGoodbye(std::string_view body, core::last_error& error) {
  if (body.empty()) return "";
  return ParseObject(body, result_code::invalid_argument, error, [](const json& root) {
    return root.contains("instance") ? InstanceField(root) : std::string();
  });
}

}  // namespace coltsfoot::agent
