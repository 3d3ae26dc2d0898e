#include "store.h"

#include <absl/strings/escaping.h>

#include <algorithm>
#include <utility>

#include "store/kv_client.h"

namespace coltsfoot::review {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds kStep{10};
constexpr std::size_t kMaxPageItems = 500;
constexpr std::size_t kMaxPageBytes = 1'000'000;
constexpr std::size_t kMaxTransactionEntries = 32;
constexpr std::size_t kMaxValueBytes = 1'048'576;

http::response Answer(int status, const json& body) {
  return http::JsonResponse(status, body.dump());
}

std::uint64_t NumberParameter(const http::request& request, std::string_view name) {
  return std::stoull(request.FindParameter(name).value_or("0"));
}

template <class Item>
json Encode(const std::string& key, const Item& entry) {
  return {{"key", key}, {"value", entry.value}, {"rev", entry.revision}, {"lease", entry.lease}};
}

}  // namespace

metadata_store::metadata_store()
    : server_(std::make_unique<web_server>(
          [this](const http::request& request, const http::responder& respond) {
            Handle(request, respond);
          })) {
  timer_ = std::thread([this] {
    std::unique_lock lock(mutex_);
    while (!stopped_.wait_for(lock, kStep, [this] { return stopping_; })) Step();
  });
}

metadata_store::~metadata_store() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  stopped_.notify_all();
  timer_.join();
  server_.reset();
}

std::string metadata_store::address() const {
  return "127.0.0.1:" + std::to_string(server_->port());
}

void metadata_store::Put(const std::string& key, const std::string& value) {
  const std::lock_guard lock(mutex_);
  ++revision_;
  Write(key, item{absl::Base64Escape(value), revision_, 0});
  AnswerWatches();
}

void metadata_store::Preload(const std::string& key, const std::string& value) {
  const std::lock_guard lock(mutex_);
  ++revision_;
  items_[key] = item{absl::Base64Escape(value), revision_, 0};
  history_from_ = revision_;
}

std::optional<std::string> metadata_store::Find(const std::string& key) {
  const std::lock_guard lock(mutex_);
  const auto found = items_.find(key);
  std::string value;
  if (found == items_.end() || !absl::Base64Unescape(found->second.value, &value)) {
    return std::nullopt;
  }
  return value;
}

std::size_t metadata_store::CountKeys(std::string_view prefix) {
  const std::lock_guard lock(mutex_);
  std::size_t count = 0;
  for (auto each = items_.lower_bound(prefix);
       each != items_.end() && each->first.starts_with(prefix); ++each) {
    ++count;
  }
  return count;
}

std::size_t metadata_store::ListedBytes(std::string_view prefix) {
  const std::lock_guard lock(mutex_);
  std::size_t bytes = 0;
  for (auto each = items_.lower_bound(prefix);
       each != items_.end() && each->first.starts_with(prefix); ++each) {
    std::string value;
    absl::Base64Unescape(each->second.value, &value);
    bytes += sizeof(store::kv_entry) + each->first.size() + value.size();
  }
  return bytes;
}

void metadata_store::SetDown(bool down) {
  const std::lock_guard lock(mutex_);
  down_ = down;
  if (!down) return;
  for (const pending_watch& watch : watches_) watch.respond(Answer(503, json::object()));
  watches_.clear();
}

void metadata_store::Write(const std::string& key, std::optional<item> now) {
  if (now) {
    items_[key] = *now;
  } else {
    items_.erase(key);
  }
  history_.push_back({key, revision_, std::move(now)});
}

void metadata_store::Handle(const http::request& request, const http::responder& respond) {
  const std::lock_guard lock(mutex_);
  if (down_) {
    respond(Answer(503, json::object()));
  } else if (request.path == "/-/kv-watch") {
    watches_.push_back({request.FindParameter("prefix").value_or(""),
                        NumberParameter(request, "after"),
                        steady::now() + milliseconds(NumberParameter(request, "waitMs")), respond});
    AnswerWatches();
  } else if (request.path == "/-/kv-key") {
    respond(Read(request));
  } else if (request.path == "/-/kv-range") {
    respond(ReadPage(request));
  } else {
    respond(request.path == "/-/kv-txn" ? Commit(request) : HandleLease(request));
    AnswerWatches();
  }
}

http::response metadata_store::Read(const http::request& request) const {
  const std::string key = request.FindParameter("key").value_or("");
  const auto found = items_.find(key);
  if (found == items_.end()) return Answer(404, {{"storeRevision", revision_}});
  json body = Encode(key, found->second);
  body["storeRevision"] = revision_;
  return Answer(200, body);
}

http::response metadata_store::ReadPage(const http::request& request) const {
  const std::string prefix = request.FindParameter("prefix").value_or("");
  const std::string after = request.FindParameter("after").value_or("");
  auto each = after.empty() ? items_.lower_bound(prefix) : items_.upper_bound(after);
  json items = json::array();
  std::size_t bytes = 0;
  for (; each != items_.end() && each->first.starts_with(prefix); ++each) {
    if (items.size() >= kMaxPageItems || bytes >= kMaxPageBytes) break;
    bytes += each->first.size() + each->second.value.size();
    items.push_back(Encode(each->first, each->second));
  }
  const bool truncated = each != items_.end() && each->first.starts_with(prefix);
  return Answer(200, {{"items", items}, {"truncated", truncated}, {"storeRevision", revision_}});
}

http::response metadata_store::Commit(const http::request& request) {
  const json body = json::parse(request.body);
  const json& expected = body.at("expectRev");
  const json& puts = body.at("puts");
  const json& removed = body.at("remove");
  if (expected.size() + puts.size() + removed.size() > kMaxTransactionEntries) {
    return Answer(400, json::object());
  }
  bool versions_match = true;
  json present = json::array();
  for (const json& row : expected) {
    const auto key = row.at("key").get<std::string>();
    const auto found = items_.find(key);
    const std::uint64_t version = found == items_.end() ? 0 : found->second.revision;
    versions_match = versions_match && version == row.at("rev").get<std::uint64_t>();
    if (found != items_.end()) present.push_back(Encode(key, found->second));
  }
  if (!versions_match) return Answer(412, {{"items", present}});
  for (const json& put : puts) {
    const auto id = put.value("lease", std::uint64_t{0});
    if (id != 0 && !leases_.contains(id)) return Answer(404, json::object());
    // Base64 takes four bytes for three.
    if (put.at("value").get<std::string>().size() / 4 * 3 > kMaxValueBytes + 2) {
      return Answer(400, json::object());
    }
  }
  ++revision_;
  for (const json& put : puts) {
    Write(put.at("key").get<std::string>(), item{put.at("value").get<std::string>(), revision_,
                                                 put.value("lease", std::uint64_t{0})});
  }
  for (const json& key : removed) {
    if (items_.contains(key.get<std::string>())) Write(key.get<std::string>(), std::nullopt);
  }
  return Answer(200, {{"rev", revision_}});
}

http::response metadata_store::HandleLease(const http::request& request) {
  if (request.path == "/-/kv-lease") {
    const milliseconds ttl(json::parse(request.body).at("ttlMs").get<std::int64_t>());
    leases_[++last_lease_] = {ttl, steady::now() + ttl};
    return Answer(200, {{"lease", last_lease_}, {"ttlMs", ttl.count()}});
  }
  const std::uint64_t id = std::stoull(request.path.substr(request.path.rfind('/') + 1));
  const auto found = leases_.find(id);
  if (found == leases_.end()) return Answer(404, json::object());
  const bool ends = request.method == "DELETE";
  found->second.ends_at = steady::now() + (ends ? milliseconds{0} : found->second.ttl);
  ExpireLeases();
  return Answer(200, {{"lease", id}});
}

void metadata_store::ExpireLeases() {
  std::erase_if(leases_, [this](const auto& each) {
    if (steady::now() < each.second.ends_at) return false;
    std::vector<std::string> expired_keys;
    for (const auto& [key, entry] : items_) {
      if (entry.lease == each.first) expired_keys.push_back(key);
    }
    if (!expired_keys.empty()) ++revision_;
    for (const std::string& key : expired_keys) Write(key, std::nullopt);
    return true;
  });
}

std::optional<http::response> metadata_store::ChangesFor(const pending_watch& watch) const {
  if (watch.after < history_from_) return Answer(410, json::object());
  json events = json::array();
  auto each = std::upper_bound(
      history_.begin(), history_.end(), watch.after,
      [](std::uint64_t after, const change& other) { return after < other.revision; });
  for (; each != history_.end(); ++each) {
    if (!each->key.starts_with(watch.prefix)) continue;
    if (each->now) {
      events.push_back(Encode(each->key, *each->now));
    } else {
      events.push_back({{"key", each->key}, {"rev", each->revision}, {"removed", true}});
    }
  }
  if (events.empty() && steady::now() < watch.until) return std::nullopt;
  return Answer(200, {{"events", events}, {"storeRevision", revision_}});
}

void metadata_store::AnswerWatches() {
  std::erase_if(watches_, [this](const pending_watch& watch) {
    const auto answer = ChangesFor(watch);
    if (answer) watch.respond(*answer);
    return answer.has_value();
  });
}

void metadata_store::Step() {
  const steady::time_point now = steady::now();
  const auto passed = now - std::exchange(stepped_at_, now);
  if (down_) {
    for (auto& [id, each] : leases_) each.ends_at += passed;
    return;
  }
  ExpireLeases();
  AnswerWatches();
}

}  // namespace coltsfoot::review
