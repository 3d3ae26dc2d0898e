#include "core/logging.h"

#include <spdlog/sinks/stdout_sinks.h>

#include <memory>
#include <string>

namespace coltsfoot::core {

void InitLogging(std::string_view program, std::string_view id) {
  auto logger = std::make_shared<spdlog::logger>("coltsfoot",
                                                 std::make_shared<spdlog::sinks::stderr_sink_mt>());
  logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%e level=%l program=" + std::string(program) +
                      " id=" + std::string(id) + " %v");
  logger->flush_on(spdlog::level::info);
  spdlog::set_default_logger(std::move(logger));
}

}  // namespace coltsfoot::core
