#include "harness/fleet.h"

#include <fmt/format.h>

#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <system_error>
#include <utility>

#include "entry/options.h"
#include "history/checker.h"
#include "wire/codec.h"

namespace coltsfoot::harness {
namespace {

using nlohmann::json;

constexpr std::size_t kZones = 3;
constexpr std::uint32_t kShardCount = 8;  // the default of the entry
constexpr std::size_t kWorkersPerRack = 3;

std::filesystem::path MakeDirectory() {
  std::string name = (std::filesystem::temp_directory_path() / "coltsfoot-XXXXXX").string();
  if (mkdtemp(name.data()) == nullptr) {
    throw std::system_error(errno, std::generic_category(), "mkdtemp");
  }
  return name;
}

void Merge(settings_map& settings, const settings_map& more) {
  for (const auto& [key, value] : more) settings[key] = value;
}

std::string Text(core::milliseconds duration) { return std::to_string(duration.count()); }

std::string Zone(std::size_t index) { return "zone-" + std::to_string(index % kZones); }

std::string RegionName(bool far) { return far ? "armor-nord" : "luzon-central"; }

std::string PortOrAny(const std::string& known) { return known.empty() ? "127.0.0.1:0" : known; }

std::vector<std::string> ReadLines(const std::filesystem::path& file) {
  std::vector<std::string> lines;
  std::ifstream in(file);
  for (std::string line; std::getline(in, line);) lines.push_back(line);
  return lines;
}

}  // namespace

fleet::fleet(fleet_options options)
    : options_(std::move(options)),
      directory_(MakeDirectory()),
      history_(directory_ / "callers.history"),
      calls_(history_) {
  platform_ = std::make_unique<process>(
      process_spec{"fake-platform", "platform", {{"address", "127.0.0.1"}}, directory_});
  store_ = "http://" + platform_->Endpoint("http");
  entries_.resize(options_.entries);
  for (auto* ports : {&entry_http_, &entry_tcp_, &entry_udp_}) ports->resize(options_.entries);
  agents_.resize(options_.workers);
  targets_.resize(options_.workers);
  for (auto* ports : {&agent_http_, &agent_tcp_, &agent_udp_, &target_http_}) {
    ports->resize(options_.workers);
  }
  relayed_udp_.resize(options_.workers);
  for (std::size_t index = 0; index < options_.entries; ++index) StartEntry(index);
  for (std::size_t index = 0; index < options_.workers; ++index) {
    StartAgent(index);
    StartTarget(index);
  }
}

fleet::~fleet() {
  // The directory with logs and histories is kept if a check has failed, for the report.
  const bool keep = std::getenv("COLTSFOOT_KEEP_LOGS") != nullptr;
  targets_.clear();
  agents_.clear();
  entries_.clear();
  platform_.reset();
  std::error_code ignored;
  if (!keep) std::filesystem::remove_all(directory_, ignored);
}

std::vector<std::string> fleet::Entries() const {
  std::vector<std::string> out;
  for (const std::string& each : entry_http_) out.push_back("http://" + each);
  return out;
}

std::size_t fleet::WorkerIndex(const std::string& id) {
  return static_cast<std::size_t>(std::strtoul(id.c_str() + id.rfind('-') + 1, nullptr, 10));
}

void fleet::StartEntry(std::size_t index) {
  std::vector<std::string> peers;
  for (std::size_t other = 0; other < entry_tcp_.size(); ++other) {
    if (other != index && !entry_tcp_[other].empty()) peers.push_back(entry_tcp_[other]);
  }
  const fleet_timings& timings = options_.timings;
  settings_map settings{{"id", EntryId(index)},
                        {"region", RegionName(IsFar(index))},
                        {"zone", Zone(options_.regions > 1 ? index % 2 : index)},
                        {"http", PortOrAny(entry_http_[index])},
                        {"tcp", PortOrAny(entry_tcp_[index])},
                        {"udp", PortOrAny(entry_udp_[index])},
                        {"store", store_},
                        {"peers", YamlList(peers)},
                        {"commit_interval_ms", Text(timings.commit_interval)},
                        {"heartbeat_ms", Text(timings.heartbeat)},
                        {"lease_ttl_ms", Text(timings.lease_ttl)},
                        {"lease_margin_ms", Text(timings.lease_margin)},
                        {"orphan_grace_ms", Text(timings.orphan_grace)},
                        {"store_lease_ttl_ms", Text(timings.store_lease_ttl)}};
  Merge(settings, options_.entry);
  entries_[index].reset();
  entries_[index] = std::make_unique<process>(process_spec{"coltsfoot-entry",
                                                           EntryId(index),
                                                           std::move(settings),
                                                           directory_,
                                                           {},
                                                           options_.max_descriptors});
  entry_http_[index] = entries_[index]->Endpoint("http");
  entry_tcp_[index] = entries_[index]->Endpoint("tcp");
  entry_udp_[index] = entries_[index]->Endpoint("udp");
  if (options_.regions > 1) RelayEntry(index);
}

// Other entries learn an entry's address from the store only.
void fleet::RelayEntry(std::size_t index) {
  const wire::endpoint relay_endpoint =
      relay_.AddEntry(EntryId(index), ToEndpoint(entry_tcp_[index]));
  const entry::entry_address address{ToEndpoint(entry_udp_[index]), relay_endpoint,
                                     ToEndpoint(entry_http_[index])};
  calls_.Call("POST", store_ + "/admin/replace/entries/" + EntryId(index),
              wire::EncodeValue(address));
}

bool fleet::IsFar(std::size_t index) const { return options_.regions > 1 && index % 2 == 1; }

void fleet::CutRegions(bool cut) {
  std::set<std::string> far;
  json entries = json::array();
  for (std::size_t index = 1; cut && index < options_.workers; index += 2) {
    far.insert(WorkerId(index));
  }
  for (std::size_t index = 1; cut && index < entries_.size(); index += 2) {
    far.insert(EntryId(index));
    entries.push_back(EntryId(index));
  }
  PlatformFaults(json{{"cut", entries}}.dump());
  relay_.Separate(std::move(far));
}

void fleet::AddEntry() {
  entries_.emplace_back();
  for (auto* ports : {&entry_http_, &entry_tcp_, &entry_udp_}) ports->emplace_back();
  StartEntry(entries_.size() - 1);
}

std::vector<std::string> fleet::EntryUdp(std::size_t agent) {
  if (!options_.relayed && options_.regions == 1) return entry_udp_;
  std::vector<std::string>& relayed = relayed_udp_[agent];
  for (std::size_t entry = relayed.size(); entry < entry_udp_.size(); ++entry) {
    const wire::endpoint relay_endpoint =
        relay_.AddLink(WorkerId(agent), EntryId(entry), ToEndpoint(entry_udp_[entry]));
    relayed.push_back(fmt::format("{}:{}", relay_endpoint.ip, relay_endpoint.port));
  }
  return relayed;
}

void fleet::StartAgent(std::size_t index) {
  const fleet_timings& timings = options_.timings;
  settings_map settings{{"id", WorkerId(index)},
                        {"region", RegionName(IsFar(index))},
                        {"zone", Zone(options_.regions > 1 ? index % 2 : index)},
                        {"rack", "rack-" + std::to_string(index / kWorkersPerRack)},
                        {"http", PortOrAny(agent_http_[index])},
                        {"udp", PortOrAny(agent_udp_[index])},
                        {"tcp", PortOrAny(agent_tcp_[index])},
                        {"entries", YamlList(EntryUdp(index))},
                        {"heartbeat_ms", Text(timings.heartbeat)},
                        {"lease_ttl_ms", Text(timings.lease_ttl)},
                        {"announce_timeout_ms", Text(timings.announce_timeout)}};
  Merge(settings, options_.agent);
  agents_[index].reset();
  agents_[index] = std::make_unique<process>(process_spec{"coltsfoot-agent",
                                                          WorkerId(index),
                                                          std::move(settings),
                                                          directory_,
                                                          {},
                                                          options_.max_descriptors});
  agent_http_[index] = agents_[index]->Endpoint("http");
  agent_tcp_[index] = agents_[index]->Endpoint("tcp");
  agent_udp_[index] = agents_[index]->Endpoint("udp");
}

void fleet::StartTarget(std::size_t index) {
  const std::string id = "target-" + std::to_string(index);
  const std::string old_port =
      target_http_[index].empty() ? "0" : std::to_string(ToEndpoint(target_http_[index]).port);
  settings_map settings{{"id", WorkerId(index)},
                        {"address", "127.0.0.1"},
                        {"port", old_port},
                        {"agent", agent_http_[index]},
                        {"services", YamlList(options_.services)},
                        {"seed", std::to_string(index + 1)},
                        {"truth_file", (directory_ / (id + ".truth")).string()}};
  Merge(settings, options_.target);
  targets_[index].reset();
  targets_[index] =
      std::make_unique<process>(process_spec{"fake-target", id, std::move(settings), directory_});
  target_http_[index] = targets_[index]->Endpoint("http");
}

void fleet::KillTarget(std::size_t index) {
  targets_[index]->Kill();
  history_.Add("killed", fmt::format(R"("worker":"{}")", WorkerId(index)));
}

void fleet::KillWorker(std::size_t index) {
  agents_[index]->Kill();
  KillTarget(index);
}

void fleet::PlatformFaults(const std::string& faults) {
  calls_.Call("POST", store_ + "/admin/faults", faults);
}

void fleet::TargetFaults(std::size_t index, const std::string& faults) {
  calls_.Call("POST", "http://" + target_http_[index] + "/admin/faults", faults);
}

std::optional<std::size_t> fleet::OwnerOf(std::uint32_t shard) {
  const auto result = calls_.Call("GET", fmt::format("{}/kv/owner/{}", store_, shard));
  if (!result.answer || result.answer->status != 200) return std::nullopt;
  for (std::size_t index = 0; index < entries_.size(); ++index) {
    if (result.answer->body.find(EntryId(index)) != std::string::npos) return index;
  }
  return std::nullopt;
}

bool fleet::WaitReady(core::milliseconds bound) {
  const auto get = [this](const std::string& url) {
    const auto result = calls_.Call("GET", url);
    if (!result.answer || result.answer->status != 200) return json::object();
    json body = json::parse(result.answer->body, nullptr, false);
    return body.is_object() ? body : json::object();
  };
  return WaitUntil(bound, [&] {
    std::size_t owned = 0;
    for (const std::string& entry : Entries()) {
      const json ready = get(entry + "/readyz");
      if (!ready.value("ready", false)) return false;
      owned += ready.value("shards", json::array()).size();
      std::size_t serving = 0;
      for (const json& worker : get(entry + "/v1/workers").value("workers", json::array())) {
        if (!worker.value("services", json::array()).empty()) ++serving;
      }
      if (serving < options_.workers) return false;
    }
    return owned == kShardCount;
  });
}

std::vector<std::string> fleet::Truth(const std::vector<std::string>& texts) const {
  std::vector<std::string> out;
  for (std::size_t index = 0; index < targets_.size(); ++index) {
    for (std::string& line :
         ReadLines(directory_ / ("target-" + std::to_string(index) + ".truth"))) {
      bool all = true;
      for (const std::string& text : texts) all = all && line.find(text) != std::string::npos;
      if (all) out.push_back(std::move(line));
    }
  }
  return out;
}

std::vector<std::string> fleet::Violations(bool strict_resume) const {
  std::vector<std::string> lines = Truth({});
  for (std::string& line : ReadLines(directory_ / "callers.history")) {
    lines.push_back(std::move(line));
  }
  history::bounds limits;
  limits.strict_resume = strict_resume;
  limits.departure = options_.timings.DepartureBound();
  return history::Check(lines, limits);
}

}  // namespace coltsfoot::harness
