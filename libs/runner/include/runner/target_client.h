#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "jobs/messages.h"

/// The agent's side of jobs: carries a coordinator's commands out at the target on the same host.
namespace coltsfoot::runner {

/// What a target says about itself from time to time.
struct target_announcement {
  jobs::target_incarnation incarnation;
  std::string service;
  std::string zone;
  std::vector<std::string> labels;
  core::resources capacity;
  bool draining = false;
  std::uint64_t sequence = 0;  ///< rises within one incarnation
  std::string address;         ///< IP:PORT; empty: as in the settings
  bool operator==(const target_announcement&) const = default;
};

struct start_call {
  jobs::run_id run;
  std::string payload;
  std::string checkpoint;
  std::uint64_t fence = 0;
  std::int64_t lease_until_ms = 0;  ///< on the target's clock
  std::string target;               ///< incarnation that the command is for
  bool operator==(const start_call&) const = default;
};

/// Most ends that a target lists at a time: the oldest ones that are not confirmed.
inline constexpr std::size_t kMaxListedEnds = 500;

/// Outcome of a command.
enum class command_status : std::uint8_t {
  ok,
  refused,            ///< `refusal` says why; nothing was done
  other_incarnation,  ///< another incarnation of the target answered; nothing was done
  not_sent,           ///< no connection, so nothing reached the target
  unknown,            ///< no answer; the target may carry it out, now or later
};

struct command_reply {
  command_status status = command_status::unknown;
  jobs::start_refusal refusal = jobs::start_refusal::not_sent;
  std::optional<std::int64_t> clock_ms;  ///< target's clock when it answered
  bool operator==(const command_reply&) const = default;
};

struct poll_call {
  std::uint64_t fence = 0;
  std::optional<std::int64_t> lease_until_ms;  ///< extends the lease of all that runs
  std::uint64_t stored_end = 0;                ///< ends up to this number may be forgotten
  core::milliseconds wait{0};                  ///< for an end
  bool operator==(const poll_call&) const = default;
};

/// Whole lists of a target. Empty optional in `Poll`: no usable answer.
struct target_lists {
  std::int64_t clock_ms = 0;
  std::optional<std::uint64_t> started_ms;
  std::vector<jobs::running_task> running;
  std::vector<jobs::ended_run> ended;
  bool operator==(const target_lists&) const = default;
};

/// Calls to the target. Each handler runs once on the control thread, never from within the call.
/// Mocked in tests.
class target_client {
 public:
  virtual ~target_client() = default;
  virtual void SetAddress(const std::string& address) = 0;
  virtual void Start(const start_call& call, std::function<void(command_reply)> done) = 0;
  virtual void Stop(const jobs::run_id& run, std::uint64_t fence, const std::string& target,
                    std::function<void(command_reply)> done) = 0;
  virtual void Pace(const jobs::run_id& run, std::uint32_t percent, std::uint64_t fence,
                    const std::string& target, std::function<void(command_reply)> done) = 0;
  virtual void Poll(const poll_call& call, const std::string& target,
                    std::function<void(std::optional<target_lists>)> done) = 0;
};

}  // namespace coltsfoot::runner
