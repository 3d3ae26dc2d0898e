#include <absl/strings/escaping.h>

#include <nlohmann/json.hpp>
#include <utility>

#include "store/kv_client.h"

namespace coltsfoot::store {
namespace {

using nlohmann::json;

constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

kv_status StatusOf(const http::call_result& result) {
  if (!result.answer) {
    return result.reason.code == core::result_code::connect_failed ? kv_status::unreachable
                                                                   : kv_status::unknown;
  }
  switch (result.answer->status) {
    case 200:
      return kv_status::ok;
    case kNotFound:
      return kv_status::not_found;
    case kConflict:
      return kv_status::conflict;
    case kTooManyRequests:
    case kUnavailable:
      return kv_status::refused;
    default:
      return kv_status::unknown;
  }
}

/// @return the body of an answer as a JSON object; an empty object if it is anything else, so
/// that the caller finds no field and reports an ok answer as unknown.
json BodyOf(const http::call_result& result) {
  if (!result.answer) return json::object();
  json body = json::parse(result.answer->body, nullptr, false);
  return body.is_object() ? body : json::object();
}

std::uint64_t NumberOf(const json& body, const char* name) {
  const auto found = body.find(name);
  return found != body.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : 0;
}

get_result ToGet(const http::call_result& result, std::string key) {
  get_result out{StatusOf(result), std::nullopt};
  if (out.status != kv_status::ok) return out;
  const std::string version = result.answer->FindHeader("X-Version").value_or("");
  kv_entry entry{std::move(key), std::strtoull(version.c_str(), nullptr, 10), result.answer->body};
  if (entry.version == 0) return {kv_status::unknown, std::nullopt};
  out.entry = std::move(entry);
  return out;
}

range_result ToRange(const http::call_result& result) {
  range_result out{StatusOf(result), {}, 0};
  if (out.status != kv_status::ok) return out;
  const json body = BodyOf(result);
  out.revision = NumberOf(body, "revision");
  const auto entries = body.find("entries");
  if (entries == body.end() || !entries->is_array()) return {kv_status::unknown, {}, 0};
  for (const json& item : *entries) {
    kv_entry entry{item.value("key", ""), NumberOf(item, "version"), ""};
    if (!absl::Base64Unescape(item.value("value", ""), &entry.value)) {
      return {kv_status::unknown, {}, 0};
    }
    out.entries.push_back(std::move(entry));
  }
  return out;
}

write_result ToWrite(const http::call_result& result) {
  const kv_status status = StatusOf(result);
  const key_version version = NumberOf(BodyOf(result), "version");
  // A malformed answer to a write proves nothing about its effect.
  if (status == kv_status::ok && version == 0) return {kv_status::unknown, 0};
  return {status, version};
}

lease_result ToLease(const http::call_result& result) {
  const kv_status status = StatusOf(result);
  const lease_id lease = NumberOf(BodyOf(result), "lease");
  if (status == kv_status::ok && lease == 0) return {kv_status::unknown, 0};
  return {status, lease};
}

watch_result ToWatch(const http::call_result& result) {
  watch_result out{StatusOf(result), 0, {}};
  if (out.status != kv_status::ok) return out;
  const json body = BodyOf(result);
  out.revision = NumberOf(body, "revision");
  const auto keys = body.find("keys");
  if (keys == body.end() || !keys->is_array()) return {kv_status::unknown, 0, {}};
  for (const json& key : *keys) {
    if (key.is_string()) out.keys.push_back(key.get<std::string>());
  }
  return out;
}

class http_kv_client final : public kv_client {
 public:
  http_kv_client(std::string base_url, std::string caller, http::client& transport,
                 executor run_handler, core::milliseconds timeout)
      : base_url_(std::move(base_url)),
        caller_(std::move(caller)),
        transport_(transport),
        run_handler_(std::move(run_handler)),
        timeout_(timeout) {}

  void Get(std::string key, handler<get_result> done) override {
    std::string path = "/kv/" + http::UrlEncode(key);
    Call("GET", std::move(path), "", timeout_,
         [key = std::move(key), done = std::move(done)](const http::call_result& result) {
           done(ToGet(result, key));
         });
  }

  void Range(std::string prefix, std::string after, std::size_t limit,
             handler<range_result> done) override {
    Call("GET",
         "/range?prefix=" + http::UrlEncode(prefix) + "&after=" + http::UrlEncode(after) +
             "&limit=" + std::to_string(limit),
         "", timeout_, Convert(ToRange, std::move(done)));
  }

  void Put(std::string key, std::string value, put_options options,
           handler<write_result> done) override {
    std::string path = "/kv/" + http::UrlEncode(key) + "?";
    if (options.if_version) path += "if_version=" + std::to_string(*options.if_version) + "&";
    if (options.lease) path += "lease=" + std::to_string(*options.lease);
    Call("PUT", std::move(path), std::move(value), timeout_, Convert(ToWrite, std::move(done)));
  }

  void Delete(std::string key, std::optional<key_version> if_version,
              handler<write_result> done) override {
    std::string path = "/kv/" + http::UrlEncode(key);
    if (if_version) path += "?if_version=" + std::to_string(*if_version);
    Call("DELETE", std::move(path), "", timeout_, Convert(ToWrite, std::move(done)));
  }

  void GrantLease(core::milliseconds ttl, handler<lease_result> done) override {
    Call("POST", "/lease?ttl_ms=" + std::to_string(ttl.count()), "", timeout_,
         Convert(ToLease, std::move(done)));
  }

  void RenewLease(lease_id lease, handler<lease_result> done) override {
    Call("PUT", "/lease/" + std::to_string(lease), "", timeout_, Convert(ToLease, std::move(done)));
  }

  void RevokeLease(lease_id lease, handler<lease_result> done) override {
    Call("DELETE", "/lease/" + std::to_string(lease), "", timeout_,
         Convert(ToLease, std::move(done)));
  }

  void Watch(std::string prefix, std::uint64_t since, core::milliseconds timeout,
             handler<watch_result> done) override {
    Call("GET",
         "/watch?prefix=" + http::UrlEncode(prefix) + "&since=" + std::to_string(since) +
             "&timeout_ms=" + std::to_string(timeout.count()),
         "", timeout + timeout_, Convert(ToWatch, std::move(done)));
  }

 private:
  template <class Result>
  static http::call_handler Convert(Result (*convert)(const http::call_result&),
                                    handler<Result> done) {
    return [convert, done = std::move(done)](const http::call_result& result) {
      done(convert(result));
    };
  }

  void Call(const char* method, std::string path, std::string body, core::milliseconds timeout,
            http::call_handler done) {
    transport_.Send({.method = method,
                     .url = base_url_ + std::move(path),
                     .headers = {{"X-Caller", caller_}},
                     .body = std::move(body),
                     .timeout = timeout},
                    [run_handler = run_handler_, done = std::move(done)](http::call_result result) {
                      run_handler([done, result = std::move(result)] { done(result); });
                    });
  }

  std::string base_url_;
  std::string caller_;
  http::client& transport_;
  executor run_handler_;
  core::milliseconds timeout_;
};

}  // namespace

std::unique_ptr<kv_client> MakeHttpKvClient(std::string base_url, std::string caller,
                                            http::client& transport, executor run_handler,
                                            core::milliseconds timeout) {
  return std::make_unique<http_kv_client>(std::move(base_url), std::move(caller), transport,
                                          std::move(run_handler), timeout);
}

}  // namespace coltsfoot::store
