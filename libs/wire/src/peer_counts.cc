#include "peer_counts.h"

#include <spdlog/spdlog.h>

#include <array>
#include <atomic>
#include <chrono>

#include "core/log_tally.h"

namespace coltsfoot::wire {
namespace {

struct limited_count {
  std::atomic<std::uint64_t> total{0};
  core::log_tally<> tally;
};

std::atomic<std::int64_t> peers{0};
std::array<limited_count, kLimitReasons> limited;

}  // namespace

void CountPeers(int change) { peers.fetch_add(change, std::memory_order_relaxed); }

void CountLimited(limit_reason reason) {
  limited_count& count = limited.at(static_cast<std::size_t>(reason));
  ++count.total;
  const auto counts = count.tally.Add(0, std::chrono::steady_clock::now());
  if (!counts) return;
  spdlog::warn("event=peer_limited reason={} count={} connections={}", ToString(reason),
               counts->front(), peers.load(std::memory_order_relaxed));
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
