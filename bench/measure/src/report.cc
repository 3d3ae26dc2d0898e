#include "measure/report.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <functional>

namespace coltsfoot::measure {
namespace {

constexpr double kPanelHeight = 150;
constexpr double kPanelGap = 50;
constexpr double kLeft = 70;
constexpr double kTop = 50;
constexpr double kBarWidth = 16;
constexpr double kGroupGap = 30;
constexpr std::array<std::string_view, 4> kColours = {"#1b6ca8", "#c0c0c0", "#8f8f8f", "#5f5f5f"};

struct panel {
  std::string title;
  std::function<double(const run_result&)> value;
};

template <class Counts>
std::string CountsText(const Counts& counts) {
  std::string text;
  for (const auto& [name, count] : counts) {
    text += fmt::format("{}{} {}", text.empty() ? "" : ", ", name, count);
  }
  return text.empty() ? "none" : text;
}

std::string RequestOutcomes(const run_result& result) {
  std::string text;
  for (const auto& [code, count] : result.service.request_outcomes) {
    text += fmt::format("{}{} {}", text.empty() ? "" : ", ", ToString(code), count);
  }
  if (result.service.unanswered > 0) {
    text += fmt::format(", unanswered {}", result.service.unanswered);
  }
  return text;
}

std::string Row(const run_result& run) {
  if (!run.error.empty()) {
    return fmt::format("| {} | void: {} | | | | | | | |\n", run.policy, run.error);
  }
  const load::latency_summary& all = run.service.all;
  return fmt::format("| {} | {:.0f} | {:.0f} | {:.0f} | {:.2f} | {} | {} | {} | {:.0f} |\n",
                     run.policy, all.p50_ms, all.p99_ms, all.p999_ms, run.TasksPerSecond(),
                     run.Evictions(), run.wrong_answers, run.violations.size(),
                     run.service.late.p99_ms);
}

std::vector<std::string> Names(const std::vector<run_result>& results,
                               std::string run_result::*member) {
  std::vector<std::string> names;
  for (const run_result& run : results) {
    if (std::find(names.begin(), names.end(), run.*member) == names.end()) {
      names.push_back(run.*member);
    }
  }
  return names;
}

std::string Panel(const panel& what, double top, const std::vector<run_result>& results,
                  const std::vector<std::string>& scenarios,
                  const std::vector<std::string>& policies) {
  double greatest = 0;
  for (const run_result& run : results) greatest = std::max(greatest, what.value(run));
  const double scale = greatest > 0 ? kPanelHeight / greatest : 0;
  const double group = kBarWidth * static_cast<double>(policies.size()) + kGroupGap;
  std::string text = fmt::format("<text x=\"{}\" y=\"{}\" font-weight=\"bold\">{}</text>\n", kLeft,
                                 top - 8, what.title);
  text += fmt::format("<text x=\"{}\" y=\"{}\" text-anchor=\"end\">{:.4g}</text>\n", kLeft - 6,
                      top + 10, greatest);
  for (const run_result& run : results) {
    const auto at = std::find(scenarios.begin(), scenarios.end(), run.scenario) - scenarios.begin();
    const auto bar = std::find(policies.begin(), policies.end(), run.policy) - policies.begin();
    const double height = what.value(run) * scale;
    text += fmt::format(
        "<rect x=\"{:.1f}\" y=\"{:.1f}\" width=\"{}\" height=\"{:.1f}\" fill=\"{}\"/>\n",
        kLeft + static_cast<double>(at) * group + static_cast<double>(bar) * kBarWidth,
        top + kPanelHeight - height, kBarWidth - 2, height,
        kColours[static_cast<std::size_t>(bar) % kColours.size()]);
  }
  for (std::size_t index = 0; index < scenarios.size(); ++index) {
    text += fmt::format("<text x=\"{:.1f}\" y=\"{:.1f}\">{}</text>\n",
                        kLeft + static_cast<double>(index) * group, top + kPanelHeight + 15,
                        scenarios[index]);
  }
  return text;
}

}  // namespace

std::string ToMarkdown(const report_context& context, const std::vector<scenario>& scenarios,
                       const std::vector<run_result>& results) {
  const deployment& where = context.where;
  std::string text = fmt::format(
      "# Measurements of {}\n\nWritten by `{}` at {} on revision {}. Weights: tail latency {}, "
      "throughput {}, evictions {}. The policies of a scenario ran side by side, each on its own "
      "fleet, one run each. Load average of the machine before {:.1f}, after {:.1f} (the runs are "
      "part of it).\n\nLatencies are in ms, of requests with any outcome, from their intended "
      "time. Tasks are those that ended with `ok` within the run, of all classes. Wrong: answers "
      "that were wrong or cut. Violations: findings of the history checker. Late: p99 of how late "
      "the generator sent, in ms.\n",
      where.name, context.command, context.date, context.revision, where.tail_latency,
      where.throughput, where.evictions, context.load_before, context.load_after);
  for (const scenario& what : scenarios) {
    std::string outcomes;
    text += fmt::format(
        "\n## {}\n\n{}.\n\n| policy | p50 | p99 | p99.9 | tasks/s | evictions | wrong | violations "
        "| late |\n| --- | --: | --: | --: | --: | --: | --: | --: | --: |\n",
        what.name, what.description);
    for (const run_result& run : results) {
      if (run.scenario != what.name) continue;
      text += Row(run);
      outcomes +=
          fmt::format("- {}: requests {}; submissions {}; tasks {}; evictions {}; tasks lost {}\n",
                      run.policy, RequestOutcomes(run), CountsText(run.submissions),
                      CountsText(run.task_outcomes), CountsText(run.evictions), run.tasks_lost);
      for (const std::string& violation : run.violations) {
        outcomes += fmt::format("  - violation: {}\n", violation);
      }
    }
    text += "\nOutcomes by code:\n\n" + outcomes;
  }
  return text;
}

std::string ToSvg(const report_context& context, const std::vector<run_result>& results) {
  const std::vector<panel> panels = {
      {"service p99, ms", [](const run_result& run) { return run.service.all.p99_ms; }},
      {"tasks finished per second", [](const run_result& run) { return run.TasksPerSecond(); }},
      {"evictions", [](const run_result& run) { return static_cast<double>(run.Evictions()); }}};
  const auto scenarios = Names(results, &run_result::scenario);
  const auto policies = Names(results, &run_result::policy);
  const double group = kBarWidth * static_cast<double>(policies.size()) + kGroupGap;
  const double width = std::max(560.0, kLeft + static_cast<double>(scenarios.size()) * group);
  const double height = kTop + static_cast<double>(panels.size()) * (kPanelHeight + kPanelGap);
  std::string text = fmt::format(
      "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{0}\" height=\"{1}\" "
      "font-family=\"sans-serif\" font-size=\"11\">\n<rect width=\"{0}\" height=\"{1}\" "
      "fill=\"white\"/>\n<text x=\"{2}\" y=\"14\">{3}:</text>\n",
      width, height, kLeft, context.where.name);
  for (std::size_t index = 0; index < policies.size(); ++index) {
    text += fmt::format("<text x=\"{}\" y=\"14\" fill=\"{}\">{}</text>\n",
                        kLeft + 60 + 100 * static_cast<double>(index),
                        kColours[index % kColours.size()], policies[index]);
  }
  double top = kTop;
  for (const panel& what : panels) {
    text += Panel(what, top, results, scenarios, policies);
    top += kPanelHeight + kPanelGap;
  }
  return text + "</svg>\n";
}

}  // namespace coltsfoot::measure
