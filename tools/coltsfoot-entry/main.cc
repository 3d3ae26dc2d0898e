#include <asio/io_context.hpp>
#include <cstdio>
#include <exception>

#include "core/logging.h"
#include "entry/entry.h"
#include "program/ingress_settings.h"
#include "program/program.h"

namespace {

constexpr std::string_view kUsage =
    "Entry of coltsfootbank: serves callers and operators over HTTP and schedules tasks.\n"
    "Usage: coltsfoot-entry --settings=FILE\n"
    "docs/operators.md describes the settings; settings/ holds those of two deployments.";

using coltsfoot::core::milliseconds;

coltsfoot::entry::entry_options ReadOptions(coltsfoot::settings::reader& source) {
  namespace program = coltsfoot::program;
  const auto endpoint = [&source](const char* key) {
    return program::ParseEndpoint(source, key, source.Text(key));
  };
  const auto duration = [&source](const char* key, std::int64_t min, std::int64_t max,
                                  milliseconds fallback) {
    return milliseconds{source.Number(key, {min, max}, fallback.count())};
  };
  coltsfoot::entry::entry_options out;
  out.id = source.Text("id");
  out.region = source.Text("region");
  out.zone = source.Text("zone");
  out.http = endpoint("http");
  out.tcp = endpoint("tcp");
  out.udp = endpoint("udp");
  out.store = source.Text("store");
  if (!out.store.empty() && !out.store.starts_with("http://") &&
      !out.store.starts_with("https://")) {
    source.Reject("store", "must be a URL that starts with http:// or https://");
  }
  for (const std::string& peer : source.TextList("peers")) {
    out.peers.push_back(program::ParseEndpoint(source, "peers", peer));
  }
  out.shard_count =
      static_cast<std::uint32_t>(source.Number("shard_count", {1, 256}, out.shard_count));
  out.commit_interval = duration("commit_interval_ms", 1, 1000, out.commit_interval);
  out.heartbeat = duration("heartbeat_ms", 50, 60'000, out.heartbeat);
  out.lease_ttl = duration("lease_ttl_ms", 200, 600'000, out.lease_ttl);
  out.lease_margin = duration("lease_margin_ms", 10, 60'000, out.lease_margin);
  out.orphan_grace = duration("orphan_grace_ms", 0, 3'600'000, out.orphan_grace);
  out.store_lease_ttl = duration("store_lease_ttl_ms", 200, 600'000, out.store_lease_ttl);
  out.http_threads =
      static_cast<std::uint32_t>(source.Number("http_threads", {1, 64}, out.http_threads));
  out.peer_limits = program::ReadPeerLimits(source);
  out.ingress = program::ReadIngressLimits(source);
  if (out.lease_ttl < 2 * out.heartbeat) {
    source.Reject("lease_ttl_ms", "must be at least twice heartbeat_ms");
  }
  return out;
}

}  // namespace

int main(int argc, char** argv) {
  namespace program = coltsfoot::program;
  coltsfoot::settings::reader source = program::OpenSettings(argc, argv, kUsage);
  const coltsfoot::entry::entry_options options = ReadOptions(source);
  program::RequireValid(source);
  coltsfoot::core::InitLogging("coltsfoot-entry", options.id);
  try {
    asio::io_context control;
    coltsfoot::entry::entry entry(options, control);
    program::LogReady(entry.Endpoints());
    program::RunUntilStopped(
        control, coltsfoot::entry::entry::kTickPeriod, [&] { entry.Tick(); },
        [&] { entry.StartShutdown([&] { control.stop(); }); });
  } catch (const std::exception& failure) {
    spdlog::error("event=failed reason=\"{}\"", failure.what());
    return 1;
  }
  return 0;
}
