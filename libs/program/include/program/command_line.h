#pragma once

#include <optional>
#include <string>
#include <vector>

namespace coltsfoot::program {

/// What a command line holds beside flags.
struct command_line {
  std::vector<std::string> words;  ///< arguments that are no flags
  bool help = false;               ///< --help or -h was given
  bool operator==(const command_line&) const = default;
};

/// Sets the Abseil flags of the program from its command line. Differs from Abseil's parser in two
/// ways that terminal tools need: a mistake is returned, so that the tool can end with its own exit
/// code, and a repeated list flag adds to the list.
/// @param mistake is set to a sentence if the result is empty.
std::optional<command_line> ParseCommandLine(int argc, const char* const* argv,
                                             std::string& mistake);

/// @return the flags that are defined in `file`, one line each, for `--help`.
std::string DescribeFlags(const std::string& file);

}  // namespace coltsfoot::program
