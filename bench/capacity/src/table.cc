#include "table.h"

#include <fmt/format.h>

#include <algorithm>

namespace coltsfoot::capacity {
namespace {

struct column {
  const char* title;
  double (*value)(const measurement&);
};

constexpr column kColumns[] = {
    {"entry CPU %", [](const measurement& m) { return m.entry.cpu_percent; }},
    {"entry CPU % max", [](const measurement& m) { return m.entry.cpu_percent_max; }},
    {"entry MB", [](const measurement& m) { return m.entry.resident_mb; }},
    {"entry UDP msg/s", [](const measurement& m) { return m.entry.udp_messages; }},
    {"entry UDP B/s", [](const measurement& m) { return m.entry.udp_bytes; }},
    {"entry TCP msg/s", [](const measurement& m) { return m.entry.tcp_messages; }},
    {"entry TCP B/s", [](const measurement& m) { return m.entry.tcp_bytes; }},
    {"agent CPU %", [](const measurement& m) { return m.agent.cpu_percent; }},
    {"agent CPU % max", [](const measurement& m) { return m.agent.cpu_percent_max; }},
    {"agent MB", [](const measurement& m) { return m.agent.resident_mb; }},
    {"agent UDP msg/s", [](const measurement& m) { return m.agent.udp_messages; }},
    {"agent UDP B/s", [](const measurement& m) { return m.agent.udp_bytes; }},
    {"agent TCP msg/s", [](const measurement& m) { return m.agent.tcp_messages; }},
    {"agent TCP B/s", [](const measurement& m) { return m.agent.tcp_bytes; }},
    {"store writes/s", [](const measurement& m) { return m.store.writes; }},
    {"store reads/s", [](const measurement& m) { return m.store.reads; }},
    {"store B/s", [](const measurement& m) { return m.store.bytes; }},
};

std::string SlopeText(const series& measured, const column& col) {
  const auto& points = measured.points;
  if (points.size() < 2) return "";
  double mean_x = 0;
  double mean_y = 0;
  for (const auto& [size, point] : points) {
    mean_x += size / static_cast<double>(points.size());
    mean_y += col.value(point) / static_cast<double>(points.size());
  }
  double covariance = 0;
  double variance = 0;
  std::vector<double> steps;
  for (std::size_t i = 0; i < points.size(); ++i) {
    const double distance = points[i].first - mean_x;
    covariance += distance * (col.value(points[i].second) - mean_y);
    variance += distance * distance;
    if (i == 0) continue;
    steps.push_back((col.value(points[i].second) - col.value(points[i - 1].second)) /
                    (points[i].first - points[i - 1].first));
  }
  const auto [low, high] = std::minmax_element(steps.begin(), steps.end());
  return fmt::format("{:.3g} [{:.3g}..{:.3g}]", covariance / variance, *low, *high);
}

}  // namespace

std::string ToMarkdown(const series& measured) {
  std::string out = fmt::format("\n### {}\n\n| {} |", measured.title, measured.quantity);
  for (const column& col : kColumns) out += fmt::format(" {} |", col.title);
  out += "\n| --- |";
  for ([[maybe_unused]] const column& col : kColumns) out += " --- |";
  for (const auto& [size, point] : measured.points) {
    out += fmt::format("\n| {:g} |", size);
    for (const column& col : kColumns) out += fmt::format(" {:.4g} |", col.value(point));
  }
  out += "\n| slope |";
  for (const column& col : kColumns) out += fmt::format(" {} |", SlopeText(measured, col));
  return out + "\n";
}

}  // namespace coltsfoot::capacity
