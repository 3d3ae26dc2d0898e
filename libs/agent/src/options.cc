#include "agent/options.h"

#include "program/program.h"

namespace coltsfoot::agent {
namespace {

constexpr settings::range kPeriodMs{10, 600'000};

core::milliseconds ReadMs(settings::reader& source, std::string_view key,
                          core::milliseconds fallback) {
  return core::milliseconds{source.Number(key, kPeriodMs, fallback.count())};
}

}  // namespace

agent_options ReadOptions(settings::reader& source) {
  agent_options out;
  out.worker = source.Text("id");
  out.region = source.Text("region");
  out.zone = source.Text("zone");
  out.rack = source.Text("rack");
  out.http = program::ParseEndpoint(source, "http", source.Text("http"));
  out.udp = program::ParseEndpoint(source, "udp", source.Text("udp"));
  out.tcp = program::ParseEndpoint(source, "tcp", source.Text("tcp"));
  for (const std::string& text : source.TextList("entries")) {
    out.entries.push_back(program::ParseEndpoint(source, "entries", text));
  }
  if (out.entries.empty()) source.Reject("entries", "must list at least one IP:PORT");
  out.heartbeat = ReadMs(source, "heartbeat_ms", out.heartbeat);
  out.lease_ttl = ReadMs(source, "lease_ttl_ms", out.lease_ttl);
  out.announce_timeout = ReadMs(source, "announce_timeout_ms", out.announce_timeout);
  // With a longer interval, a single lost datagram lets all leases of the worker expire, which
  // evicts all of its tasks.
  if (out.heartbeat * 2 > out.lease_ttl) {
    source.Reject("heartbeat_ms", "must be at most half of lease_ttl_ms");
  }
  return out;
}

}  // namespace coltsfoot::agent
