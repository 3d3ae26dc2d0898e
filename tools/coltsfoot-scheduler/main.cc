#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <atomic>
#include <memory>
#include <optional>
#include <utility>

#include "core/logging.h"
#include "core/random_source.h"
#include "http/client.h"
#include "http/ingress.h"
#include "http/server.h"
#include "jobs/coordinator.h"
#include "jobs/job_service.h"
#include "jobs/leadership.h"
#include "jobs/network.h"
#include "jobs/store_health.h"
#include "jobs/zone_evacuations.h"
#include "platform/configuration.h"
#include "platform/evacuation_watch.h"
#include "platform/job_api.h"
#include "platform/store_client.h"
#include "program/ingress_settings.h"
#include "program/program.h"

namespace coltsfoot {
namespace {

constexpr std::string_view kUsage =
    "Entry of the job scheduler: admits, shows and cancels jobs; one of the entries is elected to\n"
    "place tasks.\n"
    "Settings: id, front, ready, peer, metrics (IP:PORT), store (IP:PORT), task_lease_ms (5000),\n"
    "drain_ms (3000), config_bound_ms (2000: time within which a configuration change takes "
    "effect),\nevacuation_bound_ms (none: time after which no task starts in a zone that the "
    "operator evacuates),\nprocessor_share and processor_speed of the host (1). Filling tasks, in "
    "thousandths "
    "of the headroom of\nthe serving tasks on the same worker: filling_peak_permille (1000), "
    "filling_present_permille (600), after\nfilling_relaxed_after_ms (1500); serving_use_permille "
    "(500).\nLimits on what callers and peers make the process hold: see docs/operators.md.";
constexpr core::milliseconds kTick{40};
// Minimum time between ticks that events trigger, so that reports of many agents that arrive
// together are handled in one tick. Far below any delay that callers notice.
constexpr core::milliseconds kMinTickInterval{8};
// Maximum time to finish requests in progress after the server stops accepting new ones.
constexpr core::milliseconds kHttpShutdownLimit{1500};
constexpr core::milliseconds kFlushLimit{200};
constexpr std::size_t kBodyLimitBytes = 256U << 10U;

struct scheduler_options {
  std::string id;
  wire::endpoint front;
  wire::endpoint ready;
  wire::endpoint peer;
  wire::endpoint metrics;
  wire::connection_limits peer_limits;
  std::string store;
  core::milliseconds task_lease{0};
  core::milliseconds drain{0};
  core::milliseconds config_bound{0};
  core::milliseconds evacuation_bound{0};  ///< 0: zones are not evacuated
  jobs::planner_options planner;
  double processors = 1;  ///< capacity of the host, in processors of reference speed
  http::ingress_limits ingress;
};

/// @return a share that is given in thousandths in the settings.
double ReadShare(settings::reader& source, std::string_view key, double fallback) {
  constexpr settings::range kPermille{0, 100'000};
  return static_cast<double>(
             source.Number(key, kPermille, static_cast<std::int64_t>(1000 * fallback))) /
         1000.0;
}

jobs::planner_options ReadPlannerOptions(settings::reader& source) {
  jobs::planner_options options;
  options.max_pressure = ReadShare(source, "filling_peak_permille", options.max_pressure);
  options.max_present_pressure =
      ReadShare(source, "filling_present_permille", options.max_present_pressure);
  options.relaxed_after = core::milliseconds{
      source.Number("filling_relaxed_after_ms", {0, 600'000}, options.relaxed_after.count())};
  options.serving_use_permille =
      source.Number("serving_use_permille", {0, 1000}, options.serving_use_permille);
  return options;
}

scheduler_options ReadOptions(settings::reader& source) {
  scheduler_options options;
  options.id = source.Text("id");
  options.front = program::ReadEndpoint(source, "front");
  options.ready = program::ReadEndpoint(source, "ready");
  options.peer = program::ReadEndpoint(source, "peer");
  options.metrics = program::ReadEndpoint(source, "metrics");
  options.peer_limits = program::ReadPeerLimits(source);
  options.store = source.Text("store");
  options.task_lease = core::milliseconds{source.Number("task_lease_ms", {1000, 60'000}, 5000)};
  options.drain = core::milliseconds{source.Number("drain_ms", {0, 60'000}, 3000)};
  options.config_bound = core::milliseconds{source.Number("config_bound_ms", {500, 60'000}, 2000)};
  // Of a shorter bound, the share that no view may use is below the second for which a watch may
  // miss changes.
  options.evacuation_bound =
      core::milliseconds{source.Number("evacuation_bound_ms", {3500, 60'000}, 0)};
  // The same watch serves both bounds.
  if (options.evacuation_bound.count() > 0) {
    options.config_bound = std::min(options.config_bound, options.evacuation_bound);
  }
  options.planner = ReadPlannerOptions(source);
  options.processors =
      source.PositiveDecimal("processor_share", 1) * source.PositiveDecimal("processor_speed", 1);
  options.ingress = program::ReadIngressLimits(source);
  return options;
}

std::string Format(const wire::endpoint& value) {
  return fmt::format("{}:{}", value.ip, value.port);
}

/// Components of one entry, constructed in the order of their dependencies.
class scheduler final : public jobs::term_authority {
 public:
  scheduler(asio::io_context& context, const scheduler_options& options)
      : context_(context),
        options_(options),
        random_(core::SystemSeed()),
        health_(time_),
        http_(http::MakeCurlClient()),
        storage_(platform::MakeStoreClient(
            {.address = options.store}, *http_,
            [&context](std::function<void()> task) { asio::post(context, std::move(task)); },
            metrics_, [this](store::kv_status status) { health_.Record(status); })),
        agents_(context, time_, metrics_),
        coordinator_({.planner = options.planner, .task_lease = options.task_lease}, time_,
                     metrics_, agents_, *storage_, *this),
        leadership_(
            {.entry = options.id,
             .address = Format(options.peer),
             .processor_millis = static_cast<std::uint32_t>(1000 * options.processors)},
            time_, random_, metrics_, *storage_,
            {.on_elected = [this](const jobs::term_snapshot& state) { OnElected(state); },
             .on_deposed = [this] { coordinator_.EndTerm(); },
             .on_inbox_change =
                 [this](const store::key_change& change) {
                   coordinator_.OnInboxChange(change);
                   ScheduleTick();
                 },
             .on_offer = [this](std::uint32_t processors) { OfferLeadership(processors); }}),
        queues_({.bound = options.config_bound}, time_, metrics_, *storage_, health_,
                [this](const auto& catalogue) { coordinator_.SetQueues(catalogue); }),
        peers_(
            context, time_, options.peer,
            [this] { return leadership_.leader() ? leadership_.leader()->address : ""; },
            [this](const jobs::job_query& query,
                   const std::function<void(jobs::job_answer)>& done) { AnswerQuery(query, done); },
            options.peer_limits),
        service_(time_, metrics_, *storage_, health_, queues_, peers_),
        job_api_(context, time_, metrics_, service_, queues_) {
    agents_.SetHandlers(
        {.on_connected = [this](const std::string& agent) { coordinator_.OnAgentConnected(agent); },
         .on_disconnected =
             [this](const std::string& agent) { coordinator_.OnAgentDisconnected(agent); },
         .on_report =
             [this](const jobs::worker_report& report) {
               coordinator_.OnReport(report);
               ScheduleTick();
             }});
  }

  void Start() {
    if (options_.evacuation_bound.count() > 0) {
      evacuations_.emplace(options_.evacuation_bound, metrics_);
      evacuation_watch_.emplace(time_, *storage_, *evacuations_);
      coordinator_.ObserveEvacuations(*evacuations_);
      queues_.SetFollower(*evacuation_watch_);
    }
    queues_.Start();
    leadership_.Start();
  }

  void Tick() {
    leadership_.Tick();
    queues_.Tick();
    if (evacuation_watch_) evacuation_watch_->Tick();
    agents_.Tick();
    peers_.Tick();
    coordinator_.Tick();
    ready_ = !stopping_at_ && queues_.Current() && health_.reachable();
  }

  /// Advances a graceful shutdown: once the drain period is over, stops accepting requests and
  /// waits for those in progress, within a limit.
  /// @return true when the program may exit.
  bool ContinueShutdown(http::server& front) {
    if (!stopping_at_ || time_.Now() < *stopping_at_ + options_.drain) return false;
    if (!std::exchange(accepting_stopped_, true)) front.StopAccepting();
    const core::mono_time limit = *stopping_at_ + options_.drain + kHttpShutdownLimit;
    return front.idle() || time_.Now() >= limit;
  }

  /// Starts a graceful shutdown: resigns leadership, reports not ready and closes each connection
  /// after its next answer. Keeps serving for the drain period, until callers are routed elsewhere.
  void BeginShutdown(http::server& front) {
    front.BeginClose();
    stopping_at_ = time_.Now();
    ready_ = false;
    leadership_.Resign();
  }

  http::request_handler JobApiHandler() { return job_api_.Handler(); }

  metrics::registry& Metrics() { return metrics_; }

  http::request_handler ReadyHandler() {
    return [this](const http::request&, const http::responder& respond) {
      respond(http::JsonResponse(ready_ ? 200 : 503, "{}"));
    };
  }

  http::request_handler MetricsHandler() {
    return [this](const http::request&, const http::responder& respond) {
      respond({.status = 200,
               .headers = {{"Content-Type", "text/plain"}},
               .body = metrics_.Render() + wire::RenderTraffic()});
    };
  }

  bool MayStart() const override { return leadership_.MayStart(); }
  bool MayExtend() const override { return leadership_.MayExtend(); }
  void OnDeposed() override {
    // Posted because the coordinator calls this while it is running itself.
    asio::post(context_, [this] { leadership_.Depose(); });
  }

 private:
  void OnElected(const jobs::term_snapshot& state) {
    agents_.SetTerm(state.term);
    coordinator_.BeginTerm(state.term, state.inbox, state.progress);
    if (queues_.Current()) coordinator_.SetQueues(queues_.Current());
    ScheduleTick();
  }

  void OfferLeadership(std::uint32_t processor_millis) {
    peers_.Query({.kind = jobs::query_kind::offer_leadership, .processor_millis = processor_millis},
                 [](const jobs::job_answer&) {});
  }

  /// Schedules one coordinator tick for all events that arrive within `kMinTickInterval`.
  void ScheduleTick() {
    if (std::exchange(tick_posted_, true)) return;
    const core::nanoseconds wait =
        std::max(core::nanoseconds{0}, last_tick_at_ + kMinTickInterval - time_.Now());
    tick_timer_.expires_after(wait);
    tick_timer_.async_wait([this](asio::error_code stopped) {
      tick_posted_ = false;
      if (stopped) return;
      last_tick_at_ = time_.Now();
      coordinator_.Tick();
    });
  }

  void AnswerQuery(const jobs::job_query& query,
                   const std::function<void(jobs::job_answer)>& done) {
    if (!leadership_.MayExtend()) {
      done({});
      return;
    }
    jobs::job_answer answer{.outcome = jobs::query_outcome::found};
    switch (query.kind) {
      case jobs::query_kind::show:
        if (const auto state = coordinator_.StateOf(query.job)) {
          answer.state = *state;
          // Without the leader's lease another coordinator may already have recorded the job's end.
          if (!jobs::IsEnded(*state) && !leadership_.MayStart()) answer = {};
        } else {
          answer.outcome = jobs::query_outcome::absent;
        }
        break;
      case jobs::query_kind::count_waiting:
        answer.waiting = coordinator_.CountWaiting(query.queue);
        // Without the leader's lease jobs that other entries accepted may be missing here.
        if (!leadership_.MayStart()) answer = {};
        break;
      case jobs::query_kind::store_job:
      case jobs::query_kind::store_cancel:
        service_.StoreForPeer(query, done);
        return;
      case jobs::query_kind::offer_leadership:
        // Posted because a handover closes the connection whose handler is running now.
        asio::post(context_, [this, offered = query.processor_millis] {
          leadership_.ConsiderHandover(offered);
        });
        break;
    }
    done(answer);
  }

  asio::io_context& context_;
  const scheduler_options& options_;
  core::boot_clock time_;
  core::seeded_random random_;
  metrics::registry metrics_;
  jobs::store_health health_;
  std::unique_ptr<http::client> http_;
  std::unique_ptr<store::versioned_store> storage_;
  jobs::agent_connections agents_;
  jobs::coordinator coordinator_;
  jobs::leadership leadership_;
  std::optional<jobs::zone_evacuations> evacuations_;
  std::optional<platform::evacuation_watch> evacuation_watch_;
  platform::configuration queues_;
  jobs::entry_peers peers_;
  jobs::job_service service_;
  platform::job_api job_api_;
  std::atomic<bool> ready_{false};
  std::optional<core::mono_time> stopping_at_;
  bool accepting_stopped_ = false;
  bool tick_posted_ = false;
  asio::steady_timer tick_timer_{context_};
  core::mono_time last_tick_at_;
};

http::server_options ServerOptions(const wire::endpoint& at, std::string name,
                                   std::shared_ptr<http::ingress> limits,
                                   http::port_class kind = http::port_class::reserve) {
  return {.address = at.ip,
          .port = at.port,
          .body_limit = kBodyLimitBytes,
          .limits = std::move(limits),
          .port_name = std::move(name),
          .port_kind = kind};
}

int Main(int argc, char** argv) {
  settings::reader source = program::OpenSettings(argc, argv, kUsage);
  const scheduler_options options = ReadOptions(source);
  program::RequireValid(source);
  core::InitAsyncLogging("coltsfoot-scheduler", options.id);

  asio::io_context context;
  scheduler entry(context, options);
  const auto limits = std::make_shared<http::ingress>(options.ingress, &entry.Metrics());
  http::server ready(ServerOptions(options.ready, "ready", limits), entry.ReadyHandler());
  http::server metrics(ServerOptions(options.metrics, "metrics", limits), entry.MetricsHandler());
  http::server front(ServerOptions(options.front, "front", limits, http::port_class::callers),
                     entry.JobApiHandler());
  program::LogReady(fmt::format("http={} peer={}", Format(options.front), Format(options.peer)));
  entry.Start();
  program::RunUntilStopped(
      context, kTick,
      [&] {
        entry.Tick();
        if (entry.ContinueShutdown(front)) context.stop();
      },
      [&] { entry.BeginShutdown(front); });
  front.ShutDown(kFlushLimit);
  spdlog::shutdown();
  return 0;
}

}  // namespace
}  // namespace coltsfoot

int main(int argc, char** argv) { return coltsfoot::Main(argc, argv); }
