#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <memory>
#include <optional>
#include <utility>

#include "core/logging.h"
#include "core/random_source.h"
#include "http/client.h"
#include "http/ingress.h"
#include "http/server.h"
#include "metrics/registry.h"
#include "platform/store_client.h"
#include "platform/target_client.h"
#include "program/ingress_settings.h"
#include "program/program.h"
#include "runner/network.h"
#include "runner/runner.h"

namespace coltsfoot {
namespace {

constexpr std::string_view kUsage =
    "Job agent of one worker: starts, stops and paces the tasks of the target on its host.\n"
    "Settings: id, announce (IP:PORT for the target's announcements), target, peer, metrics "
    "(IP:PORT),\nstore (IP:PORT), advertise (IP:PORT that entries connect to, default peer), "
    "task_lease_ms "
    "(5000), max_task_lease_ms (longest lease that the target accepts, 10000),\n"
    "confirm_ends_within_ms (time within which ends are confirmed to the target in calm; ends of "
    "runs that a\ncall on its way may start again are held back for up to this time, 0).\nPaces of "
    "filling "
    "tasks: pace_least_headroom_permille (1120), pace_horizon_ms (600), "
    "pace_caution_permille\n(500), pace_least_budget_permille (220). "
    "Limits on connections of entries: max_peer_connections, max_peer_bytes_mb.\n"
    "Limits on what callers make the process hold: see docs/operators.md.";
constexpr core::milliseconds kTick{40};
// Time for the last extension of the lease to reach the target before the process exits.
constexpr core::milliseconds kStopDelay{60};
constexpr core::milliseconds kHttpShutdownLimit{100};
// An announcement has some hundred bytes. Parsing takes many times the size of the text in memory.
constexpr std::size_t kBodyLimitBytes = 64U << 10U;

struct runner_settings {
  std::string id;
  wire::endpoint announce;
  std::string target;
  wire::endpoint peer;
  wire::endpoint metrics;
  wire::connection_limits peer_limits;
  std::string store;
  std::string advertise;  ///< IP:PORT that entries connect to
  core::milliseconds task_lease{0};
  core::milliseconds max_task_lease{0};
  core::milliseconds confirm_within{0};
  runner::pacer_options pacing;
  http::ingress_limits ingress;
};

/// @return the share that a setting gives in thousandths.
double ReadShare(settings::reader& source, std::string_view key, double fallback) {
  constexpr settings::range kPermille{0, 100'000};
  return static_cast<double>(
             source.Number(key, kPermille, static_cast<std::int64_t>(1000 * fallback))) /
         1000.0;
}

runner::pacer_options ReadPacing(settings::reader& source) {
  runner::pacer_options options;
  options.min_headroom = ReadShare(source, "pace_least_headroom_permille", options.min_headroom);
  options.horizon =
      core::milliseconds{source.Number("pace_horizon_ms", {0, 10'000}, options.horizon.count())};
  options.caution = ReadShare(source, "pace_caution_permille", options.caution);
  options.min_budget = ReadShare(source, "pace_least_budget_permille", options.min_budget);
  return options;
}

runner_settings ReadOptions(settings::reader& source) {
  runner_settings options;
  options.id = source.Text("id");
  options.announce = program::ReadEndpoint(source, "announce");
  options.target = source.Text("target");
  options.peer = program::ReadEndpoint(source, "peer");
  options.metrics = program::ReadEndpoint(source, "metrics");
  options.peer_limits = program::ReadPeerLimits(source);
  options.store = source.Text("store");
  options.advertise =
      source.Text("advertise", fmt::format("{}:{}", options.peer.ip, options.peer.port));
  options.task_lease = core::milliseconds{source.Number("task_lease_ms", {1000, 60'000}, 5000)};
  options.max_task_lease =
      core::milliseconds{source.Number("max_task_lease_ms", {1000, 600'000}, 10'000)};
  options.confirm_within =
      core::milliseconds{source.Number("confirm_ends_within_ms", {0, 60'000}, 0)};
  options.pacing = ReadPacing(source);
  options.ingress = program::ReadIngressLimits(source);
  return options;
}

http::server_options ServerOptions(const wire::endpoint& at, std::string name,
                                   http::port_class kind, std::shared_ptr<http::ingress> limits) {
  return {.address = at.ip,
          .port = at.port,
          .body_limit = kBodyLimitBytes,
          .limits = std::move(limits),
          .port_name = std::move(name),
          .port_kind = kind};
}

int Main(int argc, char** argv) {
  settings::reader source = program::OpenSettings(argc, argv, kUsage);
  const runner_settings options = ReadOptions(source);
  program::RequireValid(source);
  core::InitAsyncLogging("coltsfoot-runner", options.id);

  asio::io_context context;
  const core::boot_clock time;
  metrics::registry metrics;
  const auto http_client = http::MakeCurlClient();
  const auto post = [&context](std::function<void()> task) {
    asio::post(context, std::move(task));
  };
  const auto storage = platform::MakeStoreClient({.address = options.store}, *http_client, post,
                                                 metrics, [](store::kv_status) {});
  const auto target = platform::MakeTargetClient(*http_client, post, options.target);
  runner::coordinator_listener coordinator(context, options.peer, options.peer_limits);
  runner::runner control({.agent = options.id,
                          .agent_incarnation = core::SystemSeed(),
                          .task_lease = options.task_lease,
                          .max_task_lease = options.max_task_lease,
                          .confirm_within = options.confirm_within,
                          .pacing = options.pacing},
                         time, metrics, *target, coordinator);
  coordinator.SetRunner(control);
  runner::registration registration(time, *storage, options.id, options.advertise);
  const auto limits = std::make_shared<http::ingress>(options.ingress, &metrics);
  http::server announcements(
      ServerOptions(options.announce, "announce", http::port_class::callers, limits),
      platform::MakeAnnouncementHandler(
          {.on_announcement =
               [&](runner::target_announcement announcement) {
                 asio::post(context, [&control, announcement = std::move(announcement)] {
                   control.OnAnnouncement(announcement);
                 });
               },
           .on_leave =
               [&](std::string name) {
                 asio::post(context, [&control, name = std::move(name)] { control.OnLeave(name); });
               }}));
  http::server metrics_server(
      ServerOptions(options.metrics, "metrics", http::port_class::reserve, limits),
      [&](const http::request&, const http::responder& respond) {
        respond({.status = 200,
                 .headers = {{"Content-Type", "text/plain"}},
                 .body = metrics.Render() + wire::RenderTraffic()});
      });
  program::LogReady(fmt::format("http={}:{} peer={}:{}", options.announce.ip, announcements.port(),
                                options.peer.ip, options.peer.port));
  std::optional<core::mono_time> stop_at;
  program::RunUntilStopped(
      context, kTick,
      [&] {
        control.Tick();
        registration.Tick(control.last_contact());
        if (stop_at && time.Now() >= *stop_at) context.stop();
      },
      [&] {
        control.PrepareStop();
        stop_at = time.Now() + kStopDelay;
      });
  announcements.ShutDown(kHttpShutdownLimit);
  spdlog::shutdown();
  return 0;
}

}  // namespace
}  // namespace coltsfoot

int main(int argc, char** argv) { return coltsfoot::Main(argc, argv); }
