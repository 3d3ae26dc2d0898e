#include <fmt/format.h>

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <charconv>
#include <fstream>
#include <memory>

#include "core/logging.h"
#include "http/client.h"
#include "http/server.h"
#include "program/program.h"
#include "target.h"

namespace coltsfoot::fakes {
namespace {

constexpr std::string_view kUsage =
    "Stand-in for a worker's target, for tests and demonstrations.\n"
    "Settings: id, address, port, agent (IP:PORT), services, cpu_millis, memory_mb, accelerators, "
    "slots, connections, service_ms, service_spread_ms, seed, usage_delay_ms, truth_file, "
    "interference (list of victim:aggressor:permille).";
constexpr core::milliseconds kTick{2};
constexpr core::milliseconds kAnnouncePeriod{1000};
constexpr core::milliseconds kCallTimeout{1000};
// How long a stopping target waits for the agent to fetch the last events.
constexpr core::milliseconds kEventFetchLimit{2000};
constexpr core::milliseconds kShutDownLimit{1000};
constexpr std::size_t kBodyLimitBytes = 4U << 20U;
constexpr std::int64_t kMaxAmount = 1'000'000'000;

std::vector<interference_rule> ReadInterference(settings::reader& source) {
  std::vector<interference_rule> out;
  for (const std::string& text : source.TextList("interference")) {
    const std::size_t first = text.find(':');
    const std::size_t last = text.rfind(':');
    interference_rule rule;
    const char* end = text.data() + text.size();
    const auto [parsed, failure] =
        std::from_chars(text.data() + std::min(last + 1, text.size()), end, rule.permille);
    if (first == last || failure != std::errc{} || parsed != end) {
      source.Reject("interference", "must list victim:aggressor:permille");
      continue;
    }
    rule.victim = text.substr(0, first);
    rule.aggressor = text.substr(first + 1, last - first - 1);
    out.push_back(std::move(rule));
  }
  return out;
}

struct target_settings {
  target_options options;
  target_faults faults;
  http::server_options server;
  wire::endpoint agent;
  std::string truth_file;
};

target_settings ReadSettings(settings::reader& source) {
  target_settings out;
  out.options.id = source.Text("id");
  out.options.instance = core::ToHex(core::SystemSeed());
  out.options.services = source.TextList("services");
  out.options.capacity = {source.Number("cpu_millis", {0, kMaxAmount}, 16000),
                          source.Number("memory_mb", {0, kMaxAmount}, 60000),
                          source.Number("accelerators", {0, kMaxAmount}, 0)};
  out.options.slots = static_cast<std::size_t>(source.Number("slots", {1, 10000}, 8));
  out.options.connections = static_cast<std::size_t>(source.Number("connections", {0, 10000}, 64));
  out.options.service_ms = static_cast<double>(source.Number("service_ms", {0, 600000}, 10));
  out.options.service_spread_ms =
      static_cast<double>(source.Number("service_spread_ms", {0, 600000}, 0));
  out.options.seed = static_cast<std::uint64_t>(source.Number("seed", {0, kMaxAmount}, 1));
  out.options.interference = ReadInterference(source);
  out.faults.usage_delay_ms = source.Number("usage_delay_ms", {0, 600000}, 0);
  out.server.address = source.Text("address", "127.0.0.1");
  out.server.port = static_cast<std::uint16_t>(source.Number("port", {0, 65535}, 0));
  out.server.body_limit = kBodyLimitBytes;
  out.agent = program::ParseEndpoint(source, "agent", source.Text("agent"));
  out.truth_file = source.Text("truth_file", "/dev/null");
  return out;
}

/// Announces the target to its agent. On a stop signal it drains the target and says goodbye.
class target_process {
 public:
  explicit target_process(target_settings settings)
      : settings_(std::move(settings)),
        truth_(settings_.truth_file, std::ios::app),
        target_(time_, settings_.options, settings_.faults,
                // Flushed after each line, so that a killed process loses none.
                [this](const std::string& line) { truth_ << (line + "\n") << std::flush; }),
        calls_(http::MakeCurlClient()),
        server_(settings_.server, [this](http::request received, http::responder respond) {
          asio::post(context_,
                     [this, received = std::move(received), respond = std::move(respond)] {
                       target_.Handle(received, respond);
                     });
        }) {}

  int Run() {
    program::LogReady(fmt::format("http={}:{}", settings_.server.address, server_.port()));
    program::RunUntilStopped(
        context_, kTick, [this] { Tick(); }, [this] { Stop(); });
    return 0;
  }

 private:
  void Tick() {
    target_.Tick();
    const core::mono_time now = time_.Now();
    // A departing target is no longer announced, so that the agent sends it nothing new however
    // long the requests in progress take.
    if (!stopping_ && now >= next_announcement_) {
      next_announcement_ = now + kAnnouncePeriod;
      Post("/v1/announce", [] {});
    }
    const bool events_fetched = target_.events_delivered() || now >= event_fetch_deadline_;
    if (stopping_ && !saying_goodbye_ && target_.idle() && events_fetched) SayGoodbye();
  }

  void Stop() {
    stopping_ = true;
    event_fetch_deadline_ = time_.Now() + kEventFetchLimit;
    target_.Drain();
  }

  void SayGoodbye() {
    saying_goodbye_ = true;
    target_.AnswerAllPolls();
    Post("/v1/goodbye", [this] {
      asio::post(context_, [this] {
        server_.ShutDown(kShutDownLimit);
        context_.stop();
      });
    });
  }

  void Post(std::string_view path, std::function<void()> done) {
    calls_->Send(
        {.method = "POST",
         .url = fmt::format("http://{}:{}{}", settings_.agent.ip, settings_.agent.port, path),
         .headers = {{"Content-Type", "application/json"}},
         .body = target_.AnnounceBody(settings_.server.address, server_.port()),
         .timeout = kCallTimeout},
        [done = std::move(done)](const http::call_result&) { done(); });
  }

  target_settings settings_;
  core::system_clock time_;
  std::ofstream truth_;
  asio::io_context context_;
  target target_;
  std::unique_ptr<http::client> calls_;
  http::server server_;
  bool stopping_ = false;
  bool saying_goodbye_ = false;
  core::mono_time next_announcement_{};
  core::mono_time event_fetch_deadline_{};
};

int Main(int argc, char** argv) {
  settings::reader source = program::OpenSettings(argc, argv, kUsage);
  target_settings settings = ReadSettings(source);
  program::RequireValid(source);
  core::InitLogging("fake-target", settings.options.id);
  return target_process(std::move(settings)).Run();
}

}  // namespace
}  // namespace coltsfoot::fakes

int main(int argc, char** argv) { return coltsfoot::fakes::Main(argc, argv); }
