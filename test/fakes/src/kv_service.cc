#include "kv_service.h"

#include <absl/strings/escaping.h>

#include <algorithm>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <utility>

#include "store/kv_client.h"

namespace coltsfoot::fakes {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kTooLarge = 413;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;
constexpr int kAnswerLost = 504;
constexpr std::string_view kKeyPath = "/kv/";
constexpr std::string_view kLeasePath = "/lease";
constexpr std::string_view kReplacePath = "/admin/replace/";
// Bounds the answer to a range read so that it stays within a few megabytes.
constexpr std::size_t kMaxRangeBytes = 4U << 20U;

std::uint64_t Number(const http::request& received, std::string_view name) {
  return std::strtoull(received.FindParameter(name).value_or("0").c_str(), nullptr, 10);
}

http::response Plain(int status) { return http::JsonResponse(status, "{}"); }

http::response Version(int status, std::uint64_t version) {
  return http::JsonResponse(status, json{{"version", version}}.dump());
}

}  // namespace

void kv_service::Handle(const http::request& received, answer done) {
  if (received.path.starts_with("/admin/")) {
    done(HandleAdmin(received), {});
    return;
  }
  const bool is_write = received.method != "GET";
  Tick();
  Count(received, is_write);
  if (auto refusal = RefuseIfFaulty(received, is_write)) {
    stats_.refused += 1;
    done(std::move(*refusal), {});
    return;
  }
  if (received.path == "/watch") {
    HandleWatch(received, std::move(done));
    return;
  }
  http::response out = Route(received, is_write);
  stats_.bytes_out += out.body.size();
  if (is_write && faults_.drop_answers > 0) {
    faults_.drop_answers -= 1;
    out = Plain(kAnswerLost);
  }
  done(std::move(out), core::milliseconds{faults_.slow_ms});
}

http::response kv_service::Route(const http::request& received, bool is_write) {
  if (received.path.starts_with(kKeyPath)) {
    return HandleKey(received, received.path.substr(kKeyPath.size()));
  }
  if (received.path == "/range" && !is_write) return HandleRange(received);
  if (received.path.starts_with(kLeasePath)) return HandleLease(received);
  return Plain(kNotFound);
}

std::optional<http::response> kv_service::RefuseIfFaulty(const http::request& received,
                                                         bool is_write) {
  const bool cut = faults_.cut.contains(received.FindHeader("X-Caller").value_or(""));
  if (faults_.down || cut) return Plain(kUnavailable);
  const bool over =
      is_write ? OverRate(write_window_, faults_.write_rate, stats_.worst_writes_per_second)
               : OverRate(read_window_, faults_.read_rate, stats_.worst_reads_per_second);
  if (over) return Plain(kTooManyRequests);
  return std::nullopt;
}

bool kv_service::OverRate(rate_window& window, std::int64_t limit, std::uint64_t& worst) {
  const std::int64_t second = core::ToMs(time_.Now().time_since_epoch()) / 1000;
  if (second != window.second) window = {second, 0};
  window.count += 1;
  worst = std::max(worst, window.count);
  return limit > 0 && window.count > static_cast<std::uint64_t>(limit);
}

void kv_service::Count(const http::request& received, bool is_write) {
  stats_.bytes_in += received.body.size();
  if (is_write) {
    stats_.writes += 1;
  } else if (received.path == "/watch") {
    stats_.watches += 1;
    stats_.reads += 1;
  } else {
    stats_.reads += 1;
  }
}

http::response kv_service::HandleKey(const http::request& received, const std::string& key) {
  if (received.method == "PUT") return PutKey(received, key);
  if (received.method == "DELETE") return DeleteKey(received, key);
  const auto found = items_.find(key);
  if (found == items_.end()) return Plain(kNotFound);
  return {kOk, {{"X-Version", std::to_string(found->second.version)}}, found->second.value};
}

http::response kv_service::PutKey(const http::request& received, const std::string& key) {
  if (received.body.size() > store::kMaxValueBytes) return Plain(kTooLarge);
  const auto found = items_.find(key);
  const std::uint64_t present = found == items_.end() ? 0 : found->second.version;
  if (received.FindParameter("if_version") && Number(received, "if_version") != present) {
    return Version(kConflict, present);
  }
  const std::uint64_t lease = Number(received, "lease");
  if (lease != 0 && !leases_.contains(lease)) return Plain(kBadRequest);
  if (found != items_.end() && found->second.lease != 0) {
    leases_[found->second.lease].keys.erase(key);
  }
  RecordChange(key);
  const auto replaced = replaced_.find(key);
  items_[key] = {replaced == replaced_.end() ? received.body : replaced->second, revision_, lease};
  if (lease != 0) leases_[lease].keys.insert(key);
  return Version(kOk, revision_);
}

http::response kv_service::DeleteKey(const http::request& received, const std::string& key) {
  const auto found = items_.find(key);
  if (found == items_.end()) return Plain(kNotFound);
  if (received.FindParameter("if_version") &&
      Number(received, "if_version") != found->second.version) {
    return Version(kConflict, found->second.version);
  }
  Erase(key);
  return Version(kOk, revision_);
}

http::response kv_service::HandleRange(const http::request& received) {
  const std::string prefix = received.FindParameter("prefix").value_or("");
  const std::string after = received.FindParameter("after").value_or("");
  const std::uint64_t limit = Number(received, "limit");
  json entries = json::array();
  std::size_t bytes = 0;
  auto position = after > prefix ? items_.upper_bound(after) : items_.lower_bound(prefix);
  for (; position != items_.end() && position->first.starts_with(prefix); ++position) {
    if (entries.size() >= limit || bytes > kMaxRangeBytes) break;
    bytes += position->second.value.size();
    entries.push_back({{"key", position->first},
                       {"version", position->second.version},
                       {"value", absl::Base64Escape(position->second.value)}});
  }
  return http::JsonResponse(kOk,
                            json{{"entries", std::move(entries)}, {"revision", revision_}}.dump());
}

http::response kv_service::HandleLease(const http::request& received) {
  if (received.method == "POST") {
    const core::milliseconds ttl{static_cast<std::int64_t>(Number(received, "ttl_ms"))};
    const std::uint64_t lease = ++next_lease_;
    leases_[lease] = {ttl, time_.Now() + ttl, {}};
    return http::JsonResponse(kOk, json{{"lease", lease}}.dump());
  }
  const std::string text =
      received.path.substr(std::min(received.path.size(), kLeasePath.size() + 1));
  const std::uint64_t lease = std::strtoull(text.c_str(), nullptr, 10);
  const auto found = leases_.find(lease);
  if (found == leases_.end()) return Plain(kNotFound);
  if (received.method == "DELETE") {
    RevokeLease(lease);
  } else {
    found->second.expires = time_.Now() + found->second.ttl;
  }
  return http::JsonResponse(kOk, json{{"lease", lease}}.dump());
}

void kv_service::HandleWatch(const http::request& received, answer done) {
  const std::string prefix = received.FindParameter("prefix").value_or("");
  const std::uint64_t since = Number(received, "since");
  const bool changed =
      std::any_of(change_revisions_.begin(), change_revisions_.end(), [&](const auto& change) {
        return change.second > since && change.first.starts_with(prefix);
      });
  if (changed) {
    done(http::JsonResponse(kOk, ChangedKeys(prefix, since)), core::milliseconds{faults_.slow_ms});
    return;
  }
  const core::milliseconds timeout{static_cast<std::int64_t>(Number(received, "timeout_ms"))};
  watches_.push_back({prefix, time_.Now() + timeout, std::move(done)});
}

std::string kv_service::ChangedKeys(const std::string& prefix, std::uint64_t since) const {
  json keys = json::array();
  for (const auto& [key, revision] : change_revisions_) {
    if (revision > since && key.starts_with(prefix)) keys.push_back(key);
  }
  return json{{"revision", revision_}, {"keys", std::move(keys)}}.dump();
}

void kv_service::RecordChange(const std::string& key) {
  const std::uint64_t before = revision_++;
  change_revisions_[key] = revision_;
  std::vector<waiting_watch> rest;
  for (auto& watch : watches_) {
    if (key.starts_with(watch.prefix)) {
      watch.done(http::JsonResponse(kOk, ChangedKeys(watch.prefix, before)),
                 core::milliseconds{faults_.slow_ms});
    } else {
      rest.push_back(std::move(watch));
    }
  }
  watches_ = std::move(rest);
}

void kv_service::Erase(const std::string& key) {
  const auto found = items_.find(key);
  if (found == items_.end()) return;
  if (const auto lease = leases_.find(found->second.lease); lease != leases_.end()) {
    lease->second.keys.erase(key);
  }
  items_.erase(found);
  RecordChange(key);
}

void kv_service::RevokeLease(std::uint64_t lease) {
  auto node = leases_.extract(lease);
  if (node.empty()) return;
  for (const std::string& key : node.mapped().keys) Erase(key);
}

void kv_service::Tick() {
  const core::mono_time now = time_.Now();
  std::vector<std::uint64_t> expired;
  for (const auto& [lease, state] : leases_) {
    if (state.expires <= now) expired.push_back(lease);
  }
  for (const std::uint64_t lease : expired) RevokeLease(lease);
  std::erase_if(watches_, [&](waiting_watch& watch) {
    if (watch.expires > now) return false;
    watch.done(
        http::JsonResponse(kOk, json{{"revision", revision_}, {"keys", json::array()}}.dump()), {});
    return true;
  });
}

void kv_service::ReplaceValue(const std::string& key, const std::string& value) {
  replaced_[key] = value;
  const auto present = items_.find(key);
  if (present == items_.end()) return;
  RecordChange(key);
  present->second.value = value;
  present->second.version = revision_;
}

http::response kv_service::HandleAdmin(const http::request& received) {
  if (received.path == "/admin/faults" && received.method == "POST") {
    const json body = json::parse(received.body, nullptr, false);
    if (!body.is_object()) return Plain(kBadRequest);
    faults_.down = body.value("down", faults_.down);
    faults_.slow_ms = body.value("slow_ms", faults_.slow_ms);
    faults_.drop_answers = body.value("drop_answers", faults_.drop_answers);
    faults_.write_rate = body.value("write_rate", faults_.write_rate);
    faults_.read_rate = body.value("read_rate", faults_.read_rate);
    faults_.cut = body.value("cut", faults_.cut);
    return Plain(kOk);
  }
  if (received.path.starts_with(kReplacePath)) {
    ReplaceValue(received.path.substr(kReplacePath.size()), received.body);
    return Plain(kOk);
  }
  if (received.path == "/admin/reset") {
    stats_ = {};
    return Plain(kOk);
  }
  if (received.path != "/admin/stats") return Plain(kNotFound);
  return http::JsonResponse(kOk, json{{"writes", stats_.writes},
                                      {"reads", stats_.reads},
                                      {"watches", stats_.watches},
                                      {"refused", stats_.refused},
                                      {"bytes_in", stats_.bytes_in},
                                      {"bytes_out", stats_.bytes_out},
                                      {"worst_writes_per_second", stats_.worst_writes_per_second},
                                      {"worst_reads_per_second", stats_.worst_reads_per_second},
                                      {"keys", items_.size()},
                                      {"revision", revision_}}
                                     .dump());
}

}  // namespace coltsfoot::fakes
