#pragma once

#include "simulated_target.h"

namespace coltsfoot::simulation {

/// What may go wrong in a simulation.
struct fault_mix {
  command_faults commands;
  bool agents_restart = false;
  bool coordinator_is_replaced = false;
  bool connections_fail = false;
  bool targets_crash = false;
  bool targets_keep_names = false;
  bool targets_cut_off = false;        ///< a target that crashes gets no calls for up to 10 s
  milliseconds announcement_delay{0};  ///< longest time from a target's start to its announcement
  bool targets_drain = false;
  bool zones_evacuated = false;  ///< each worker is in a zone of its own
};

/// Half of the commands get no answer; most of these are executed seconds later.
inline constexpr command_faults kLateCommands{.refused = 0, .unanswered = 0.1, .delayed = 0.4};
/// As above, and some polls are late as well.
inline constexpr command_faults kLateCalls{
    .refused = 0, .unanswered = 0.1, .delayed = 0.4, .polls_delayed = 0.1};
/// Some commands are refused.
inline constexpr command_faults kRefusedLateCommands{
    .refused = 0.2, .unanswered = 0.1, .delayed = 0.4};
inline constexpr milliseconds kLateAnnouncement{1000};

/// Faults of targets that restart under their names.
inline constexpr fault_mix kKeptNames{
    .commands = kLateCommands, .targets_crash = true, .targets_keep_names = true};
inline constexpr fault_mix kKeptNamesLateAnnouncements{.commands = kLateCalls,
                                                       .targets_crash = true,
                                                       .targets_keep_names = true,
                                                       .announcement_delay = kLateAnnouncement};
inline constexpr fault_mix kKeptNamesOthersReplaced{.commands = kLateCalls,
                                                    .agents_restart = true,
                                                    .coordinator_is_replaced = true,
                                                    .targets_crash = true,
                                                    .targets_keep_names = true,
                                                    .announcement_delay = kLateAnnouncement};

/// Targets that restart while they are cut off, so that agents count them as gone.
inline constexpr fault_mix kKeptNamesCutOff{.commands = kLateCommands,
                                            .targets_crash = true,
                                            .targets_keep_names = true,
                                            .targets_cut_off = true};
/// As above, with refusals.
inline constexpr fault_mix kKeptNamesCutOffRefusals{.commands = kRefusedLateCommands,
                                                    .targets_crash = true,
                                                    .targets_keep_names = true,
                                                    .targets_cut_off = true};

/// Submits and cancels jobs while faults happen, once for each of many seeds. Checks that no task
/// runs twice and that all jobs that were not cancelled complete.
void CheckSeeds(const fault_mix& mix);
/// As above, but checks that no call takes effect in a later incarnation of its target than it was
/// sent to, once the agent has reached that one, and that the jobs complete.
void CheckLateEffects(const fault_mix& mix);

}  // namespace coltsfoot::simulation
