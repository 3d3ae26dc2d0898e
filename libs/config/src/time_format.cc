#include "time_format.h"

#include <fmt/format.h>

#include <array>
#include <charconv>

namespace coltsfoot::config {
namespace {

// Expected character per position: 0 matches any digit, others match themselves.
constexpr std::string_view kPattern = "0000-00-00T00:00:00.000Z";

int NumberAt(std::string_view text, std::size_t begin, std::size_t length) {
  int value = 0;
  std::from_chars(text.data() + begin, text.data() + begin + length, value);
  return value;
}

bool HasPattern(std::string_view text) {
  if (text.size() != kPattern.size()) return false;
  for (std::size_t index = 0; index < text.size(); ++index) {
    const bool digit = text[index] >= '0' && text[index] <= '9';
    if (kPattern[index] == '0' ? !digit : text[index] != kPattern[index]) return false;
  }
  return true;
}

}  // namespace

std::string FormatTime(core::wall_time time) {
  const auto day = std::chrono::floor<std::chrono::days>(time);
  const std::chrono::year_month_day date(day);
  const std::chrono::hh_mm_ss clock(time - day);
  return fmt::format("{:04}-{:02}-{:02}T{:02}:{:02}:{:02}.{:03}Z", static_cast<int>(date.year()),
                     static_cast<unsigned>(date.month()), static_cast<unsigned>(date.day()),
                     clock.hours().count(), clock.minutes().count(), clock.seconds().count(),
                     clock.subseconds().count());
}

std::optional<core::wall_time> ParseTime(std::string_view text) {
  if (!HasPattern(text)) return std::nullopt;
  const std::chrono::year_month_day date{
      std::chrono::year(NumberAt(text, 0, 4)),
      std::chrono::month(static_cast<unsigned>(NumberAt(text, 5, 2))),
      std::chrono::day(static_cast<unsigned>(NumberAt(text, 8, 2)))};
  if (!date.ok()) return std::nullopt;
  const core::wall_time midnight = std::chrono::sys_days{date};
  return midnight + std::chrono::hours(NumberAt(text, 11, 2)) +
         std::chrono::minutes(NumberAt(text, 14, 2)) + std::chrono::seconds(NumberAt(text, 17, 2)) +
         std::chrono::milliseconds(NumberAt(text, 20, 3));
}

}  // namespace coltsfoot::config
