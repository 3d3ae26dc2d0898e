#include <doctest/doctest.h>

#include <future>
#include <string>

#include "http/server.h"
#include "store/kv_client.h"

namespace coltsfoot::store {
namespace {

/// HTTP server that gives the same answer to each call and keeps the last request.
struct fixture {
  http::response answer{200, {}, "{}"};
  std::promise<http::request> received;
  http::server server{{}, [this](http::request request, const http::responder& respond) {
                        received.set_value(std::move(request));
                        respond(answer);
                      }};
  std::unique_ptr<http::client> http = http::MakeCurlClient();
  std::unique_ptr<kv_client> client = MakeHttpKvClient(
      "http://127.0.0.1:" + std::to_string(server.port()), "entry-1", *http,
      [](std::function<void()> task) { task(); }, core::milliseconds{2000});

  write_result Put(http::response with) {
    answer = std::move(with);
    received = {};
    std::promise<write_result> done;
    client->Put("log/1", "value", {.if_version = 0, .lease = 7},
                [&done](write_result result) { done.set_value(result); });
    return done.get_future().get();
  }
};

}  // namespace

// Guards against a write that took effect but is reported as having had none, and the reverse.
TEST_CASE("the status of a write states only what its answer proves") {
  fixture test;
  CHECK(test.Put({200, {}, R"({"version":5})"}) == write_result{kv_status::ok, 5});
  const http::request sent = test.received.get_future().get();
  CHECK(sent.path == "/kv/log/1");
  CHECK(sent.FindParameter("if_version") == "0");
  CHECK(sent.FindParameter("lease") == "7");
  CHECK(sent.FindHeader("X-Caller") == "entry-1");
  CHECK(sent.body == "value");
  CHECK(test.Put({409, {}, R"({"version":4})"}) == write_result{kv_status::conflict, 4});
  CHECK(test.Put({429, {}, ""}).status == kv_status::refused);
  CHECK(test.Put({503, {}, ""}).status == kv_status::refused);
  CHECK(test.Put({504, {}, ""}).status == kv_status::unknown);
  CHECK(test.Put({500, {}, "oops"}).status == kv_status::unknown);
  CHECK(test.Put({200, {}, "{\"ver"}).status == kv_status::unknown);
}

// Guards against a malformed answer that is read as an empty log, which would lose tasks.
TEST_CASE("a malformed answer to a range read is unknown, never empty") {
  fixture test;
  for (const std::string body :
       {"", "[]", R"({"revision":1})", R"({"entries":[{"key":"a","version":1,"value":"%"}]})"}) {
    test.answer = {200, {}, body};
    test.received = {};
    std::promise<range_result> done;
    test.client->Range("log/", "", 10, [&done](range_result result) { done.set_value(result); });
    CHECK(done.get_future().get().status == kv_status::unknown);
  }
  test.answer = {200, {}, R"({"revision":9,"entries":[{"key":"a","version":3,"value":"dg=="}]})"};
  test.received = {};
  std::promise<range_result> done;
  test.client->Range("log/", "", 10, [&done](range_result result) { done.set_value(result); });
  CHECK(done.get_future().get() == range_result{kv_status::ok, {{"a", 3, "v"}}, 9});
}

}  // namespace coltsfoot::store
