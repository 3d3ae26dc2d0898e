#include "program/command_line.h"

#include <absl/flags/reflection.h>
#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>
#include <string_view>

namespace coltsfoot::program {
namespace {

/// Parses the arguments of one command line in order.
class parser {
 public:
  parser(int argc, const char* const* argv) : arguments_(argv + 1, argv + argc) {}

  std::optional<command_line> Parse(std::string& mistake) {
    for (; next_ < arguments_.size(); ++next_) {
      const std::string_view argument = arguments_[next_];
      if (argument == "--") {
        while (++next_ < arguments_.size()) out_.words.push_back(arguments_[next_]);
        break;
      }
      if (argument == "--help" || argument == "-h") {
        out_.help = true;
      } else if (argument.starts_with("--")) {
        if (!SetFlag(argument.substr(2), mistake)) return std::nullopt;
      } else {
        out_.words.emplace_back(argument);
      }
    }
    return out_;
  }

 private:
  bool SetFlag(std::string_view text, std::string& mistake) {
    const std::size_t equals = text.find('=');
    std::string name(text.substr(0, equals));
    const bool has_value = equals != std::string_view::npos;
    std::string value(has_value ? text.substr(equals + 1) : "");
    absl::CommandLineFlag* flag = absl::FindCommandLineFlag(name);
    if (flag == nullptr && name.starts_with("no") && !has_value) {
      flag = absl::FindCommandLineFlag(name.substr(2));
      if (flag != nullptr && !flag->IsOfType<bool>()) flag = nullptr;
      value = "false";
    } else if (flag != nullptr && !has_value) {
      if (flag->IsOfType<bool>()) {
        value = "true";
      } else if (next_ + 1 < arguments_.size()) {
        value = arguments_[++next_];
      } else {
        mistake = fmt::format("missing value for flag --{}", name);
        return false;
      }
    }
    if (flag == nullptr) {
      mistake = fmt::format("unknown flag --{}", name);
      return false;
    }
    return Store(*flag, value, mistake);
  }

  bool Store(absl::CommandLineFlag& flag, std::string value, std::string& mistake) {
    const std::string name(flag.Name());
    const bool repeated = !parsed_flags_.insert(name).second;
    if (repeated && flag.IsOfType<std::vector<std::string>>()) {
      value = flag.CurrentValue() + "," + value;
    }
    std::string error;
    if (flag.ParseFrom(value, &error)) return true;
    mistake = fmt::format("invalid value \"{}\" for flag --{}{}{}", value, name,
                          error.empty() ? "" : ": ", error);
    return false;
  }

  std::vector<std::string> arguments_;
  std::size_t next_ = 0;
  std::set<std::string> parsed_flags_;
  command_line out_;
};

/// @return the name of a source file as Abseil reports it, without the leading slashes of
/// `__FILE__`.
std::string_view WithoutLeadingSlashes(std::string_view file) {
  return file.substr(std::min(file.find_first_not_of('/'), file.size()));
}

}  // namespace

std::optional<command_line> ParseCommandLine(int argc, const char* const* argv,
                                             std::string& mistake) {
  return parser(argc, argv).Parse(mistake);
}

std::string DescribeFlags(const std::string& file) {
  std::map<std::string, std::string> lines;
  for (const auto& [name, flag] : absl::GetAllFlags()) {
    if (WithoutLeadingSlashes(flag->Filename()) != WithoutLeadingSlashes(file)) continue;
    const std::string initial = flag->DefaultValue();
    const std::string shown = initial.empty() ? "" : fmt::format(" (default {})", initial);
    const std::string key{flag->Name()};
    lines[key] = fmt::format("  --{:<23} {}{}\n", key, flag->Help(), shown);
  }
  std::string text;
  for (const auto& [name, line] : lines) text += line;
  return text;
}

}  // namespace coltsfoot::program
