#include "http/ingress_ledger.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "core/open_files.h"

namespace coltsfoot::http {
namespace {

constexpr std::size_t kMiB = std::size_t{1} << 20U;
constexpr host_limits kUnknownHost{.memory_bytes = 256 * kMiB, .descriptors = 1024};
constexpr std::size_t kMaxHeldBytes = 24 * kMiB;
constexpr std::size_t kMaxConnections = 2000;
constexpr std::size_t kMinConnections = 8;
constexpr std::size_t kMaxReserveConnections = 64;
/// Requests in progress may take this part of the connections, in percent. A connection with a
/// request in progress is never closed, so the others leave room for callers that get a refusal.
constexpr std::size_t kInProgressPercent = 75;
/// Complete requests may take this part of the held bytes, in percent.
constexpr std::size_t kCompletePercent = 75;
/// Connections may take this part of the held bytes with their fixed shares, in percent. What both
/// parts leave is for requests that are still arriving.
constexpr std::size_t kConnectionSharePercent = 20;
/// A caller that is refused at a limit comes back after this time, in which the requests in
/// progress of any other caller have ended.
constexpr std::chrono::seconds kRetryAfter{1};
/// A connection that opened, began a request or made progress within this time may be an ordinary
/// one, whose request is complete within milliseconds.
constexpr core::milliseconds kYoungTime{1000};
/// An address that takes more than one part in so many of a limit crowds. Below that, its
/// connections are compared with those of other addresses one by one, since a balancer may show
/// its own address for many ordinary callers.
constexpr std::size_t kCrowdingPart = 4;

/// @return `use` of an address if that crowds at `limit`, else 0.
std::size_t CrowdingUse(std::size_t use, std::size_t limit) {
  return use > limit / kCrowdingPart ? use : 0;
}

}  // namespace

std::size_t RequestsInProgressFor(std::size_t connections) {
  return std::max<std::size_t>(connections * kInProgressPercent / 100, 1);
}

namespace {

/// @return `share` with no more connections than its bytes allow.
ingress_share WithinBytes(ingress_share share) {
  const std::size_t allowed =
      share.held_bytes / 100 * kConnectionSharePercent / ingress_ledger::kConnectionBytes;
  if (share.connections <= allowed) return share;
  share.connections = std::max<std::size_t>(allowed, 1);
  share.requests_in_progress =
      std::min(share.requests_in_progress, RequestsInProgressFor(share.connections));
  return share;
}

}  // namespace

ingress_limits LimitsFor(host_limits host) {
  if (host.memory_bytes == 0) host.memory_bytes = kUnknownHost.memory_bytes;
  if (host.descriptors == 0) host.descriptors = kUnknownHost.descriptors;
  const std::size_t held = std::min(host.memory_bytes / 6, kMaxHeldBytes);
  const std::size_t descriptors = core::DescriptorsForConnections(host.descriptors);
  const std::size_t connections = std::clamp(descriptors / 2, kMinConnections, kMaxConnections);
  ingress_limits out;
  out.callers = {.connections = connections,
                 .held_bytes = held - held / 8,
                 .requests_in_progress = RequestsInProgressFor(connections)};
  const std::size_t reserved =
      std::clamp(descriptors / 16, kMinConnections / 2, kMaxReserveConnections);
  out.reserve = {.connections = reserved,
                 .held_bytes = held / 8,
                 .requests_in_progress = RequestsInProgressFor(reserved)};
  return out;
}

const char* ToString(limit_reason reason) noexcept {
  switch (reason) {
    case limit_reason::connections:
      return "connections";
    case limit_reason::address_connections:
      return "address_connections";
    case limit_reason::held_bytes:
      return "held_bytes";
    case limit_reason::requests_in_progress:
      return "requests_in_progress";
    case limit_reason::request_time:
      return "request_time";
    case limit_reason::answer_time:
      return "answer_time";
    case limit_reason::idle_time:
      return "idle_time";
    case limit_reason::handle_time:
      return "handle_time";
    case limit_reason::linger_time:
      return "linger_time";
    case limit_reason::descriptors:
      return "descriptors";
    case limit_reason::body_too_large:
      return "body_too_large";
    case limit_reason::malformed:
      return "malformed";
  }
  return "unknown";
}

ingress_ledger::ingress_ledger(const ingress_limits& limits) : limits_(limits) {
  limits_.callers = WithinBytes(limits_.callers);
  limits_.reserve = WithinBytes(limits_.reserve);
}

const ingress_share& ingress_ledger::ShareOf(port_class port) const noexcept {
  return port == port_class::callers ? limits_.callers : limits_.reserve;
}

ingress_ledger::usage& ingress_ledger::UsageOf(port_class port) noexcept {
  return port == port_class::callers ? callers_ : reserve_;
}

std::size_t ingress_ledger::held_bytes() const noexcept { return callers_.bytes + reserve_.bytes; }

std::size_t ingress_ledger::requests_in_progress() const noexcept {
  return callers_.in_progress + reserve_.in_progress;
}

void ingress_ledger::Change(connection& entry, phase state, std::size_t bytes) {
  usage& use = UsageOf(entry.port);
  address_use& address = entry.address->second;
  if (IsPressing(entry.state)) address.pressing_bytes -= entry.bytes;
  if (entry.state == phase::in_progress) {
    --use.in_progress;
    --address.in_progress;
    use.in_progress_bytes -= entry.bytes;
  }
  use.bytes = use.bytes - entry.bytes + bytes;
  entry.state = state;
  entry.bytes = bytes;
  if (IsPressing(state)) address.pressing_bytes += bytes;
  if (state == phase::in_progress) {
    ++use.in_progress;
    ++address.in_progress;
    use.in_progress_bytes += bytes;
  }
}

void ingress_ledger::Forget(connection_table::iterator entry) {
  connection& gone = entry->second;
  Change(gone, phase::idle, 0);
  usage& use = UsageOf(gone.port);
  --use.connections;
  use.bytes -= kConnectionBytes;
  if (--gone.address->second.connections == 0) addresses_.erase(gone.address);
  table_.erase(entry);
}

void ingress_ledger::Name(connection_table::iterator entry, limit_reason reason,
                          std::vector<closure>& closures) {
  closures.push_back({entry->first, reason});
  Forget(entry);
}

bool ingress_ledger::CloseForConnections(port_class port, const address_table::const_iterator* only,
                                         limit_reason reason, core::mono_time now,
                                         std::vector<closure>& closures) {
  // Ordered by: already refused; address that crowds; not young; address with most connections;
  // unfinished before idle; oldest.
  const std::size_t limit = ShareOf(port).connections;
  const auto rank = [now, limit](const connection& entry) {
    const bool young = now - entry.since < kYoungTime;
    const address_use& address = entry.address->second;
    const std::size_t closable = address.connections - address.in_progress;
    return std::tuple(entry.state != phase::lingering,
                      -static_cast<std::int64_t>(CrowdingUse(closable, limit)), young,
                      young ? 0 : -static_cast<std::int64_t>(closable),
                      !young && entry.state == phase::idle, entry.since);
  };
  auto chosen = table_.end();
  for (auto entry = table_.begin(); entry != table_.end(); ++entry) {
    const connection& candidate = entry->second;
    if (candidate.port != port || candidate.state == phase::in_progress) continue;
    if (only != nullptr && candidate.address != *only) continue;
    if (chosen == table_.end() || rank(candidate) < rank(chosen->second)) chosen = entry;
  }
  if (chosen == table_.end()) return false;
  Name(chosen, reason, closures);
  return true;
}

void ingress_ledger::CloseForBytes(port_class port, std::vector<closure>& closures) {
  const std::size_t limit = ShareOf(port).held_bytes;
  const auto rank = [limit](const connection& entry) {
    return std::tuple(CrowdingUse(entry.address->second.pressing_bytes, limit), entry.bytes,
                      -entry.since.time_since_epoch());
  };
  while (UsageOf(port).bytes > ShareOf(port).held_bytes) {
    auto chosen = table_.end();
    for (auto entry = table_.begin(); entry != table_.end(); ++entry) {
      const connection& candidate = entry->second;
      if (candidate.port != port || !IsPressing(candidate.state) || candidate.bytes == 0) continue;
      if (chosen == table_.end() || rank(candidate) > rank(chosen->second)) chosen = entry;
    }
    if (chosen == table_.end()) return;
    Name(chosen, limit_reason::held_bytes, closures);
  }
}

void ingress_ledger::Open(connection_id id, port_class port, const std::string& address,
                          core::mono_time now, std::vector<closure>& closures) {
  const auto place = addresses_.try_emplace({port, address}).first;
  usage& use = UsageOf(port);
  ++place->second.connections;
  ++use.connections;
  use.bytes += kConnectionBytes;
  std::optional<limit_reason> refused;
  const std::size_t by_address = limits_.connections_per_address;
  if (port == port_class::callers && by_address != 0 && place->second.connections > by_address) {
    const address_table::const_iterator only = place;
    if (!CloseForConnections(port, &only, limit_reason::address_connections, now, closures)) {
      refused = limit_reason::address_connections;
    }
  }
  if (!refused && use.connections > ShareOf(port).connections) {
    if (!CloseForConnections(port, nullptr, limit_reason::connections, now, closures)) {
      refused = limit_reason::connections;
    }
  }
  const auto entry = table_.try_emplace(id).first;
  entry->second = {.port = port, .state = phase::idle, .bytes = 0, .since = now, .address = place};
  if (refused) {
    Name(entry, *refused, closures);
    return;
  }
  CloseForBytes(port, closures);
}

void ingress_ledger::Receive(connection_id id, std::size_t bytes, core::mono_time now,
                             std::vector<closure>& closures) {
  const auto entry = table_.find(id);
  if (entry == table_.end()) return;
  connection& changed = entry->second;
  // The time for a request counts from its first byte.
  if (changed.state != phase::receiving) changed.since = now;
  Change(changed, phase::receiving, bytes);
  CloseForBytes(changed.port, closures);
}

std::optional<refusal> ingress_ledger::Complete(connection_id id, std::size_t bytes,
                                                core::mono_time now,
                                                std::vector<closure>& closures) {
  const auto entry = table_.find(id);
  if (entry == table_.end()) return refusal{limit_reason::connections, kRetryAfter};
  connection& changed = entry->second;
  const ingress_share& share = ShareOf(changed.port);
  const usage& use = UsageOf(changed.port);
  if (use.in_progress >= share.requests_in_progress) {
    return refusal{limit_reason::requests_in_progress, kRetryAfter};
  }
  if (use.in_progress_bytes + bytes > share.held_bytes / 100 * kCompletePercent) {
    return refusal{limit_reason::held_bytes, kRetryAfter};
  }
  Change(changed, phase::in_progress, bytes);
  changed.since = now;
  CloseForBytes(changed.port, closures);
  return std::nullopt;
}

void ingress_ledger::Answer(connection_id id, std::size_t bytes, core::mono_time now,
                            std::vector<closure>& closures) {
  const auto entry = table_.find(id);
  if (entry == table_.end()) return;
  Change(entry->second, phase::answering, bytes);
  entry->second.since = now;
  CloseForBytes(entry->second.port, closures);
}

void ingress_ledger::Finish(connection_id id, core::mono_time now) {
  const auto entry = table_.find(id);
  if (entry == table_.end()) return;
  Change(entry->second, phase::idle, 0);
  entry->second.since = now;
}

void ingress_ledger::Linger(connection_id id, core::mono_time now) {
  const auto entry = table_.find(id);
  if (entry == table_.end()) return;
  Change(entry->second, phase::lingering, 0);
  entry->second.since = now;
}

void ingress_ledger::Close(connection_id id) {
  const auto entry = table_.find(id);
  if (entry != table_.end()) Forget(entry);
}

void ingress_ledger::FreeDescriptor(core::mono_time now, std::vector<closure>& closures) {
  CloseForConnections(port_class::callers, nullptr, limit_reason::descriptors, now, closures);
}

std::optional<limit_reason> ingress_ledger::Overdue(const connection& entry,
                                                    core::mono_time now) const {
  const core::nanoseconds age = now - entry.since;
  switch (entry.state) {
    case phase::idle:
      if (age > limits_.idle_time) return limit_reason::idle_time;
      break;
    case phase::receiving:
      if (age > limits_.request_time) return limit_reason::request_time;
      break;
    case phase::in_progress:
      if (age > limits_.handle_time) return limit_reason::handle_time;
      break;
    case phase::answering:
      if (age > limits_.answer_time) return limit_reason::answer_time;
      break;
    case phase::lingering:
      if (age > limits_.linger_time) return limit_reason::linger_time;
      break;
  }
  return std::nullopt;
}

void ingress_ledger::Tick(core::mono_time now, std::vector<closure>& closures) {
  for (auto entry = table_.begin(); entry != table_.end();) {
    const auto here = entry++;
    if (const auto reason = Overdue(here->second, now)) Name(here, *reason, closures);
  }
}

}  // namespace coltsfoot::http
