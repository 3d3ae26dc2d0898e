#include "measure/report.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

#include "measure/summary.h"

namespace coltsfoot::measure {
namespace {

constexpr double kPanelHeight = 150;
constexpr double kPanelGap = 50;
constexpr double kLeftMargin = 70;
constexpr double kTopMargin = 50;
constexpr double kBarWidth = 16;
constexpr double kGroupGap = 30;
constexpr std::array<std::string_view, 4> kColours = {"#1b6ca8", "#c0c0c0", "#8f8f8f", "#5f5f5f"};

struct panel {
  std::string title;
  std::string quantity;
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

std::string SpreadText(const spread& value, int digits) {
  if (value.min == value.max) return fmt::format("{:.{}f}", value.median, digits);
  return fmt::format("{:.{}f} [{:.{}f}..{:.{}f}]", value.median, digits, value.min, digits,
                     value.max, digits);
}

std::string Row(const std::vector<run_result>& results, const std::string& scenario,
                const std::string& policy) {
  const std::vector<const run_result*> runs = RunsOf(results, scenario, policy);
  std::string text = fmt::format("| {} |", policy);
  for (const measured_quantity& quantity : Quantities()) {
    std::vector<double> values;
    values.reserve(runs.size());
    for (const run_result* run : runs) values.push_back(quantity.value(*run));
    text += fmt::format(" {} |", SpreadText(SpreadOf(std::move(values)), quantity.digits));
  }
  std::uint64_t wrong = 0;
  std::size_t violations = 0;
  double late = 0;
  for (const run_result* run : runs) {
    wrong += run->wrong_answers;
    violations += run->violations.size();
    late = std::max(late, run->service.send_delay.p99_ms);
  }
  return text + fmt::format(" {} | {} | {} | {:.0f} |\n", runs.size(), wrong, violations, late);
}

std::string TableHead() {
  std::string head = "| policy |";
  std::string rule = "| --- |";
  for (const measured_quantity& quantity : Quantities()) {
    head += fmt::format(" {} |", quantity.name);
    rule += " --: |";
  }
  return head + " runs | wrong | violations | late |\n" + rule + " --: | --: | --: | --: |\n";
}

std::string Outcomes(const run_result& run) {
  if (!run.error.empty()) {
    return fmt::format("- {}, seed {}: invalid run: {}\n", run.policy, run.seed, run.error);
  }
  std::string text = fmt::format(
      "- {}, seed {}: requests {}; submissions {}; tasks {}; evictions {}; tasks lost {}\n",
      run.policy, run.seed, RequestOutcomes(run), CountsText(run.submissions),
      CountsText(run.task_outcomes), CountsText(run.evictions), run.tasks_lost);
  for (const std::string& violation : run.violations) {
    text += fmt::format("  - violation: {}\n", violation);
  }
  return text;
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

const measured_quantity& QuantityOf(const std::string& name) {
  const auto& all = Quantities();
  return *std::find_if(all.begin(), all.end(),
                       [&](const measured_quantity& quantity) { return quantity.name == name; });
}

/// Draws one bar per policy and scenario: the median, with a line from the minimum to the maximum.
std::string Panel(const panel& spec, double top, const std::vector<run_result>& results,
                  const std::vector<std::string>& scenarios,
                  const std::vector<std::string>& policies) {
  const measured_quantity& quantity = QuantityOf(spec.quantity);
  double max = 0;
  for (const run_result& run : results) max = std::max(max, quantity.value(run));
  const double scale = max > 0 ? kPanelHeight / max : 0;
  const double bottom = top + kPanelHeight;
  const double group = kBarWidth * static_cast<double>(policies.size()) + kGroupGap;
  std::string text = fmt::format("<text x=\"{}\" y=\"{}\" font-weight=\"bold\">{}</text>\n",
                                 kLeftMargin, top - 8, spec.title);
  text += fmt::format("<text x=\"{}\" y=\"{}\" text-anchor=\"end\">{:.4g}</text>\n",
                      kLeftMargin - 6, top + 10, max);
  for (std::size_t at = 0; at < scenarios.size(); ++at) {
    const double left = kLeftMargin + static_cast<double>(at) * group;
    for (std::size_t bar = 0; bar < policies.size(); ++bar) {
      std::vector<double> values;
      for (const run_result* run : RunsOf(results, scenarios[at], policies[bar])) {
        values.push_back(quantity.value(*run));
      }
      const spread shown = SpreadOf(std::move(values));
      const double x = left + static_cast<double>(bar) * kBarWidth;
      text += fmt::format(
          "<rect x=\"{:.1f}\" y=\"{:.1f}\" width=\"{}\" height=\"{:.1f}\" fill=\"{}\"/>\n", x,
          bottom - shown.median * scale, kBarWidth - 2, shown.median * scale,
          kColours[bar % kColours.size()]);
      text += fmt::format(
          "<line x1=\"{0:.1f}\" x2=\"{0:.1f}\" y1=\"{1:.1f}\" y2=\"{2:.1f}\" stroke=\"black\"/>\n",
          x + kBarWidth / 2 - 1, bottom - shown.min * scale, bottom - shown.max * scale);
    }
    text += fmt::format("<text x=\"{:.1f}\" y=\"{:.1f}\">{}</text>\n", left, bottom + 15,
                        scenarios[at]);
  }
  return text;
}

/// @return a table of the number of seeds in which the first policy was better than, equal to or
/// worse than each other policy.
std::string ComparisonTable(const deployment& setup, const std::vector<run_result>& results) {
  const auto policies = Names(results, &run_result::policy);
  if (policies.size() < 2) return "";
  std::string text = fmt::format(
      "\n## {} against each baseline\n\nSeeds in which {} was better/equal/worse than the "
      "baseline in a run with the same calls at the same time. Quantities with the largest "
      "weights of this deployment are in bold.\n\n| scenario | quantity |",
      policies.front(), policies.front());
  std::string rule = "| --- | --- |";
  for (std::size_t index = 1; index < policies.size(); ++index) {
    text += fmt::format(" {} |", policies[index]);
    rule += " --- |";
  }
  text += "\n" + rule + "\n";
  for (const std::string& scenario : Names(results, &run_result::scenario)) {
    for (const measured_quantity& quantity : Quantities()) {
      if (quantity.name == "p50") continue;
      const auto& main = setup.main_quantities;
      const bool bold = std::find(main.begin(), main.end(), quantity.name) != main.end();
      text += fmt::format("| {} | {}{}{} |", scenario, bold ? "**" : "", quantity.name,
                          bold ? "**" : "");
      for (std::size_t index = 1; index < policies.size(); ++index) {
        const comparison found =
            Compare(results, scenario, policies.front(), policies[index], quantity);
        text += fmt::format(" {}/{}/{} |", found.better, found.equal, found.worse);
      }
      text += "\n";
    }
  }
  return text;
}

}  // namespace

std::string ToMarkdown(const report_context& context, const std::vector<scenario>& scenarios,
                       const std::vector<run_result>& results) {
  const deployment& setup = context.setup;
  std::string text = fmt::format(
      "# Measurements of {}\n\nWritten by `{}` at {} on revision {}. Weights: tail latency {}, "
      "throughput {}, evictions {}. The policies of a scenario and seed ran side by side, each "
      "on its own fleet. Load average of the machine before {:.1f}, after {:.1f} (the runs are "
      "part of it).\n\nCells are the median over the seeds, with the minimum and the maximum "
      "in "
      "brackets; wrong and violations are sums, late is the maximum. Latencies are in ms, of "
      "requests with any outcome, from their intended "
      "time. Tasks are those that ended with `ok` within the run, of all classes. Wrong: answers "
      "that were wrong or truncated. Violations: findings of the history checker. Late: p99 of how "
      "late "
      "the generator sent, in ms.\n",
      setup.name, context.command, context.date, context.revision, setup.tail_latency,
      setup.throughput, setup.evictions, context.load_before, context.load_after);
  for (const scenario& spec : scenarios) {
    text += fmt::format("\n## {}\n\n{}.\n\n{}", spec.name, spec.description, TableHead());
    for (const std::string& policy : Names(results, &run_result::policy)) {
      text += Row(results, spec.name, policy);
    }
    text += "\nOutcomes by code:\n\n";
    for (const run_result& run : results) {
      if (run.scenario == spec.name) text += Outcomes(run);
    }
  }
  return text + ComparisonTable(setup, results);
}

std::string ToSvg(const report_context& context, const std::vector<run_result>& results) {
  const std::vector<panel> panels = {{"service p99, ms", "p99"},
                                     {"tasks finished per second", "tasks/s"},
                                     {"evictions", "evictions"}};
  const auto scenarios = Names(results, &run_result::scenario);
  const auto policies = Names(results, &run_result::policy);
  const double group = kBarWidth * static_cast<double>(policies.size()) + kGroupGap;
  const double width = std::max(560.0, kLeftMargin + static_cast<double>(scenarios.size()) * group);
  const double height =
      kTopMargin + static_cast<double>(panels.size()) * (kPanelHeight + kPanelGap);
  std::string text = fmt::format(
      "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{0}\" height=\"{1}\" "
      "font-family=\"sans-serif\" font-size=\"11\">\n<rect width=\"{0}\" height=\"{1}\" "
      "fill=\"white\"/>\n<text x=\"{2}\" y=\"14\">{3}:</text>\n",
      width, height, kLeftMargin, context.setup.name);
  for (std::size_t index = 0; index < policies.size(); ++index) {
    text += fmt::format("<text x=\"{}\" y=\"14\" fill=\"{}\">{}</text>\n",
                        kLeftMargin + 60 + 100 * static_cast<double>(index),
                        kColours[index % kColours.size()], policies[index]);
  }
  double top = kTopMargin;
  for (const panel& spec : panels) {
    text += Panel(spec, top, results, scenarios, policies);
    top += kPanelHeight + kPanelGap;
  }
  return text + "</svg>\n";
}

}  // namespace coltsfoot::measure
