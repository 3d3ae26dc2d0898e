#include "slow_store.h"

#include <utility>

namespace coltsfoot::review {
namespace {

constexpr milliseconds kStep{1};
// Longer than any wait of a watch.
constexpr milliseconds kForwardLimit{40'000};

}  // namespace

slow_store::slow_store(std::string store, milliseconds delay)
    : store_(std::move(store)),
      delay_ms_(delay.count()),
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
    url += separator + name + "=" + http::UrlEncode(value);
    separator = "&";
  }
  client_->Send({.method = each.request.method,
                 .url = url,
                 .headers = {{"Content-Type", "application/json"}},
                 .body = each.request.body,
                 .timeout = kForwardLimit},
                [respond = each.respond](http::call_result result) {
                  // Without an answer the caller gets none either.
                  if (result.answer) {
                    respond(http::JsonResponse(result.answer->status, result.answer->body));
                  }
                });
}

}  // namespace coltsfoot::review
