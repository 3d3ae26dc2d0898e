#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <mutex>
#include <string_view>
#include <vector>

namespace coltsfoot::entry {

/// @return true if the call submits a task. Such a call may be deferred to the next tick, because
/// the log record of the task is not appended earlier.
bool IsTaskSubmission(std::string_view method, std::string_view path);

/// Queue of functions that other threads submit to the control thread. The functions run in FIFO
/// order and in batches, because a wakeup of the thread costs more than most of them.
class control_queue {
 public:
  /// @param after_run called on the control thread after each batch.
  control_queue(asio::io_context& control, std::function<void()> after_run);
  ~control_queue();
  control_queue(const control_queue&) = delete;
  control_queue& operator=(const control_queue&) = delete;

  /// Runs `function` as soon as the control thread is free. Safe to call from any thread.
  void Post(std::function<void()> function);
  /// Runs `function` in the next `Run`, at the latest that of the next tick, without waking the
  /// control thread. Safe to call from any thread.
  void Defer(std::function<void()> function);
  /// Runs all queued functions. Call on the control thread, at least once in each tick.
  void Run();
  /// Destroys the queued functions without running them.
  void Clear();

 private:
  asio::io_context& control_;
  std::function<void()> after_run_;
  std::mutex mutex_;
  std::vector<std::function<void()>> functions_;
  bool wakeup_sent_ = false;
};

}  // namespace coltsfoot::entry
