#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <mutex>
#include <string_view>
#include <vector>

namespace coltsfoot::entry {

/// @return whether the call submits a task. Such a call may wait for the next tick: the record of
/// the task is not appended before.
bool IsTaskSubmission(std::string_view method, std::string_view path);

/// Functions that other threads hand to the control thread. They run in the order in which they
/// came, several in one wakeup, because a wakeup costs more than most of them.
class control_queue {
 public:
  /// @param after_run called on the control thread after each batch.
  control_queue(asio::io_context& control, std::function<void()> after_run);
  ~control_queue();
  control_queue(const control_queue&) = delete;
  control_queue& operator=(const control_queue&) = delete;

  /// Runs `function` as soon as the control thread is free. Safe to call from any thread.
  void Post(std::function<void()> function);
  /// Runs `function` in the next `Run`, which may be that of the next tick, without a wakeup of its
  /// own. Safe to call from any thread.
  void Defer(std::function<void()> function);
  /// Runs all that is queued. Call on the control thread, also in each tick.
  void Run();
  /// Destroys what is queued without running it.
  void Clear();

 private:
  asio::io_context& control_;
  std::function<void()> after_run_;
  std::mutex mutex_;
  std::vector<std::function<void()>> functions_;
  bool wakeup_sent_ = false;
};

}  // namespace coltsfoot::entry
