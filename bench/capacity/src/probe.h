#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

#include "harness/fleet.h"

namespace coltsfoot::capacity {

/// Mean rates per process of one role (entry or agent) over a window.
struct role_rates {
  double cpu_percent = 0;  ///< percent of one core, user and system time
  double cpu_percent_max = 0;
  double resident_mb = 0;  ///< at the end of the window, mean
  double resident_mb_max = 0;
  double udp_messages = 0;  ///< per second, both directions
  double udp_bytes = 0;
  double tcp_messages = 0;
  double tcp_bytes = 0;
};

/// Load of the key-value service over a window, per second. Bytes count only HTTP bodies.
struct store_rates {
  double writes = 0;
  double reads = 0;  ///< watches included
  double bytes = 0;
};

/// Results of one measurement window.
struct measurement {
  role_rates entry;
  role_rates agent;
  store_rates store;
};

/// Measures a fleet over a window, from the counters of its processes at the start and the end.
class probe {
 public:
  /// Starts the window.
  explicit probe(harness::fleet& fleet, std::size_t entries, std::size_t agents);
  /// Ends the window.
  measurement End();

 private:
  struct process_reading {
    double cpu_seconds = 0;
    double resident_mb = 0;
    double udp_messages = 0;
    double udp_bytes = 0;
    double tcp_messages = 0;
    double tcp_bytes = 0;
  };

  struct process_ref {
    pid_t pid = 0;
    std::string url;
  };

  std::vector<process_reading> Read(const std::vector<process_ref>& processes, bool cpu_first);
  process_reading ReadTraffic(const std::string& url);
  store_rates ReadStore();
  static role_rates Rates(const std::vector<process_reading>& from,
                          const std::vector<process_reading>& to, double seconds);

  harness::fleet& fleet_;
  std::vector<process_ref> entries_;
  std::vector<process_ref> agents_;
  std::vector<process_reading> entries_before_;
  std::vector<process_reading> agents_before_;
  store_rates store_before_;
  core::mono_time start_;
};

/// @return user plus system time of a process in seconds, from /proc/PID/stat; 0 if it cannot be
/// read.
double CpuSeconds(pid_t pid);

}  // namespace coltsfoot::capacity
