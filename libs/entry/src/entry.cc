#include "entry/entry.h"

#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include <asio/executor_work_guard.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <cstdlib>
#include <thread>
#include <utility>

#include "agent_directory.h"
#include "api.h"
#include "blame/quarantine.h"
#include "claim_controller.h"
#include "config_controller.h"
#include "control_queue.h"
#include "http/client.h"
#include "http/ingress.h"
#include "http/server.h"
#include "interference/model.h"
#include "ledger/shard_manager.h"
#include "membership/worker_table.h"
#include "metrics/registry.h"
#include "peer_directory.h"
#include "request_router.h"
#include "settings/reader.h"
#include "store/kv_client.h"
#include "task_controller.h"
#include "wire/frame.h"
#include "wire/transport.h"

namespace coltsfoot::entry {
namespace {

/// Period of the timer for requests in progress. The timer stops when there are none, because its
/// 150 wakeups a second beyond those of the tick cost 0.2 to 0.4 % of a core.
constexpr core::milliseconds kRequestTimerPeriod{5};
/// Limit that keeps a flood of datagrams from delaying other work on the control thread; datagrams
/// beyond it stay in the socket buffer. 4,000 workers send 16 heartbeats per tick.
constexpr std::size_t kDatagramsPerTick = 256;
constexpr core::milliseconds kStoreTimeout{2000};
// Requests end at their deadlines; 30 s is taken as the longest reasonable deadline to wait for.
constexpr core::milliseconds kShutdownDrainTimeout{30'000};
constexpr core::milliseconds kHttpShutdownTimeout{2'000};
constexpr std::size_t kBodyLimitBytes = 512U << 10U;

std::string ToText(const wire::endpoint& value) {
  return fmt::format("{}:{}", value.ip, value.port);
}

membership::worker_table_options TableOptions(const entry_options& options) {
  membership::worker_table_options out;
  out.heartbeat = options.heartbeat;
  return out;
}

}  // namespace

class entry::impl final : public ledger::shard_listener {
 public:
  impl(entry_options options, asio::io_context& control)
      : options_(std::move(options)),
        control_(control),
        queue_(control, [this] { Flush(); }),
        run_on_control_(
            [this](std::function<void()> function) { queue_.Post(std::move(function)); }),
        traffic_guard_(asio::make_work_guard(traffic_)),
        random_(core::SystemSeed()),
        http_client_(http::MakeCurlClient()),
        kv_(store::MakeHttpKvClient(options_.store, options_.id, *http_client_, run_on_control_,
                                    kStoreTimeout)),
        config_(*kv_, time_, random_, metrics_),
        workers_(TableOptions(options_)),
        peers_(options_, traffic_, queue_, config_, time_, metrics_),
        tcp_(peers_.Listen()),
        udp_(
            options_.udp,
            [this](const wire::endpoint& from, const wire::raw_message& raw) {
              OnDatagram(from, raw);
            },
            [this](core::result_code code) { CountDroppedDatagram(code); }),
        http_({.address = options_.http.ip,
               .port = options_.http.port,
               .threads = options_.http_threads,
               .body_limit = kBodyLimitBytes,
               .on_refused = [this](core::result_code code) { metrics_.CountRefusal("api", code); },
               .limits = ingress_},
              [this](http::request call, http::responder respond) {
                const bool submits = IsTaskSubmission(call.method, call.path);
                auto handle = [this, call = std::move(call), respond = std::move(respond)] {
                  api_.Handle(call, false, respond);
                  StartRequestTimer();
                };
                submits ? queue_.Defer(std::move(handle)) : queue_.Post(std::move(handle));
              }),
        ledger_(LedgerOptions(), *kv_, time_, random_, metrics_, *this),
        agents_(options_, traffic_, queue_, workers_, ledger_, config_, interference_, time_,
                metrics_),
        router_(
            workers_, config_, quarantine_, agents_, [this] { return tasks_.scheduler().view(); },
            options_.zone, time_, random_, metrics_),
        tasks_(options_, ledger_, workers_, config_, quarantine_, interference_, agents_, time_,
               random_, metrics_),
        claims_(ledger_, router_, time_, metrics_),
        api_({options_, ledger_, workers_, config_, router_, claims_, tasks_, peers_, time_,
              random_, metrics_, ingress_->limits().callers.requests_in_progress}) {
    SetHandlers();
    traffic_thread_ = std::thread([this] { traffic_.run(); });
  }

  ~impl() override {
    http_.ShutDown(kHttpShutdownTimeout);
    http_client_.reset();
    traffic_.stop();
    traffic_thread_.join();
    // Queued handlers may own sockets of the traffic context, so they must be destroyed before it.
    queue_.Run();
    control_.restart();
    control_.poll();
    queue_.Clear();
  }

  std::string Endpoints() const {
    return fmt::format("http={}:{} tcp={} udp={}", options_.http.ip, http_.port(), ToText(tcp_),
                       ToText(udp_.local()));
  }

  void Tick() {
    router_.Tick();
    claims_.Tick();
    api_.Tick();
    StartRequestTimer();
    queue_.Run();
    udp_.Poll(kDatagramsPerTick);
    config_.Tick();
    ledger_.Tick();
    store_reachable_.Set(ledger_.store_reachable() ? 1 : 0);
    peers_.Tick(ledger_.Entries());
    agents_.Tick();
    tasks_.Tick();
    AdvanceShutdown(time_.Now());
    Flush();
  }

  void StartShutdown(std::function<void()> done) {
    if (shutdown_done_) return;
    shutdown_done_ = std::move(done);
    shutdown_started_ = time_.Now();
    api_.StartShutdown();
  }

  void OnShardOwned(core::shard_index shard) override {
    tasks_.OnShardOwned(shard);
    claims_.OnShardOwned(shard);
  }

  bool MayHandOver(core::shard_index shard) override { return !claims_.IsBusy(shard); }

  void OnShardLost(core::shard_index shard, ledger::shard_loss /*reason*/) override {
    tasks_.OnShardLost(shard);
    claims_.OnShardLost(shard);
  }

  void OnShardCountMismatch(std::uint32_t recorded) override {
    spdlog::error("event=shard_count_mismatch settings={} recorded={}", options_.shard_count,
                  recorded);
    std::_Exit(settings::kBadSettingsExitCode);
  }

 private:
  ledger::ledger_options LedgerOptions() const {
    ledger::ledger_options out;
    out.entry = options_.id;
    out.entry_value =
        wire::EncodeValue(entry_address{udp_.local(), tcp_, {options_.http.ip, http_.port()}});
    out.shard_count = options_.shard_count;
    out.commit_interval = options_.commit_interval;
    out.store_lease_ttl = options_.store_lease_ttl;
    out.renew_interval = options_.store_lease_ttl * 3 / 10;
    out.orphan_grace = options_.orphan_grace;
    return out;
  }

  void SetHandlers() {
    agents_.SetSender(
        [this](const wire::endpoint& to, const std::string& datagram) { udp_.Send(to, datagram); });
    agents_.SetListeners(
        {.on_reply = [this](const std::string& worker,
                            const wire::request_reply& reply) { router_.OnReply(worker, reply); },
         .on_event = [this](const wire::task_event& event) { tasks_.OnTaskEvent(event); },
         .on_report = [this](const wire::shard_report& report) { tasks_.OnShardReport(report); },
         .on_usage = [this](const wire::usage_report& report) { tasks_.OnUsage(report); },
         .on_reachable = [this](const std::string& worker) { tasks_.OnWorkerReachable(worker); },
         .on_link_lost =
             [this](const std::string& worker) {
               router_.OnLinkLost(worker);
               tasks_.OnLinkLost(worker);
             },
         .on_forgotten =
             [this](membership::worker_index worker) {
               tasks_.OnWorkerForgotten(worker);
               router_.OnWorkerForgotten(worker);
             }});
    peers_.SetHandlers(
        [this](const http::request& call, http::responder respond) {
          api_.Handle(call, true, std::move(respond));
          StartRequestTimer();
        },
        [this](const wire::peer_status& status) {
          if (status.teams) tasks_.SetPeerUsage(status.entry, *status.teams);
        },
        [this] { return tasks_.OwnUsage(); });
  }

  void OnDatagram(const wire::endpoint& from, const wire::raw_message& raw) {
    core::last_error error;
    if (auto heartbeat = wire::FromRaw<wire::agent_heartbeat>(raw, error)) {
      agents_.OnHeartbeat(from, *heartbeat);
    } else if (auto goodbye = wire::FromRaw<wire::agent_goodbye>(raw, error)) {
      agents_.OnGoodbye(*goodbye);
    } else {
      CountDroppedDatagram(error.reason().code);
    }
  }

  void CountDroppedDatagram(core::result_code code) {
    metrics_.GetCounter("coltsfoot_datagrams_dropped_total", {"reason", core::ToString(code)})
        .Add();
  }

  /// Ticks the router every `kRequestTimerPeriod` until no request is in progress.
  void StartRequestTimer() {
    if (router_.active() == 0 || std::exchange(request_timer_running_, true)) return;
    request_timer_.expires_after(kRequestTimerPeriod);
    request_timer_.async_wait([this](asio::error_code failure) {
      request_timer_running_ = false;
      if (failure) return;
      router_.Tick();
      Flush();
      StartRequestTimer();
    });
  }

  void Flush() {
    agents_.Flush();
    peers_.Flush();
  }

  void AdvanceShutdown(core::mono_time now) {
    if (!shutdown_done_ || releasing_shards_) return;
    const bool idle = router_.active() == 0 && api_.pending_calls() == 0;
    if (!idle && now < shutdown_started_ + kShutdownDrainTimeout) return;
    releasing_shards_ = true;
    ledger_.Shutdown([this](bool released) {
      spdlog::info("event=shards_released complete={}", released);
      shutdown_done_();
    });
  }

  const entry_options options_;
  asio::io_context& control_;
  control_queue queue_;
  store::executor run_on_control_;
  asio::io_context traffic_;
  asio::executor_work_guard<asio::io_context::executor_type> traffic_guard_;
  core::system_clock time_;
  core::seeded_random random_;
  metrics::registry metrics_;
  metrics::gauge& store_reachable_ = metrics_.GetGauge("coltsfoot_store_reachable");
  std::unique_ptr<http::client> http_client_;
  std::unique_ptr<store::kv_client> kv_;
  config_controller config_;
  membership::worker_table workers_;
  interference::model interference_;
  blame::quarantine quarantine_;
  peer_directory peers_;
  wire::endpoint tcp_;
  wire::polled_udp_socket udp_;
  std::shared_ptr<http::ingress> ingress_ =
      std::make_shared<http::ingress>(options_.ingress, &metrics_);
  http::server http_;
  ledger::shard_manager ledger_;
  agent_directory agents_;
  request_router router_;
  task_controller tasks_;
  claim_controller claims_;
  api api_;
  std::thread traffic_thread_;
  asio::steady_timer request_timer_{control_};
  bool request_timer_running_ = false;
  std::function<void()> shutdown_done_;
  core::mono_time shutdown_started_{};
  bool releasing_shards_ = false;
};

entry::entry(entry_options options, asio::io_context& control)
    : impl_(std::make_unique<impl>(std::move(options), control)) {}

entry::~entry() = default;

std::string entry::Endpoints() const { return impl_->Endpoints(); }

void entry::Tick() { impl_->Tick(); }

void entry::StartShutdown(std::function<void()> done) { impl_->StartShutdown(std::move(done)); }

}  // namespace coltsfoot::entry
