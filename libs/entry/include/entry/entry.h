#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "entry/options.h"

namespace coltsfoot::entry {

/// One entry process: serves callers and operators over HTTP, places tasks, and owns shards of the
/// task log. All state is confined to the thread that runs the control context.
class entry {
 public:
  /// Binds all sockets and starts the I/O threads.
  /// @param control context of the control thread; must outlive the entry.
  /// @throws std::exception if an address cannot be bound.
  entry(entry_options options, asio::io_context& control);
  ~entry();
  entry(const entry&) = delete;
  entry& operator=(const entry&) = delete;

  /// @return the bound endpoints as `key=value` pairs, for the log line `event=ready`.
  std::string Endpoints() const;
  /// Runs the periodic work of all components; call every `kTickPeriod` on the control thread.
  void Tick();
  /// Starts a graceful shutdown: refuses new work, finishes requests in progress, then releases the
  /// owned shards.
  /// @param done called once, on the control thread, when the attempt to release the
  /// shards has ended.
  void StartShutdown(std::function<void()> done);

  /// Period of `Tick`. While requests are in progress, the entry also runs a shorter timer of its
  /// own for their deadlines, retries and hedges.
  static constexpr core::milliseconds kTickPeriod{20};

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace coltsfoot::entry
