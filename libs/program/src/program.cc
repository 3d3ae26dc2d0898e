#include "program/program.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <fmt/format.h>
#include <spdlog/spdlog.h>
#include <sys/resource.h>

#include <asio/ip/address.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <charconv>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <utility>

ABSL_FLAG(std::string, settings, "", "YAML file with the settings of this process");

namespace coltsfoot::program {
namespace {

void ScheduleTick(asio::steady_timer& timer, core::milliseconds period,
                  const std::function<void()>& tick) {
  timer.expires_after(period);
  timer.async_wait([&timer, period, &tick](asio::error_code failure) {
    if (failure) return;
    tick();
    ScheduleTick(timer, period, tick);
  });
}

void WaitForReload(asio::signal_set& signals, const std::function<void()>& on_reload) {
  signals.async_wait([&signals, &on_reload](asio::error_code failure, int) {
    if (failure) return;
    spdlog::info("event=reload");
    if (on_reload) on_reload();
    WaitForReload(signals, on_reload);
  });
}

}  // namespace

void RaiseOpenFileLimit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur >= limit.rlim_max) return;
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
}

settings::reader OpenSettings(int argc, char** argv, std::string_view usage) {
  // A SIGHUP that arrives before the program handles signals must not end it.
  std::signal(SIGHUP, SIG_IGN);
  RaiseOpenFileLimit();
  absl::SetProgramUsageMessage(absl::string_view(usage.data(), usage.size()));
  const auto rest = absl::ParseCommandLine(argc, argv);
  const std::string path = absl::GetFlag(FLAGS_settings);
  if (path.empty() || rest.size() > 1) {
    fmt::print(stderr, "usage: {} --settings=FILE (see --help)\n", argv[0]);
    std::exit(settings::kBadSettingsExitCode);
  }
  return settings::reader::FromFile(path);
}

void RequireValid(settings::reader& source) {
  const std::vector<std::string> errors = source.Finish();
  if (errors.empty()) return;
  for (const std::string& error : errors) fmt::print(stderr, "{}\n", error);
  std::exit(settings::kBadSettingsExitCode);
}

wire::endpoint ParseEndpoint(settings::reader& source, std::string_view key,
                             std::string_view text) {
  const std::size_t colon = text.rfind(':');
  wire::endpoint out;
  bool valid = colon != std::string_view::npos;
  if (valid) {
    out.ip = std::string(text.substr(0, colon));
    asio::error_code failure;
    asio::ip::make_address(out.ip, failure);
    const char* end = text.data() + text.size();
    const auto [parsed, number_failure] = std::from_chars(text.data() + colon + 1, end, out.port);
    valid = !failure && number_failure == std::errc{} && parsed == end;
  }
  if (!valid && !text.empty()) source.Reject(key, "must be IP:PORT");
  return out;
}

wire::endpoint ReadEndpoint(settings::reader& source, std::string_view key) {
  return ParseEndpoint(source, key, source.Text(key));
}

wire::connection_limits ReadPeerLimits(settings::reader& source) {
  constexpr std::int64_t kMiB = 1 << 20;
  wire::connection_limits out = wire::DefaultConnectionLimits();
  const auto connections = static_cast<std::int64_t>(out.connections);
  // At 1, every new connection would close the one in use.
  out.connections = static_cast<std::size_t>(
      source.Number("max_peer_connections", {2, connections}, connections));
  // A frame of the largest size fits in twice.
  const auto mebibytes = static_cast<std::int64_t>(out.bytes) / kMiB;
  out.bytes = static_cast<std::size_t>(
      kMiB * source.Number("max_peer_bytes_mb", {4, mebibytes}, mebibytes));
  return out;
}

void LogReady(std::string_view pairs) { spdlog::info("event=ready {}", pairs); }

void RunUntilStopped(asio::io_context& context, core::milliseconds period,
                     std::function<void()> tick, std::function<void()> on_stop,
                     std::function<void()> on_reload) {
  asio::signal_set reloads(context, SIGHUP);
  WaitForReload(reloads, on_reload);
  asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](asio::error_code failure, int signal) {
    if (failure) return;
    spdlog::info("event=stopping signal={}", signal);
    // A second signal stops the program without waiting for work to be handed over.
    signals.async_wait([&context](asio::error_code second_failure, int second) {
      if (second_failure) return;
      spdlog::warn("event=stopping_at_once signal={}", second);
      context.stop();
    });
    on_stop();
  });
  asio::steady_timer timer(context);
  ScheduleTick(timer, period, tick);
  context.run();
  spdlog::info("event=stopped");
}

}  // namespace coltsfoot::program
