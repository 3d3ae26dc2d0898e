#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "runner_fixture.h"

namespace coltsfoot::runner::testing {

/// A runner whose target may answer as several incarnations.
struct incarnation_fixture : runner_fixture {
  /// Answers a poll as the incarnation that started at a time.
  void AnswerAs(std::uint64_t started_ms, std::vector<jobs::ended_run> ended = {}) {
    target_lists lists{.clock_ms = 1000, .started_ms = started_ms};
    lists.ended = std::move(ended);
    scripted_target::AnswerNext(target.poll_answers, std::optional(lists));
  }

  /// Passes time in which each poll is answered with the same ends.
  void PassWithEnds(milliseconds duration, const std::vector<jobs::ended_run>& ended) {
    for (milliseconds passed{0}; passed < duration; passed += milliseconds{100}) {
      if (!target.poll_answers.empty()) Answer({}, ended);
      Pass(milliseconds{100});
    }
  }

  void AnnounceAs(std::uint64_t started_ms) {
    announcement.incarnation.started_ms = started_ms;
    agent.OnAnnouncement(announcement);
  }

  /// The target lists the end of run 1, and the coordinator has stored it.
  void ListStoredEnd() {
    IssueCommand(1);
    AnswerStart(TargetClock());
    Answer({}, {EndOne(57)});
    agent.OnGrant({.term = 5,
                   .echo_ms = core::ToMs(time.Now().time_since_epoch()),
                   .incarnation = announcement.incarnation,
                   .stored_end = 57});
    Pass(milliseconds{100});
    REQUIRE(LastPoll().stored_end == 57);
  }

  void AnswerStart(std::int64_t clock_ms) {
    scripted_target::AnswerNext(target.start_answers,
                                command_reply{.status = command_status::ok, .clock_ms = clock_ms});
  }

  bool HasConfirmed(std::uint64_t end) const {
    return std::any_of(target.polls_sent.begin(), target.polls_sent.end(),
                       [end](const poll_call& poll) { return poll.stored_end == end; });
  }

  const poll_call& LastPoll() const { return target.polls_sent.back(); }
  void FailPoll() { scripted_target::AnswerNext(target.poll_answers, poll_reply{}); }
  void RefusePoll() {
    poll_reply reply;
    reply.stale_fence = true;
    scripted_target::AnswerNext(target.poll_answers, reply);
  }
  void PassWithRefusedPolls(milliseconds duration) {
    for (milliseconds passed{0}; passed < duration; passed += milliseconds{50}) {
      if (!target.poll_answers.empty()) RefusePoll();
      Pass(milliseconds{50});
    }
  }

  static jobs::ended_run EndOne(std::uint64_t number) {
    return {.number = number, .task = Run(1).task, .run = 1};
  }
};

}  // namespace coltsfoot::runner::testing
