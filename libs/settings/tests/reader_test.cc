#include "settings/reader.h"

#include <doctest/doctest.h>

namespace coltsfoot::settings {

// Guards against reporting only the first error, which costs an operator one start per error.
TEST_CASE("all errors are reported at once, each with its line") {
  reader source = reader::FromText("id: entry-1\nport: 99999\ntypo: 1\nfast: maybe\n", "a.yaml");
  CHECK(source.Text("id") == "entry-1");
  source.Number("port", {0, 65535});
  source.Flag("fast", false);
  source.Text("zone");
  const auto errors = source.Finish();
  REQUIRE(errors.size() == 4);
  CHECK(errors[0] == "a.yaml:1: key 'zone' is missing");
  CHECK(errors[1] == "a.yaml:2: key 'port' is 99999, allowed are 0 to 65535");
  CHECK(errors[2] == "a.yaml:3: key 'typo' is not known");
  CHECK(errors[3] == "a.yaml:4: key 'fast' must be true or false");
}

TEST_CASE("a complete file has no errors and gives its values") {
  reader source = reader::FromText("n: 5\nlist: [a, b]\nfast: true\n", "a.yaml");
  CHECK(source.Number("n", {0, 10}) == 5);
  CHECK(source.Number("m", {0, 10}, 7) == 7);
  CHECK(source.TextList("list") == std::vector<std::string>{"a", "b"});
  CHECK(source.Flag("fast", false));
  CHECK(source.Finish().empty());
}

// Guards against a processor share that is read as zero or only in part, such as 1,5 as 1.
TEST_CASE("decimal numbers must be positive and complete") {
  reader source = reader::FromText("a: 0.25\nb: 2\nc: -1\nd: 1,5\n", "a.yaml");
  CHECK(source.PositiveDecimal("a", 1) == doctest::Approx(0.25));
  CHECK(source.PositiveDecimal("b", 1) == doctest::Approx(2));
  CHECK(source.PositiveDecimal("c", 1) == doctest::Approx(1));
  CHECK(source.PositiveDecimal("d", 3) == doctest::Approx(3));
  CHECK(source.PositiveDecimal("e", 4) == doctest::Approx(4));
  CHECK(source.Finish().size() == 2);
}

// Guards against invalid YAML, a missing file and a repeated key that are read without an error.
TEST_CASE("files that cannot be read or parsed are errors") {
  CHECK(reader::FromText("a: [1\n", "b.yaml").Finish().size() == 1);
  CHECK(reader::FromText("- 1\n", "b.yaml").Finish().size() == 1);
  reader missing = reader::FromFile("/nonexistent/x.yaml");
  missing.Text("id");
  CHECK(missing.Finish().size() == 1);
  reader repeated = reader::FromText("a: 1\na: 2\n", "b.yaml");
  repeated.Number("a", {0, 9});
  CHECK(repeated.Finish().size() == 1);
}

}  // namespace coltsfoot::settings
