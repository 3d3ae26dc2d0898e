#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

#include "config/changes.h"
#include "config/json_format.h"
#include "config/resolved_settings.h"

namespace coltsfoot::config {
namespace {

using core::result_code;

const change_stamp stamp{"token-1", "amira",
                         core::wall_time{core::milliseconds{1'764'823'200'123}}};

fleet_config WithException(const fleet_config& base, const std::string& setting,
                           const std::string& where, setting_value value) {
  core::last_error error;
  const auto applies_to = scope::Parse(where, error);
  REQUIRE(applies_to.has_value());
  const auto next = AddException(
      base, {setting + "@" + where, *applies_to, setting, value, "amira", "load test", {}}, stamp,
      error);
  REQUIRE_MESSAGE(next.has_value(), error.reason().message);
  return *next;
}

fleet_config WithDefault(const fleet_config& base, const std::string& setting,
                         setting_value value) {
  core::last_error error;
  const auto next = ChangeDefaults(base, {{{setting, value}}, {}, "amira", {}}, stamp, error);
  REQUIRE_MESSAGE(next.has_value(), error.reason().message);
  return *next;
}

result_code ParseCode(const std::string& text) {
  core::last_error error;
  return ParseFleetConfig(text, error) ? result_code::ok : error.reason().code;
}

}  // namespace

// Guards against a less specific exception that overrides a more specific one.
TEST_CASE("the most specific scope wins") {
  const std::vector<std::string> scopes = {"worker:w1", "rack:r1", "zone:z1", "region:g1"};
  const subject about{"w1", "r1", "z1", "g1", "", "", ""};
  fleet_config config = WithDefault({}, "quarantine.failures", std::int64_t{10});
  CHECK(config.Effective(setting_id::quarantine_failures, about) ==
        setting_value{std::int64_t{10}});
  std::int64_t value = 10;
  for (auto where = scopes.rbegin(); where != scopes.rend(); ++where) {
    config = WithException(config, "quarantine.failures", *where, ++value);
    CHECK(config.Effective(setting_id::quarantine_failures, about) == setting_value{value});
  }
  const subject other{"w2", "r2", "z2", "g2", "", "", ""};
  CHECK(config.Effective(setting_id::quarantine_failures, other) ==
        setting_value{std::int64_t{10}});
  const fleet_config classes =
      WithException(WithException(WithException({}, "weights.evictions", "team:t", 3.0),
                                  "weights.evictions", "service:s", 4.0),
                    "weights.evictions", "class:c", 5.0);
  CHECK(Resolve(classes, {.task_class = "c", .service = "s", .team = "t"}).evictions_weight == 5.0);
  CHECK(Resolve(classes, {.service = "s", .team = "t"}).evictions_weight == 4.0);
}

// Guards against a quota of zero that is read as "no quota", or the reverse.
TEST_CASE("an unset value differs from zero") {
  const subject mills{.team = "mills"};
  CHECK_FALSE(Resolve({}, mills).team_cpu_quota_millis.has_value());
  const auto zero = WithException({}, "team.cpu_quota_millis", "team:mills", std::int64_t{0});
  CHECK(Resolve(zero, mills).team_cpu_quota_millis == 0);
  CHECK_FALSE(Resolve(zero, {.team = "kilns"}).team_cpu_quota_millis.has_value());
}

// Guards against a configuration that takes effect only in part because a field is misspelt or has
// the wrong type.
TEST_CASE("the document is read strictly") {
  const std::string prefix = R"({"version":1,"token":"a","author":"b",)";
  CHECK(ParseCode(prefix + R"("defaults":{"hedge.enabled":false},"exceptions":[]})") ==
        result_code::ok);
  CHECK(ParseCode("{") == result_code::malformed_request);
  CHECK(ParseCode("[]") == result_code::malformed_request);
  CHECK(ParseCode(prefix + R"("defaults":{}})") == result_code::malformed_request);
  CHECK(ParseCode(prefix + R"("defaults":{},"exceptions":[],"exceptions":[]})") ==
        result_code::malformed_request);
  CHECK(ParseCode(prefix + R"("defaults":{},"exceptions":[],"extra":1})") ==
        result_code::unknown_field);
  CHECK(ParseCode(prefix + R"("defaults":{"hedge.enable":true},"exceptions":[]})") ==
        result_code::unknown_field);
  for (const std::string value : {R"("true")", "1", "null", "[]"}) {
    CHECK(ParseCode(prefix + R"("defaults":{"hedge.enabled":)" + value + R"(},"exceptions":[]})") ==
          result_code::invalid_argument);
  }
  for (const std::string value : {"-1", "100001", "1.5", "18446744073709551615"}) {
    CHECK(ParseCode(prefix + R"("defaults":{"requests.queue_limit":)" + value +
                    R"(},"exceptions":[]})") == result_code::invalid_argument);
  }
  // A default that drains the whole fleet would leave no worker for any work.
  CHECK(ParseCode(prefix + R"("defaults":{"worker.drain":true},"exceptions":[]})") ==
        result_code::invalid_argument);
}

// Guards against a field that is lost or changed when a configuration is stored and read back.
TEST_CASE("stored configurations are read back unchanged") {
  CHECK(rc::check([](const std::vector<std::string>& reasons, std::int64_t quota, double weight) {
    fleet_config config;
    core::last_error error;
    for (std::size_t index = 0; index < reasons.size(); ++index) {
      const auto id = "e" + std::to_string(index);
      // JSON strings hold UTF-8, so the generated bytes are mapped to printable characters.
      std::string reason = "r";
      for (const char c : reasons[index]) reason += static_cast<char>(32 + (c & 63));
      const auto next = AddException(config,
                                     {id,
                                      {scope_kind::team, id},
                                      "team.cpu_quota_millis",
                                      std::int64_t{quota & 0xffff},
                                      "amira",
                                      reason,
                                      {}},
                                     stamp, error);
      RC_ASSERT(next.has_value());
      config = *AddChallenge(*next, id, {"bo", reason}, stamp, error);
    }
    const double bounded = weight >= 0 && weight <= 10 ? weight : 2.5;
    config =
        *ChangeDefaults(config, {{{"weights.throughput", bounded}}, {}, "amira", {}}, stamp, error);
    const auto read = ParseFleetConfig(ToJson(config), error);
    RC_ASSERT(read.has_value());
    RC_ASSERT(*read == config);
    const auto answer = ParseConfigAnswer(RenderConfig(config), error);
    RC_ASSERT(answer.has_value());
    RC_ASSERT(answer->exceptions() == config.exceptions());
  }));
}

// Guards against exceptions that nobody can review, for want of a reason or an author, and against
// exceptions that never take effect.
TEST_CASE("exceptions need a reason, an author and a scope with an effect") {
  core::last_error error;
  const exception_request good{
      "e1", {scope_kind::worker, "w1"}, "worker.drain", true, "amira", "fan replacement", {}};
  exception_request request = good;
  request.reason = " \t";
  CHECK_FALSE(AddException({}, request, stamp, error).has_value());
  CHECK(error.reason().code == result_code::missing_reason);
  request = good;
  request.applies_to.kind = scope_kind::team;
  CHECK_FALSE(AddException({}, request, stamp, error).has_value());
  CHECK(error.reason().code == result_code::invalid_argument);
  request = good;
  request.id = "a/b";
  CHECK_FALSE(AddException({}, request, stamp, error).has_value());
  CHECK_FALSE(AddException({}, good, {"t", "", {}}, error).has_value());

  const auto added = AddException({}, good, stamp, error);
  REQUIRE(added.has_value());
  // A retried call whose first answer was lost must not give a conflict.
  CHECK(AddException(*added, good, stamp, error) == added);
  request = good;
  request.reason = "other";
  CHECK_FALSE(AddException(*added, request, stamp, error).has_value());
  CHECK(error.reason().code == result_code::conflict);

  CHECK_FALSE(RemoveException(*added, "e2", stamp, error).has_value());
  CHECK(error.reason().code == result_code::not_found);
  CHECK(RemoveException(*added, "e1", stamp, error)->exceptions().empty());
  CHECK(added->exceptions().size() == 1);
}

// Guards against an entry that crashes on invalid UTF-8 in an HTTP header, and against a document
// that the key-value service refuses for its size after the change was accepted.
TEST_CASE("invalid UTF-8 is replaced and oversized texts are refused") {
  core::last_error error;
  const exception_request request{
      "e1", {scope_kind::worker, "w1"}, "worker.drain", true, "amira", std::string(1'000'000, 'x'),
      {}};
  CHECK_FALSE(AddException({}, request, stamp, error).has_value());
  CHECK(error.reason().code == result_code::invalid_argument);
  const auto invalid_utf8 =
      ChangeDefaults({}, {{{"hedge.enabled", false}}, {}, "", {}}, {"t", "a\xff", {}}, error);
  REQUIRE(invalid_utf8.has_value());
  CHECK(ParseFleetConfig(ToJson(*invalid_utf8), error)->author() == "a\xEF\xBF\xBD");
}

// Guards against an explanation that does not show an operator why a value is in force.
TEST_CASE("an explanation names the exception, its author, reason and challenges") {
  core::last_error error;
  const subject about{.worker = "w1"};
  CHECK(ExplainSetting({}, setting_id::worker_drain, about).ToText().find("built-in") !=
        std::string::npos);
  auto config = WithException({}, "worker.drain", "worker:w1", true);
  config =
      *AddChallenge(config, "worker.drain@worker:w1", {"bo", "the fan is fixed"}, stamp, error);
  CHECK(ExplainSetting(config, setting_id::worker_drain, about).ToText() ==
        "worker.drain is true: exception worker.drain@worker:w1 for worker:w1, added by amira at "
        "2025-12-04T04:40:00.123Z. Reason: load test\n"
        "Challenged by amira at 2025-12-04T04:40:00.123Z: the fan is fixed");
}

// Guards against a version in force that decreases, and against a conflict that does not say what
// the other operator changed.
TEST_CASE("the history keeps the newest version and explains conflicts") {
  version_history history;
  const auto first = WithDefault({}, "hedge.enabled", false);
  auto second = WithDefault(first, "hedge.enabled", true);
  second = WithException(second, "worker.drain", "zone:pontivy", true);
  CHECK(history.Advance(std::make_shared<fleet_config>(first)));
  CHECK(history.Advance(std::make_shared<fleet_config>(second)));
  CHECK_FALSE(history.Advance(std::make_shared<fleet_config>(first)));
  CHECK(history.version() == 3);
  core::last_error error;
  CHECK(history.CheckBase(3, error));
  CHECK(history.CheckBase(std::nullopt, error));
  CHECK_FALSE(history.CheckBase(1, error));
  CHECK(error.reason().code == result_code::conflict);
  CHECK(error.reason().message ==
        "the change is based on version 1; version 3 by amira is in force; since then: default "
        "hedge.enabled was changed from false to true; exception worker.drain@zone:pontivy was "
        "added by amira: worker.drain = true for zone:pontivy (reason: load test)");
}

// Guards against a cached value that differs from the configuration.
TEST_CASE("a view gives the same values as the configuration") {
  CHECK(rc::check([] {
    const auto name = rc::gen::element<std::string>("", "a", "b", "c");
    const auto kind = rc::gen::element<std::string>("worker", "rack", "zone", "region", "class",
                                                    "service", "team");
    fleet_config config;
    core::last_error error;
    const auto count = *rc::gen::inRange(0, 6);
    for (int index = 0; index < count; ++index) {
      const auto where = *kind + ":" + *rc::gen::element<std::string>("a", "b");
      config = *AddException(config,
                             {std::to_string(index),
                              *scope::Parse(where, error),
                              "weights.evictions",
                              1.0 + index,
                              "amira",
                              "test",
                              {}},
                             stamp, error);
    }
    settings_view view(std::make_shared<fleet_config>(config));
    for (int index = 0; index < 20; ++index) {
      const subject about{*name, *name, *name, *name, *name, *name, *name};
      RC_ASSERT(view.For(about) == Resolve(config, about));
    }
  }));
}

// Guards against a lost or drained worker that still accepts work.
TEST_CASE("the agent policy carries the worker's values") {
  auto config = WithException({}, "worker.lost", "zone:z1", true);
  config = WithException(config, "requests.queue_limit", "worker:w1", std::int64_t{7});
  const wire::agent_policy policy = DeriveAgentPolicy(config, {.worker = "w1", .zone = "z1"});
  CHECK(policy == wire::agent_policy{2, true, 7, 20});
  CHECK_FALSE(DeriveAgentPolicy(config, {.worker = "w2", .zone = "z2"}).drain);
}

// Guards against API bodies that are accepted although a part of them is ignored.
TEST_CASE("API bodies are read strictly") {
  core::last_error error;
  const auto change = ParseDefaultsChange(
      R"({"if_version":4,"set":{"weights.evictions":2},"unset":["hedge.enabled"],"author":"bo"})",
      error);
  REQUIRE(change.has_value());
  CHECK(change->if_version == 4);
  CHECK(change->unset == std::vector<std::string>{"hedge.enabled"});
  CHECK(ChangeDefaults({}, *change, stamp, error)->defaults().at(setting_id::weight_evictions) ==
        setting_value{2.0});
  CHECK_FALSE(ParseDefaultsChange(R"({"if_version":-1,"author":"bo"})", error).has_value());
  CHECK_FALSE(ParseDefaultsChange(R"({"unset":[1],"author":"bo"})", error).has_value());
  const auto exception = ParseExceptionRequest(
      R"({"scope":"worker:w1","setting":"worker.drain","value":true,"author":"bo"})", error);
  REQUIRE(exception.has_value());
  CHECK(exception->id == "worker.drain@worker:w1");
  CHECK(exception->reason.empty());
  CHECK_FALSE(ParseExceptionRequest(
                  R"({"scope":"w1","setting":"worker.drain","value":true,"author":"bo"})", error)
                  .has_value());
  CHECK_FALSE(
      ParseChallengeRequest(R"({"author":"bo","text":"no","time":"x"})", error).has_value());
}

// Guards against values that coltsfootctl accepts and the entry refuses.
TEST_CASE("values that an operator types are checked") {
  core::last_error error;
  const auto parse = [&](const char* name, const char* text) {
    return ParseValueText(*FindSetting(name), text, error);
  };
  CHECK(parse("placement.policy", "least_loaded") == setting_value{std::string("least_loaded")});
  CHECK(parse("weights.evictions", "2") == setting_value{2.0});
  CHECK_FALSE(parse("placement.policy", "best").has_value());
  CHECK_FALSE(parse("weights.evictions", "nan").has_value());
  CHECK_FALSE(parse("weights.evictions", "2x").has_value());
  CHECK_FALSE(parse("hedge.enabled", "yes").has_value());
  CHECK_FALSE(parse("quarantine.failures", "0").has_value());
}

}  // namespace coltsfoot::config
