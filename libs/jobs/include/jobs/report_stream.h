#pragma once

#include <cereal/types/optional.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/error.h"
#include "jobs/messages.h"

/// Reports of an agent as changes against the report before on the same connection. Most of a whole
/// report says what the coordinator knows: which target it is and what runs there.
namespace coltsfoot::jobs {

/// The part of a report that hardly ever changes.
struct worker_identity {
  std::string agent;
  std::uint64_t agent_incarnation = 0;
  target_incarnation incarnation;
  std::string service;
  std::string zone;
  std::vector<std::string> labels;
  core::resources capacity;
  bool operator==(const worker_identity&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(agent, agent_incarnation, incarnation, service, zone, labels, capacity);
  }
};

/// What changed of a running task; it is named by its place in the list before.
struct running_change {
  std::uint32_t row = 0;
  std::uint32_t progress = 0;
  std::uint32_t reading = 0;
  std::uint32_t pace = 100;
  std::optional<std::string> checkpoint;  ///< if it changed
  bool operator==(const running_change&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(row, progress, reading, pace, checkpoint);
  }
};

/// Agent to coordinator. Fields that `worker_report` has as well mean the same.
struct worker_changes {
  static constexpr auto kType = wire::message_type::worker_changes;
  std::uint64_t sequence = 0;               ///< 1 for the first of a connection, then one more each
  std::optional<worker_identity> identity;  ///< if it changed; the first has one
  std::uint64_t term = 0;
  std::int64_t sent_ms = 0;
  std::uint64_t commands_seen = 0;
  target_state state = target_state::unknown;
  bool listed = false;
  std::vector<std::uint32_t> gone;  ///< rows of the list before, ascending
  std::vector<running_change> changed;
  std::vector<running_task> added;  ///< behind those that stay
  std::uint32_t digest = 0;         ///< of the running tasks after the changes
  std::vector<run_id> starting;
  std::uint64_t first_unstored = 0;  ///< ends with lower numbers are confirmed
  std::vector<ended_run> ended;      ///< that were not sent before on this connection
  std::vector<refused_run> refused;
  bool operator==(const worker_changes&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(sequence, identity, term, sent_ms, commands_seen, state, listed, gone, changed, added,
            digest, starting, first_unstored, ended, refused);
  }
};

/// Turns the reports of one connection into changes.
class report_encoder {
 public:
  /// @return the changes since the last report; the whole report if it is the first.
  worker_changes Encode(const worker_report& report);

 private:
  void EncodeRunning(const worker_report& report, worker_changes& out);

  std::uint64_t sequence_ = 0;
  worker_identity identity_;
  std::vector<running_task> running_;  ///< as the decoder has them
  std::uint64_t last_ended_ = 0;
};

/// Turns the changes of one connection back into whole reports.
class report_decoder {
 public:
  /// @return the report, or nothing with `decode_error` if the changes do not follow from what was
  /// received: the connection has to be replaced, which begins with a whole report.
  std::optional<worker_report> Decode(const worker_changes& changes, core::last_error& error);

 private:
  bool DecodeRunning(const worker_changes& changes);

  std::uint64_t sequence_ = 0;
  worker_identity identity_;
  std::vector<running_task> running_;
  std::vector<ended_run> ended_;
};

}  // namespace coltsfoot::jobs
