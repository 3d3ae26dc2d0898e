#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/clock.h"
#include "jobs/messages.h"

/// The agent's part of job scheduling: executes a coordinator's commands at the target on the same
/// host.
namespace coltsfoot::runner {

/// Properties that a target announces periodically.
struct target_announcement {
  jobs::target_incarnation incarnation;
  std::string service;
  std::string zone;
  std::vector<std::string> labels;
  core::resources capacity;
  bool draining = false;
  std::uint64_t sequence = 0;  ///< increases within an incarnation
  std::string address;         ///< IP:PORT; empty: address from the settings
  bool operator==(const target_announcement&) const = default;
};

/// Request to start a run.
struct start_call {
  jobs::run_id run;
  std::string payload;
  std::string checkpoint;
  std::uint64_t fence = 0;
  std::int64_t lease_until_ms = 0;  ///< end of the lease on the target's clock
  std::string target;               ///< incarnation that the command is for
  bool operator==(const start_call&) const = default;
};

/// Result of a command.
enum class command_status : std::uint8_t {
  ok,
  refused,            ///< not executed; `refusal` holds the reason
  other_incarnation,  ///< not executed: another incarnation of the target answered
  not_sent,           ///< no connection; nothing reached the target
  unknown,            ///< no answer; the target may execute it now or later
};

/// Answer to a command.
struct command_reply {
  command_status status = command_status::unknown;
  jobs::start_refusal refusal = jobs::start_refusal::not_sent;
  std::optional<std::int64_t> clock_ms;  ///< the target's clock at the answer
  bool operator==(const command_reply&) const = default;
};

/// Request for the lists of a target; also extends the lease and confirms stored ends.
struct poll_call {
  std::uint64_t fence = 0;
  std::optional<std::int64_t> lease_until_ms;  ///< new end of the lease of all runs
  std::uint64_t stored_end = 0;                ///< ends up to this number may be dropped
  core::milliseconds wait{0};                  ///< maximum wait of the target for an end
  bool operator==(const poll_call&) const = default;
};

/// Complete lists of a target's running and ended tasks.
struct target_lists {
  std::int64_t clock_ms = 0;
  std::optional<std::uint64_t> started_ms;
  std::vector<jobs::running_task> running;
  std::vector<jobs::ended_run> ended;
  bool operator==(const target_lists&) const = default;
};

/// Answer to a poll.
struct poll_reply {
  poll_reply() = default;
  // NOLINTNEXTLINE(google-explicit-constructor): lists are what a poll is for
  poll_reply(std::optional<target_lists> read) : lists(std::move(read)) {}

  std::optional<target_lists> lists;  ///< nothing: there was no usable answer
  bool stale_fence = false;           ///< the target has seen a higher fencing token
  bool other_name = false;            ///< a target of another name has answered
  bool operator==(const poll_reply&) const = default;
};

/// Sends calls to the target. Each handler runs exactly once on the control thread, never from
/// within the call. Mocked in tests.
class target_client {
 public:
  virtual ~target_client() = default;
  virtual void SetAddress(const std::string& address) = 0;
  virtual void Start(const start_call& call, std::function<void(command_reply)> done) = 0;
  virtual void Stop(const jobs::run_id& run, std::uint64_t fence, const std::string& target,
                    std::function<void(command_reply)> done) = 0;
  /// @param percent share of full speed at which the run may work.
  virtual void Pace(const jobs::run_id& run, std::uint32_t percent, std::uint64_t fence,
                    const std::string& target, std::function<void(command_reply)> done) = 0;
  /// Reads the target's lists.
  virtual void Poll(const poll_call& call, const std::string& target,
                    std::function<void(poll_reply)> done) = 0;
};

}  // namespace coltsfoot::runner
