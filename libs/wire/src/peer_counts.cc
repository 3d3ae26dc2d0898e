#include "peer_counts.h"

#include <spdlog/spdlog.h>

#include <array>
#include <atomic>
#include <chrono>

namespace coltsfoot::wire {
namespace {

using std::chrono::steady_clock;

constexpr std::chrono::seconds kLogInterval{1};

struct limited_count {
  std::atomic<std::uint64_t> total{0};
  std::atomic<std::uint64_t> logged{0};
  std::atomic<steady_clock::rep> next_log{
      steady_clock::time_point::min().time_since_epoch().count()};
};

std::atomic<std::int64_t> peers{0};
std::array<limited_count, kLimitReasons> limited;

}  // namespace

void CountPeers(int change) { peers.fetch_add(change, std::memory_order_relaxed); }

void CountLimited(limit_reason reason) {
  limited_count& count = limited.at(static_cast<std::size_t>(reason));
  const std::uint64_t total = ++count.total;
  const steady_clock::time_point now = steady_clock::now();
  steady_clock::rep due = count.next_log;
  if (now.time_since_epoch().count() < due) return;
  const steady_clock::rep next = (now + kLogInterval).time_since_epoch().count();
  if (!count.next_log.compare_exchange_strong(due, next)) return;
  spdlog::warn("event=peer_limited reason={} count={} connections={}", ToString(reason),
               total - count.logged.exchange(total), peers.load(std::memory_order_relaxed));
}

std::string RenderPeerCounts() {
  std::string out = "# TYPE coltsfoot_peer_connections gauge\ncoltsfoot_peer_connections " +
                    std::to_string(peers.load(std::memory_order_relaxed)) +
                    "\n# TYPE coltsfoot_peer_limited_total counter\n";
  for (std::size_t reason = 0; reason < kLimitReasons; ++reason) {
    out += "coltsfoot_peer_limited_total{reason=\"";
    out += ToString(static_cast<limit_reason>(reason));
    out += "\"} " + std::to_string(limited.at(reason).total.load()) + "\n";
  }
  return out;
}

}  // namespace coltsfoot::wire
