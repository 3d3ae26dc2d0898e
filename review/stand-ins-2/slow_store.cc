#include "slow_store.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace coltsfoot::review {
namespace {

using nlohmann::json;

constexpr milliseconds kStep{1};
// Longer than any wait of a watch.
constexpr milliseconds kForwardLimit{40'000};

void RaiseRevisions(json& value, std::uint64_t by) {
  for (auto& [name, field] : value.items()) {
    if (field.is_structured()) {
      RaiseRevisions(field, by);
    } else if (name == "rev" || name == "storeRevision" || name == "created") {
      field = field.get<std::uint64_t>() + by;
    }
  }
}

}  // namespace

slow_store::slow_store(std::string store, milliseconds delay, std::uint64_t changes_before)
    : store_(std::move(store)),
      delay_ms_(delay.count()),
      changes_before_(changes_before),
      server_(std::make_unique<http::server>(
          http::server_options{},
          [this](const http::request& request, const http::responder& respond) {
            const std::lock_guard lock(mutex_);
            waiting_.push_back({steady::now() + milliseconds(delay_ms_), request, respond});
          })) {
  timer_ = std::thread([this] {
    std::unique_lock lock(mutex_);
    while (!stopped_.wait_for(lock, kStep, [this] { return stopping_; })) {
      std::vector<call> later;
      for (call& each : std::exchange(waiting_, {})) {
        if (each.due <= steady::now()) {
          Forward(std::move(each));
        } else {
          later.push_back(std::move(each));
        }
      }
      waiting_ = std::move(later);
    }
  });
}

slow_store::~slow_store() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  stopped_.notify_all();
  timer_.join();
  client_.reset();
  server_.reset();
}

void slow_store::Forward(call each) {
  std::string url = "http://" + store_ + each.request.path;
  const char* separator = "?";
  for (const auto& [name, value] : each.request.query) {
    const bool is_revision = name == "after" && each.request.path == "/-/kv-watch";
    url += separator + name + "=" + http::UrlEncode(is_revision ? ToStore(value) : value);
    separator = "&";
  }
  client_->Send(
      {.method = each.request.method,
       .url = url,
       .headers = {{"Content-Type", "application/json"}},
       .body = BodyToStore(each.request.body),
       .timeout = kForwardLimit},
      [this, respond = each.respond](http::call_result result) {
        // Without an answer the caller gets none either.
        if (!result.answer) return;
        respond(http::JsonResponse(result.answer->status, BodyFromStore(result.answer->body)));
      });
}

std::string slow_store::ToStore(const std::string& revision) const {
  const std::uint64_t value = std::stoull(revision);
  return std::to_string(value > changes_before_ ? value - changes_before_ : 0);
}

std::string slow_store::BodyToStore(const std::string& body) const {
  json call = json::parse(body, nullptr, false);
  if (!call.is_object() || !call.contains("expectRev")) return body;
  for (json& row : call["expectRev"]) {
    const auto value = row.at("rev").get<std::uint64_t>();
    row["rev"] = value > changes_before_ ? value - changes_before_ : 0;
  }
  return call.dump();
}

std::string slow_store::BodyFromStore(const std::string& body) const {
  json answer = json::parse(body, nullptr, false);
  if (!answer.is_object()) return body;
  RaiseRevisions(answer, changes_before_);
  return answer.dump();
}

}  // namespace coltsfoot::review
