#include "core/logging.h"

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <memory>
#include <string>

namespace coltsfoot::core {
namespace {

// About 200 KB, a few seconds of output of the busiest process.
constexpr std::size_t kLogQueueCapacity = 1024;

std::string Pattern(std::string_view program, std::string_view id) {
  return "time=%Y-%m-%dT%H:%M:%S.%e level=%l program=" + std::string(program) +
         " id=" + std::string(id) + " %v";
}

}  // namespace

void InitLogging(std::string_view program, std::string_view id) {
  auto logger = std::make_shared<spdlog::logger>("coltsfoot",
                                                 std::make_shared<spdlog::sinks::stderr_sink_mt>());
  logger->set_pattern(Pattern(program, id));
  logger->flush_on(spdlog::level::info);
  spdlog::set_default_logger(std::move(logger));
}

void InitAsyncLogging(std::string_view program, std::string_view id) {
  spdlog::init_thread_pool(kLogQueueCapacity, 1);
  auto logger = std::make_shared<spdlog::async_logger>(
      "coltsfoot", std::make_shared<spdlog::sinks::stdout_sink_mt>(), spdlog::thread_pool(),
      spdlog::async_overflow_policy::overrun_oldest);
  logger->set_pattern(Pattern(program, id));
  logger->flush_on(spdlog::level::info);
  spdlog::set_default_logger(std::move(logger));
}

std::uint64_t DroppedLogLines() {
  const auto pool = spdlog::thread_pool();
  return pool ? pool->overrun_counter() : 0;
}

}  // namespace coltsfoot::core
