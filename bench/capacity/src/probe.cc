#include "probe.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace coltsfoot::capacity {
namespace {

// Number of fields in /proc/PID/stat between the process name in parentheses and utime, which stime
// follows.
constexpr int kFieldsBeforeUserTime = 11;
constexpr double kKilobytesPerMegabyte = 1024;
constexpr double kPercent = 100;

std::string ReadFile(const std::string& path) {
  std::ifstream in(path);
  std::ostringstream out;
  out << in.rdbuf();
  return std::move(out).str();
}

double ResidentMb(pid_t pid) {
  std::istringstream status(ReadFile("/proc/" + std::to_string(pid) + "/status"));
  for (std::string line; std::getline(status, line);) {
    double kilobytes = 0;
    if (line.starts_with("VmRSS:")) {
      std::istringstream(line.substr(line.find(':') + 1)) >> kilobytes;
      return kilobytes / kKilobytesPerMegabyte;
    }
  }
  return 0;
}

core::mono_time Now() { return core::system_clock().Now(); }

}  // namespace

double CpuSeconds(pid_t pid) {
  const std::string stat = ReadFile("/proc/" + std::to_string(pid) + "/stat");
  const std::size_t name_end = stat.rfind(')');
  if (name_end == std::string::npos) return 0;
  std::istringstream fields(stat.substr(name_end + 1));
  std::string skipped;
  for (int i = 0; i < kFieldsBeforeUserTime; ++i) fields >> skipped;
  double user = 0;
  double system = 0;
  fields >> user >> system;
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

probe::probe(harness::fleet& fleet, std::size_t entries, std::size_t agents) : fleet_(fleet) {
  for (std::size_t i = 0; i < entries; ++i) {
    entries_.push_back({fleet.entry_process(i).pid(), fleet.Entry(i)});
  }
  for (std::size_t i = 0; i < agents; ++i) {
    agents_.push_back({fleet.agent_process(i).pid(), fleet.Agent(i)});
  }
  store_before_ = ReadStore();
  agents_before_ = Read(agents_, false);
  entries_before_ = Read(entries_, false);
  start_ = Now();
}

measurement probe::End() {
  const double seconds = std::chrono::duration<double>(Now() - start_).count();
  const auto entries = Read(entries_, true);
  const auto agents = Read(agents_, true);
  const store_rates store = ReadStore();
  measurement out;
  out.entry = Rates(entries_before_, entries, seconds);
  out.agent = Rates(agents_before_, agents, seconds);
  out.store = {(store.writes - store_before_.writes) / seconds,
               (store.reads - store_before_.reads) / seconds,
               (store.bytes - store_before_.bytes) / seconds};
  return out;
}

// At the start of a window CPU time is read after the counters and at its end before them, so that
// the calls to /metrics do not count as CPU time of the window.
std::vector<probe::process_reading> probe::Read(const std::vector<process_ref>& processes,
                                                bool cpu_first) {
  std::vector<process_reading> out(processes.size());
  const auto read_cpu = [&] {
    for (std::size_t i = 0; i < processes.size(); ++i) {
      out[i].cpu_seconds = CpuSeconds(processes[i].pid);
      out[i].resident_mb = ResidentMb(processes[i].pid);
    }
  };
  const auto read_traffic = [&] {
    for (std::size_t i = 0; i < processes.size(); ++i) {
      process_reading traffic = ReadTraffic(processes[i].url);
      traffic.cpu_seconds = out[i].cpu_seconds;
      traffic.resident_mb = out[i].resident_mb;
      out[i] = traffic;
    }
  };
  if (cpu_first) {
    read_cpu();
    read_traffic();
  } else {
    read_traffic();
    read_cpu();
  }
  return out;
}

probe::process_reading probe::ReadTraffic(const std::string& url) {
  process_reading out;
  const auto result = fleet_.calls().Call("GET", url + "/metrics");
  if (!result.answer) return out;
  for (const absl::string_view line : absl::StrSplit(result.answer->body, '\n')) {
    const std::string text(line);
    if (!text.starts_with("coltsfoot_wire_")) continue;
    double value = 0;
    if (!absl::SimpleAtod(text.substr(text.rfind(' ') + 1), &value)) continue;
    const bool udp = text.find("protocol=\"udp\"") != std::string::npos;
    const bool bytes = text.starts_with("coltsfoot_wire_bytes");
    if (bytes) {
      (udp ? out.udp_bytes : out.tcp_bytes) += value;
    } else {
      (udp ? out.udp_messages : out.tcp_messages) += value;
    }
  }
  return out;
}

store_rates probe::ReadStore() {
  const auto result = fleet_.calls().Call("GET", fleet_.Store() + "/admin/stats");
  if (!result.answer) return {};
  const auto stats = nlohmann::json::parse(result.answer->body, nullptr, false);
  if (!stats.is_object()) return {};
  return {stats.value("writes", 0.0), stats.value("reads", 0.0),
          stats.value("bytes_in", 0.0) + stats.value("bytes_out", 0.0)};
}

role_rates probe::Rates(const std::vector<process_reading>& from,
                        const std::vector<process_reading>& to, double seconds) {
  role_rates out;
  if (to.empty()) return out;
  for (std::size_t i = 0; i < to.size(); ++i) {
    const double cpu = (to[i].cpu_seconds - from[i].cpu_seconds) / seconds * kPercent;
    out.cpu_percent += cpu;
    out.cpu_percent_max = std::max(out.cpu_percent_max, cpu);
    out.resident_mb += to[i].resident_mb;
    out.resident_mb_max = std::max(out.resident_mb_max, to[i].resident_mb);
    out.udp_messages += (to[i].udp_messages - from[i].udp_messages) / seconds;
    out.udp_bytes += (to[i].udp_bytes - from[i].udp_bytes) / seconds;
    out.tcp_messages += (to[i].tcp_messages - from[i].tcp_messages) / seconds;
    out.tcp_bytes += (to[i].tcp_bytes - from[i].tcp_bytes) / seconds;
  }
  const auto count = static_cast<double>(to.size());
  for (double* value : {&out.cpu_percent, &out.resident_mb, &out.udp_messages, &out.udp_bytes,
                        &out.tcp_messages, &out.tcp_bytes}) {
    *value /= count;
  }
  return out;
}

}  // namespace coltsfoot::capacity
