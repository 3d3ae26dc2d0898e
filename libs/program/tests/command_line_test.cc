#include "program/command_line.h"

#include <absl/flags/flag.h>
#include <doctest/doctest.h>

#include <string>
#include <vector>

ABSL_FLAG(std::vector<std::string>, test_list, {}, "a list");
ABSL_FLAG(std::int64_t, test_number, 7, "a number");
ABSL_FLAG(bool, test_switch, true, "a switch");

namespace coltsfoot::program {
namespace {

std::optional<command_line> Parse(std::vector<const char*> arguments, std::string& mistake) {
  arguments.insert(arguments.begin(), "program");
  return ParseCommandLine(static_cast<int>(arguments.size()), arguments.data(), mistake);
}

}  // namespace

// Guards against a list flag that loses its first values, and against the value of a flag that is
// parsed as a positional argument.
TEST_CASE("flags and positional arguments may be mixed") {
  std::string mistake;
  const auto line = Parse({"config", "--test_list=a", "set", "--test_list", "b,c",
                           "--notest_switch", "--test_number", "9", "--", "--name"},
                          mistake);
  REQUIRE(line.has_value());
  CHECK(line->words == std::vector<std::string>{"config", "set", "--name"});
  CHECK_FALSE(line->help);
  CHECK(absl::GetFlag(FLAGS_test_list) == std::vector<std::string>{"a", "b", "c"});
  CHECK(absl::GetFlag(FLAGS_test_number) == 9);
  CHECK_FALSE(absl::GetFlag(FLAGS_test_switch));
  CHECK(Parse({"-h"}, mistake)->help);
}

// Guards against a help text without flags when the compiler gets absolute file names: Abseil
// reports such a name without its leading slash.
TEST_CASE("the flags of a file are found by its absolute and its relative name") {
  const std::string file = __FILE__;
  const std::string relative = file.substr(file.find_first_not_of('/'));
  for (const std::string& name : {file, relative, "/" + relative}) {
    CHECK(DescribeFlags(name).find("--test_number") != std::string::npos);
  }
  CHECK(DescribeFlags("other.cc").empty());
}

// Guards against a tool that ignores a misspelt flag.
TEST_CASE("errors on the command line are returned") {
  std::string mistake;
  CHECK_FALSE(Parse({"--test_nothing"}, mistake).has_value());
  CHECK(mistake == "unknown flag --test_nothing");
  CHECK_FALSE(Parse({"--test_number"}, mistake).has_value());
  CHECK(mistake == "missing value for flag --test_number");
  CHECK_FALSE(Parse({"--test_number=x"}, mistake).has_value());
  CHECK_FALSE(Parse({"--notest_number"}, mistake).has_value());
}

}  // namespace coltsfoot::program
