#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "entry/options.h"

namespace coltsfoot::entry {

/// One entry: serves callers and operators over HTTP, places tasks, and owns shards of the task
/// log. All state belongs to the thread that runs the control context.
class entry {
 public:
  /// Binds all sockets and starts the traffic threads.
  /// @param control context of the control thread; must outlive the entry.
  /// @throws std::exception if an address cannot be bound.
  entry(entry_options options, asio::io_context& control);
  ~entry();
  entry(const entry&) = delete;
  entry& operator=(const entry&) = delete;

  /// @return the bound endpoints, for the ready line.
  std::string Endpoints() const;
  /// Advances all systems; call every `kTickPeriod` on the control thread.
  void Tick();
  /// Starts a graceful shutdown: refuses new work, finishes requests in progress, hands the shards
  /// over.
  /// @param done runs once on the control thread.
  void StartShutdown(std::function<void()> done);

  /// While requests are in progress, the entry times them itself in shorter steps.
  static constexpr core::milliseconds kTickPeriod{20};

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace coltsfoot::entry
