#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfoot::settings {

/// Allowed range of a number.
struct range {
  std::int64_t min;
  std::int64_t max;
  bool operator==(const range&) const = default;
};

/// Reads a flat YAML mapping and collects every error with its line: unknown keys, wrong types,
/// values out of range, missing keys. Use the getters once for each known key, then `Finish`.
class reader {
 public:
  /// Reads a file. A file that cannot be read or parsed gives one error.
  static reader FromFile(const std::string& path);
  /// Reads YAML text; `name` is given as the file in errors.
  static reader FromText(std::string_view text, std::string name);
  ~reader();
  reader(reader&&) noexcept;

  /// @return the string of a required key; "" with an error if it is missing or empty.
  std::string Text(std::string_view key);
  /// @return the string of an optional key.
  std::string Text(std::string_view key, std::string fallback);
  /// @return the number of a required key; `allowed.min` with an error.
  std::int64_t Number(std::string_view key, range allowed);
  /// @return the number of an optional key.
  std::int64_t Number(std::string_view key, range allowed, std::int64_t fallback);
  /// @return the positive decimal number of an optional key, such as 0.25.
  double PositiveDecimal(std::string_view key, double fallback);
  /// @return the value of an optional key, "true" or "false".
  bool Flag(std::string_view key, bool fallback);
  /// @return the list of strings of an optional key; empty if the key is missing.
  std::vector<std::string> TextList(std::string_view key);
  /// Adds an error about a key that only the caller can check.
  void Reject(std::string_view key, std::string_view message);

  /// @return all errors as "file:line: message", ordered by line; reports unknown keys.
  std::vector<std::string> Finish();

 private:
  struct state;
  explicit reader(std::unique_ptr<state> content);
  std::unique_ptr<state> state_;
};

/// Exit code of a program whose settings have errors.
inline constexpr int kBadSettingsExitCode = 2;

}  // namespace coltsfoot::settings
