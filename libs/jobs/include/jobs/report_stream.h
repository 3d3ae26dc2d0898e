#pragma once

#include <cereal/types/optional.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/error.h"
#include "jobs/messages.h"

/// Delta encoding of an agent's reports against the previous report on the same connection. Most of
/// a full report repeats what the coordinator knows: the identity of the target and its tasks.
namespace coltsfoot::jobs {

/// The part of a report that rarely changes.
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

/// Changes of a running task, which is identified by its index in the previous list.
struct running_change {
  std::uint32_t row = 0;
  std::uint32_t progress = 0;
  std::uint32_t reading = 0;
  std::uint32_t pace = 100;
  std::optional<std::string> checkpoint;  ///< set if it changed
  bool operator==(const running_change&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(row, progress, reading, pace, checkpoint);
  }
};

/// Agent to coordinator: a `worker_report` as a delta. Fields of the same name mean the same.
struct worker_changes {
  static constexpr auto kType = wire::message_type::worker_changes;
  std::uint64_t sequence = 0;  ///< 1 for the first message of a connection, then consecutive
  std::optional<worker_identity> identity;  ///< set if it changed, and in the first message
  std::uint64_t term = 0;
  std::int64_t sent_ms = 0;
  std::uint64_t commands_seen = 0;
  target_state state = target_state::unknown;
  bool listed = false;
  bool ends_omitted = false;
  std::vector<std::uint32_t> removed;  ///< rows of the previous list, ascending
  std::vector<running_change> changed;
  std::vector<running_task> added;  ///< appended after those that remain
  std::uint32_t digest = 0;  ///< of the running tasks after the changes, to detect divergence
  std::vector<run_id> starting;
  std::uint64_t first_unstored = 0;  ///< ends with lower numbers are confirmed as stored
  std::vector<ended_run> ended;      ///< those not yet sent on this connection
  std::vector<refused_run> refused;
  std::vector<crashed_run> crashed;
  bool operator==(const worker_changes&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(sequence, identity, term, sent_ms, commands_seen, state, listed, ends_omitted, removed,
            changed, added, digest, starting, first_unstored, ended, refused, crashed);
  }
};

/// Encodes the reports of one connection as changes.
class report_encoder {
 public:
  /// @return the changes since the last report; for the first report, all of it.
  worker_changes Encode(const worker_report& report);

 private:
  void EncodeRunning(const worker_report& report, worker_changes& out);

  std::uint64_t sequence_ = 0;
  worker_identity identity_;
  std::vector<running_task> running_;  ///< in the order of the decoder's list
  std::uint64_t last_ended_ = 0;
};

/// Reconstructs full reports from the changes received on one connection.
class report_decoder {
 public:
  /// @return the report, or nothing with `decode_error` in `error` if the changes do not apply to
  /// the reports received so far. The connection then has to be replaced; a new one starts with a
  /// full report.
  std::optional<worker_report> Decode(const worker_changes& changes, core::last_error& error);

 private:
  bool DecodeRunning(const worker_changes& changes);

  std::uint64_t sequence_ = 0;
  worker_identity identity_;
  std::vector<running_task> running_;
  std::vector<ended_run> ended_;
};

}  // namespace coltsfoot::jobs
