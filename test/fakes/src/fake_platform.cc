#include <fmt/format.h>

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <memory>

#include "core/logging.h"
#include "http/server.h"
#include "kv_service.h"
#include "program/program.h"

namespace coltsfoot::fakes {
namespace {

constexpr std::string_view kUsage =
    "Stand-in for the platform's key-value service, for tests and demonstrations.\n"
    "Settings: address (IP, default 127.0.0.1), port (default 0: chosen by the kernel).";
constexpr core::milliseconds kTick{10};
constexpr std::size_t kBodyLimitBytes = 2U << 20U;

/// Answers at once or after a delay, on the control thread.
kv_service::answer DelayedAnswer(asio::io_context& context, http::responder respond) {
  return [&context, respond = std::move(respond)](http::response out, core::milliseconds delay) {
    if (delay.count() == 0) {
      respond(std::move(out));
      return;
    }
    auto timer = std::make_shared<asio::steady_timer>(context, delay);
    timer->async_wait([timer, respond, out = std::move(out)](asio::error_code) { respond(out); });
  };
}

int Main(int argc, char** argv) {
  settings::reader source = program::OpenSettings(argc, argv, kUsage);
  http::server_options options;
  options.address = source.Text("address", "127.0.0.1");
  options.port = static_cast<std::uint16_t>(source.Number("port", {0, 65535}, 0));
  options.body_limit = kBodyLimitBytes;
  program::RequireValid(source);
  core::InitLogging("fake-platform", "platform");

  asio::io_context context;
  const core::system_clock time;
  kv_service service(time);
  http::server server(options, [&](http::request received, http::responder respond) {
    asio::post(context, [&, received = std::move(received), respond = std::move(respond)] {
      service.Handle(received, DelayedAnswer(context, respond));
    });
  });
  program::LogReady(fmt::format("http={}:{}", options.address, server.port()));
  program::RunUntilStopped(
      context, kTick, [&] { service.Tick(); }, [&] { context.stop(); });
  return 0;
}

}  // namespace
}  // namespace coltsfoot::fakes

int main(int argc, char** argv) { return coltsfoot::fakes::Main(argc, argv); }
