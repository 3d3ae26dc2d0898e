#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "core/clock.h"

namespace coltsfoot::jobs {

/// Processors that filling tasks of one image used while a reading was taken.
struct filling_use {
  std::string image;
  double cores = 0;
  bool operator==(const filling_use&) const = default;
};

/// Learns which images of filling tasks make which images of serving tasks miss their goals. Each
/// reading of a serving task is evidence for or against the images beside it: a miss is blamed on
/// them by how suspect they are already, so that one harmful image clears the others.
class pair_risk {
 public:
  /// Takes the reading of one serving task.
  /// @param victim image of the serving task; @param load tail latency as a share of its goal.
  /// @param beside what filling tasks used meanwhile; may be empty.
  void Observe(const std::string& victim, double load, const std::vector<filling_use>& beside,
               core::mono_time now);
  /// @return the probability in (0, 1) that `image` makes `victim` miss its goal.
  double Risk(const std::string& victim, const std::string& image) const;
  void Clear() { pairs_.clear(); }

 private:
  struct evidence {
    double missed = 0;
    double met = 0;
    core::mono_time at;
  };

  std::map<std::pair<std::string, std::string>, evidence> pairs_;
};

}  // namespace coltsfoot::jobs
