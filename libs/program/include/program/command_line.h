#pragma once

#include <optional>
#include <string>
#include <vector>

namespace coltsfoot::program {

/// Result of parsing a command line. The values of flags are stored in the Abseil flags.
struct command_line {
  std::vector<std::string> words;  ///< positional arguments
  bool help = false;               ///< --help or -h was given
  bool operator==(const command_line&) const = default;
};

/// Sets the Abseil flags of the program from its command line. Differs from Abseil's parser in two
/// ways that command-line tools need: an error is returned, so that the tool can choose its exit
/// code, and a repeated list flag appends to the list.
/// @param mistake is set to an error message if the result is empty.
std::optional<command_line> ParseCommandLine(int argc, const char* const* argv,
                                             std::string& mistake);

/// @return the flags that are defined in `file`, one line each, for `--help`.
std::string DescribeFlags(const std::string& file);

}  // namespace coltsfoot::program
