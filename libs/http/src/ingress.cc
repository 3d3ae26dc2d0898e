#include "http/ingress.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <map>
#include <utility>

#include "core/log_tally.h"
#include "metrics/registry.h"

namespace coltsfoot::http {
namespace {

/// Each port ticks; one of them is enough.
constexpr core::milliseconds kMinTickPeriod{500};
/// One part in so many of the connections may be accepted in addition, since a connection that is
/// named is closed later, on its own thread.
constexpr std::size_t kUnsettledPart = 8;

}  // namespace

struct ingress::port {
  std::string name;
  port_class kind = port_class::callers;
  std::mutex mutex;  ///< held while `close` runs, so that RemovePort waits for it
  closer close;
};

/// What happened since the last log line of a port and reason.
struct ingress::log_state {
  enum event : std::uint8_t { closed, refused, count };
  std::map<std::pair<std::string, limit_reason>, core::log_tally<count>> tallies;
};

ingress::ingress(const ingress_limits& limits, metrics::registry* metrics)
    : ledger_(limits), metrics_(metrics), log_(std::make_unique<log_state>()) {
  if (metrics_ == nullptr) return;
  connections_ = &metrics_->GetGauge("coltsfoot_ingress_connections");
  held_bytes_ = &metrics_->GetGauge("coltsfoot_ingress_held_bytes");
  requests_ = &metrics_->GetGauge("coltsfoot_ingress_requests");
}

ingress::~ingress() = default;

std::uint64_t ingress::AddPort(std::string name, port_class kind, closer close) {
  auto added = std::make_shared<port>();
  added->name = std::move(name);
  added->kind = kind;
  added->close = std::move(close);
  const std::lock_guard lock(mutex_);
  ports_.push_back(std::move(added));
  return ports_.size() - 1;
}

void ingress::RemovePort(std::uint64_t number) {
  std::shared_ptr<port> removed;
  {
    const std::lock_guard lock(mutex_);
    removed = ports_[number];
  }
  const std::lock_guard lock(removed->mutex);
  removed->close = nullptr;
}

std::atomic<std::size_t>& ingress::DescriptorsOf(port_class kind) {
  return descriptors_[kind == port_class::callers ? 0 : 1];
}

bool ingress::MayAccept(std::uint64_t port) {
  const std::lock_guard lock(mutex_);
  const port_class kind = ports_[port]->kind;
  const std::size_t connections = ledger_.ShareOf(kind).connections;
  const std::size_t unsettled = std::max<std::size_t>(connections / kUnsettledPart, 1);
  return DescriptorsOf(kind) < connections + unsettled;
}

descriptor_hold ingress::HoldDescriptor(std::uint64_t port) {
  const std::lock_guard lock(mutex_);
  std::atomic<std::size_t>& open = DescriptorsOf(ports_[port]->kind);
  ++open;
  return descriptor_hold(&open);
}

void ingress::Count(const port& where, limit_reason reason, bool refused, core::mono_time now) {
  if (metrics_ != nullptr) {
    metrics_
        ->GetCounter("coltsfoot_ingress_limited_total", {"port", where.name},
                     {"reason", ToString(reason)})
        .Add();
  }
  auto& tally = log_->tallies[{where.name, reason}];
  const auto counts = tally.Add(refused ? log_state::refused : log_state::closed, now);
  // Connections without a request for minutes are the ordinary end of a kept-alive connection.
  if (!counts || reason == limit_reason::idle_time) return;
  spdlog::warn("event=ingress_limited port={} reason={} closed={} refused={}", where.name,
               ToString(reason), (*counts)[log_state::closed], (*counts)[log_state::refused]);
}

void ingress::ShowGauges() {
  if (connections_ == nullptr) return;
  connections_->Set(static_cast<std::int64_t>(ledger_.connections()));
  held_bytes_->Set(static_cast<std::int64_t>(ledger_.held_bytes()));
  requests_->Set(static_cast<std::int64_t>(ledger_.requests_in_progress()));
}

void ingress::Apply(std::unique_lock<std::mutex>& lock, std::vector<closure>& closures,
                    core::mono_time now) {
  ShowGauges();
  if (closures.empty()) return;
  std::vector<std::shared_ptr<port>> ports;
  for (const closure& closed : closures) {
    ports.push_back(ports_[closed.connection >> kPortShift]);
    Count(*ports.back(), closed.reason, false, now);
  }
  lock.unlock();
  for (std::size_t index = 0; index < closures.size(); ++index) {
    const std::lock_guard port_lock(ports[index]->mutex);
    if (ports[index]->close) ports[index]->close(closures[index].connection);
  }
}

bool ingress::Open(connection_id id, const std::string& address, core::mono_time now) {
  std::vector<closure> closures;
  std::unique_lock lock(mutex_);
  ledger_.Open(id, ports_[id >> kPortShift]->kind, address, now, closures);
  Apply(lock, closures, now);
  return std::ranges::none_of(closures, [id](const closure& it) { return it.connection == id; });
}

void ingress::Receive(connection_id id, std::size_t bytes, core::mono_time now) {
  std::vector<closure> closures;
  std::unique_lock lock(mutex_);
  ledger_.Receive(id, bytes, now, closures);
  Apply(lock, closures, now);
}

std::optional<refusal> ingress::Complete(connection_id id, std::size_t bytes, core::mono_time now) {
  std::vector<closure> closures;
  std::unique_lock lock(mutex_);
  const auto out = ledger_.Complete(id, bytes, now, closures);
  if (out) Count(*ports_[id >> kPortShift], out->reason, true, now);
  Apply(lock, closures, now);
  return out;
}

void ingress::Answer(connection_id id, std::size_t bytes, core::mono_time now) {
  std::vector<closure> closures;
  std::unique_lock lock(mutex_);
  ledger_.Answer(id, bytes, now, closures);
  Apply(lock, closures, now);
}

void ingress::Finish(connection_id id, core::mono_time now) {
  const std::lock_guard lock(mutex_);
  ledger_.Finish(id, now);
  ShowGauges();
}

void ingress::Linger(connection_id id, core::mono_time now) {
  const std::lock_guard lock(mutex_);
  ledger_.Linger(id, now);
  ShowGauges();
}

void ingress::Close(connection_id id) {
  const std::lock_guard lock(mutex_);
  ledger_.Close(id);
  ShowGauges();
}

bool ingress::FreeDescriptor(core::mono_time now) {
  std::vector<closure> closures;
  std::unique_lock lock(mutex_);
  ledger_.FreeDescriptor(now, closures);
  Apply(lock, closures, now);
  return !closures.empty();
}

void ingress::Tick(core::mono_time now) {
  std::vector<closure> closures;
  std::unique_lock lock(mutex_);
  if (ticked_at_ && now < *ticked_at_ + kMinTickPeriod) return;
  ticked_at_ = now;
  ledger_.Tick(now, closures);
  Apply(lock, closures, now);
}

void ingress::CountRefused(connection_id id, limit_reason reason, core::mono_time now) {
  const std::lock_guard lock(mutex_);
  Count(*ports_[id >> kPortShift], reason, true, now);
}

}  // namespace coltsfoot::http
