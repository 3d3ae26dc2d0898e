#include "kv_service.h"

#include <doctest/doctest.h>

namespace coltsfoot::fakes {
namespace {

struct fixture {
  core::manual_clock time;
  kv_service service{time};

  http::response Call(std::string method, std::string path, http::query_map query = {},
                      std::string body = "") {
    http::response out{0, {}, ""};
    service.Handle({std::move(method), std::move(path), std::move(query), {}, std::move(body)},
                   [&out](http::response answer, core::milliseconds) { out = std::move(answer); });
    return out;
  }
};

}  // namespace

// Guards against two writers that both believe they created the same log entry.
TEST_CASE("a key is created only if absent") {
  fixture test;
  CHECK(test.Call("PUT", "/kv/log/1", {{"if_version", "0"}}, "a").status == 200);
  CHECK(test.Call("PUT", "/kv/log/1", {{"if_version", "0"}}, "b").status == 409);
  CHECK(test.Call("GET", "/kv/log/1").body == "a");
}

TEST_CASE("keys of an expired lease are deleted and complete the watch") {
  fixture test;
  CHECK(test.Call("POST", "/lease", {{"ttl_ms", "100"}}).body == R"({"lease":1})");
  CHECK(test.Call("PUT", "/kv/owner/0", {{"lease", "1"}}, "entry-1").status == 200);
  http::response woken{0, {}, ""};
  test.service.Handle(
      {"GET", "/watch", {{"prefix", "owner/"}, {"since", "1"}, {"timeout_ms", "5000"}}, {}, ""},
      [&woken](http::response answer, core::milliseconds) { woken = std::move(answer); });
  CHECK(woken.status == 0);
  test.time.Advance(core::milliseconds{101});
  test.service.Tick();
  CHECK(woken.body == R"({"keys":["owner/0"],"revision":2})");
  CHECK(test.Call("GET", "/kv/owner/0").status == 404);
  CHECK(test.Call("PUT", "/lease/1").status == 404);
}

TEST_CASE("a write whose answer is dropped takes effect") {
  fixture test;
  test.Call("POST", "/admin/faults", {}, R"({"drop_answers":1})");
  CHECK(test.Call("PUT", "/kv/a", {}, "x").status == 504);
  CHECK(test.Call("GET", "/kv/a").body == "x");
  test.Call("POST", "/admin/faults", {}, R"({"down":true})");
  CHECK(test.Call("PUT", "/kv/a", {}, "y").status == 503);
  test.Call("POST", "/admin/faults", {}, R"({"down":false})");
  CHECK(test.Call("GET", "/kv/a").body == "x");
}

}  // namespace coltsfoot::fakes
