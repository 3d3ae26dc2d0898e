#include "control_queue.h"

#include <asio/post.hpp>
#include <utility>

namespace coltsfoot::entry {

bool IsTaskSubmission(std::string_view method, std::string_view path) {
  return method == "POST" && path == "/v1/tasks";
}

control_queue::control_queue(asio::io_context& control, std::function<void()> after_run)
    : control_(control), after_run_(std::move(after_run)) {}

control_queue::~control_queue() = default;

void control_queue::Post(std::function<void()> function) {
  {
    const std::lock_guard lock(mutex_);
    functions_.push_back(std::move(function));
    if (std::exchange(wakeup_sent_, true)) return;
  }
  asio::post(control_, [this] { Run(); });
}

void control_queue::Defer(std::function<void()> function) {
  const std::lock_guard lock(mutex_);
  functions_.push_back(std::move(function));
}

void control_queue::Run() {
  std::vector<std::function<void()>> batch;
  {
    const std::lock_guard lock(mutex_);
    batch.swap(functions_);
    wakeup_sent_ = false;
  }
  if (batch.empty()) return;
  for (const auto& function : batch) function();
  after_run_();
}

void control_queue::Clear() {
  std::vector<std::function<void()>> batch;
  const std::lock_guard lock(mutex_);
  batch.swap(functions_);
}

}  // namespace coltsfoot::entry
