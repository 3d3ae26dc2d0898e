#include <fmt/format.h>

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <memory>
#include <utility>

#include "agent/controller.h"
#include "agent/http_target_client.h"
#include "agent/network_link.h"
#include "agent/options.h"
#include "agent/target_api.h"
#include "core/logging.h"
#include "core/random_source.h"
#include "http/ingress.h"
#include "http/server.h"
#include "program/ingress_settings.h"
#include "program/program.h"

namespace coltsfoot::agent {
namespace {

constexpr std::string_view kUsage =
    "Agent of one worker: admits requests and tasks, keeps execution leases and reports to "
    "entries.\n"
    "Settings: id, region, zone, rack, http, udp, tcp (IP:PORT, port 0: chosen by the kernel),\n"
    "entries (list of the entries' UDP endpoints), heartbeat_ms (5000), lease_ttl_ms (15000),\n"
    "announce_timeout_ms (3000), max_peer_connections, max_peer_bytes_mb.\n"
    "Limits on what callers make the process hold: see docs/operators.md.";
constexpr core::milliseconds kTick{20};
constexpr core::milliseconds kHttpShutdownLimit{1000};
constexpr core::milliseconds kFlushLimit{2000};
constexpr std::size_t kBodyLimitBytes = 64U << 10U;

std::string Format(const wire::endpoint& value) {
  return fmt::format("{}:{}", value.ip, value.port);
}

int Main(int argc, char** argv) {
  settings::reader source = program::OpenSettings(argc, argv, kUsage);
  agent_options options = ReadOptions(source);
  const wire::connection_limits peer_limits = program::ReadPeerLimits(source);
  const http::ingress_limits ingress = program::ReadIngressLimits(source);
  program::RequireValid(source);
  core::InitLogging("coltsfoot-agent", options.worker);
  options.incarnation = core::SystemSeed();

  asio::io_context context;
  const core::system_clock time;
  metrics::registry metrics;
  network_link link(context, options.tcp, options.udp, metrics, peer_limits);
  options.tcp = link.tcp_endpoint();
  const auto http_client = http::MakeCurlClient();
  const auto target = MakeHttpTargetClient(*http_client, context);
  controller control(options, time, metrics, *target, link);
  link.Start(
      {.on_frame = [&](connection_id from,
                       const wire::raw_message& message) { control.OnFrame(from, message); },
       .on_disconnected = [&](connection_id connection) { control.OnDisconnected(connection); },
       .on_datagram =
           [&](const wire::endpoint& from, const wire::raw_message& message) {
             control.OnDatagram(from, message);
           }});
  http::server server(
      {.address = options.http.ip,
       .port = options.http.port,
       .body_limit = kBodyLimitBytes,
       .limits = std::make_shared<http::ingress>(ingress, &metrics),
       .port_name = "http"},
      MakeTargetApi({.on_announce =
                         [&](target_announcement announcement) {
                           asio::post(context, [&control, announcement = std::move(announcement)] {
                             control.OnAnnounce(announcement);
                           });
                         },
                     .on_goodbye =
                         [&](std::string instance) {
                           asio::post(context, [&control, instance = std::move(instance)] {
                             control.OnGoodbye(instance);
                           });
                         }},
                    metrics));
  program::LogReady(fmt::format("http={}:{} tcp={} udp={}", options.http.ip, server.port(),
                                Format(link.tcp_endpoint()), Format(link.udp_endpoint())));
  std::optional<core::mono_time> finished_at;
  program::RunUntilStopped(
      context, kTick,
      [&] {
        control.Tick();
        if (!control.finished()) return;
        if (!finished_at) finished_at = time.Now();
        // The last replies may still be in the send queues of the sockets.
        const bool flushed = link.queued_bytes() == 0;
        if (flushed || time.Now() >= *finished_at + kFlushLimit) context.stop();
      },
      [&] { control.BeginShutdown(); });
  server.ShutDown(kHttpShutdownLimit);
  return 0;
}

}  // namespace
}  // namespace coltsfoot::agent

int main(int argc, char** argv) { return coltsfoot::agent::Main(argc, argv); }
