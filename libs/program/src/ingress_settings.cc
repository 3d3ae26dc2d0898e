#include "program/ingress_settings.h"

#include <algorithm>
#include <cstdint>
#include <limits>

#include "core/open_files.h"

namespace coltsfoot::program {
namespace {

constexpr double kMaxMemoryMb = 16'777'216;
constexpr double kBytesPerMb = 1U << 20U;
constexpr settings::range kDescriptors{0, std::numeric_limits<std::int32_t>::max()};
/// At its limit the ledger looks at each connection for every new one, so the limit is bounded.
constexpr settings::range kConnections{1, 10'000};
constexpr settings::range kConnectionsPerAddress{0, 1'000'000};
constexpr settings::range kRequestTimeMs{100, 3'600'000};
constexpr settings::range kRequests{1, 1'000'000};
constexpr settings::range kHeldMb{1, 1'048'576};

std::size_t ReadSize(settings::reader& source, std::string_view key, settings::range allowed,
                     std::size_t fallback) {
  return static_cast<std::size_t>(source.Number(key, allowed, static_cast<std::int64_t>(fallback)));
}

}  // namespace

http::ingress_limits ReadIngressLimits(settings::reader& source) {
  http::host_limits host;
  // Platforms may grant a fraction; 0, the default, stands for an unknown size.
  const double memory_mb = std::min(source.PositiveDecimal("memory_mb", 0), kMaxMemoryMb);
  host.memory_bytes = static_cast<std::size_t>(memory_mb * kBytesPerMb);
  host.descriptors = ReadSize(source, "max_descriptors", kDescriptors, 0);
  // The lower of the two holds: the setting tells what the host grants, the other what the kernel
  // enforces.
  const std::size_t enforced = core::OpenFileLimit();
  if (host.descriptors == 0 || (enforced != 0 && enforced < host.descriptors)) {
    host.descriptors = enforced;
  }
  http::ingress_limits out = http::LimitsFor(host);
  out.callers.connections =
      ReadSize(source, "max_connections", kConnections, out.callers.connections);
  out.connections_per_address =
      ReadSize(source, "connections_per_address", kConnectionsPerAddress, 0);
  out.request_time = core::milliseconds{
      source.Number("request_time_ms", kRequestTimeMs, out.request_time.count())};
  out.callers.requests_in_progress = ReadSize(source, "max_requests_in_progress", kRequests,
                                              http::RequestsInProgressFor(out.callers.connections));
  const std::size_t held_mb = ReadSize(source, "held_request_mb", kHeldMb, 0);
  if (held_mb != 0) out.callers.held_bytes = held_mb << 20U;
  return out;
}

}  // namespace coltsfoot::program
