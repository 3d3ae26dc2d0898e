#include "http/client.h"

#include <curl/curl.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <charconv>
#include <chrono>
#include <deque>
#include <future>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "connection_pool.h"
#include "core/result_code.h"

namespace coltsfoot::http {
namespace {

constexpr long kMaxConnections = 512;  // NOLINT(google-runtime-int): libcurl's type
constexpr int kPollTimeoutMs = 1000;
constexpr std::size_t kMaxIdleHandles = 64;

using steady_time = std::chrono::steady_clock::time_point;

class answers_in_progress;

struct transfer {
  call request;
  call_handler handler;
  std::shared_ptr<connection_pool> pool;
  answers_in_progress* others = nullptr;
  response answer;
  std::size_t received_bytes = 0;
  std::size_t header_bytes = 0;
  curl_slist* header_list = nullptr;
  bool sent = false;  ///< libcurl had a connection and started to send the request
  bool over_limit = false;
  bool cut_off = false;                         ///< to make room for other answers
  steady_time expires_at = steady_time::max();  ///< of calls with a stall timeout

  ~transfer() { curl_slist_free_all(header_list); }

  bool IsOverLimit(std::size_t body_bytes) const {
    return body_bytes > (request.body_limit > 0 ? request.body_limit : kDefaultBodyLimitBytes);
  }
  void OnProgress() {
    if (!request.stall_timeout) return;
    expires_at = std::chrono::steady_clock::now() + *request.stall_timeout;
  }
};

/// Bodies that one client is receiving. Keeps them within `kAnswerBudgetBytes`.
class answers_in_progress {
 public:
  /// Adds received bytes; cuts off the largest answer if all are too large together.
  void Add(transfer& item, std::string_view data) {
    const std::size_t before = held_.insert(&item).second ? 0 : item.answer.body.capacity();
    item.answer.body.append(data);
    bytes_ += item.answer.body.capacity() - before;
    if (bytes_ <= kAnswerBudgetBytes) return;
    transfer& largest = **std::max_element(
        held_.begin(), held_.end(), [](const transfer* left, const transfer* right) {
          return left->answer.body.capacity() < right->answer.body.capacity();
        });
    largest.cut_off = true;
    Remove(largest);
    std::string().swap(largest.answer.body);
    any_cut_off_ = true;
  }
  /// Call before the body of an answer is moved or destroyed.
  void Remove(transfer& item) {
    if (held_.erase(&item) > 0) bytes_ -= item.answer.body.capacity();
  }
  /// @return true if an answer was cut off since the last call.
  bool TakeCutOff() { return std::exchange(any_cut_off_, false); }

 private:
  std::unordered_set<transfer*> held_;
  std::size_t bytes_ = 0;  ///< capacity of the bodies
  bool any_cut_off_ = false;
};

// Less than the size of the data, as the result of a callback, makes libcurl cut off the transfer.
constexpr std::size_t kCutOff = 0;

std::size_t AppendBody(char* data, std::size_t size, std::size_t count, void* target) {
  auto& item = *static_cast<transfer*>(target);
  if (item.cut_off) return kCutOff;
  item.OnProgress();
  item.received_bytes += size * count;
  item.over_limit = item.IsOverLimit(item.received_bytes);
  if (item.over_limit) return kCutOff;
  item.others->Add(item, {data, size * count});
  return item.cut_off ? kCutOff : size * count;
}

bool IsContentLength(const std::string& name) {
  const header_less less;
  return !less(name, "Content-Length") && !less("Content-Length", name);
}

/// @return the number in `text`; 0 if it is not one.
std::size_t ToSize(std::string_view text) {
  std::size_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

std::size_t AppendHeader(char* data, std::size_t size, std::size_t count, void* target) {
  auto& item = *static_cast<transfer*>(target);
  item.OnProgress();
  const std::string_view line(data, size * count);
  // Counts interim answers and trailers too, which libcurl passes on without a limit.
  item.header_bytes += line.size();
  if (item.header_bytes > kHeaderLimitBytes) return kCutOff;
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos) return size * count;
  std::size_t begin = colon + 1;
  std::size_t end = line.size();
  while (begin < end && std::isspace(static_cast<unsigned char>(line[begin])) != 0) ++begin;
  while (end > begin && std::isspace(static_cast<unsigned char>(line[end - 1])) != 0) --end;
  const std::string name(line.substr(0, colon));
  const std::string value(line.substr(begin, end - begin));
  item.answer.headers.insert_or_assign(name, value);
  item.over_limit = IsContentLength(name) && item.IsOverLimit(ToSize(value));
  return item.over_limit ? kCutOff : size * count;
}

// libcurl resends a request when a reused connection breaks before the answer. The server may have
// run the request already, so only the first attempt is allowed.
int AllowOneAttempt(void* target, char* /*remote_ip*/, char* /*local_ip*/, int /*remote_port*/,
                    int /*local_port*/) {
  return std::exchange(static_cast<transfer*>(target)->sent, true) ? CURL_PREREQFUNC_ABORT
                                                                   : CURL_PREREQFUNC_OK;
}

core::result_code ToResultCode(CURLcode failure, bool sent) {
  switch (failure) {
    case CURLE_COULDNT_CONNECT:
    case CURLE_COULDNT_RESOLVE_HOST:
    case CURLE_URL_MALFORMAT:
      // If the request was sent on a connection that broke, a failure to connect again does not
      // prove that it did not run.
      return sent ? core::result_code::connection_lost : core::result_code::connect_failed;
    case CURLE_OPERATION_TIMEDOUT:
      return core::result_code::deadline_exceeded;
    case CURLE_PARTIAL_FILE:
    case CURLE_WRITE_ERROR:
      return core::result_code::answer_truncated;
    default:
      return core::result_code::connection_lost;
  }
}

class curl_client final : public client {
 public:
  curl_client() {
    static std::once_flag global_init;
    std::call_once(global_init, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
    multi_ = curl_multi_init();
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, kMaxConnections);
    thread_ = std::thread([this] { Run(); });
  }

  ~curl_client() override {
    stopping_ = true;
    curl_multi_wakeup(multi_);
    thread_.join();
    for (CURL* handle : idle_handles_) curl_easy_cleanup(handle);
    pools_ = {};
    curl_multi_cleanup(multi_);
  }

  void Send(call request, call_handler handler) override {
    auto item = std::make_unique<transfer>();
    item->request = std::move(request);
    item->handler = std::move(handler);
    {
      const std::lock_guard lock(mutex_);
      pending_.push_back(std::move(item));
    }
    curl_multi_wakeup(multi_);
  }

 private:
  void Run() {
    while (!stopping_) {
      StartPending();
      int running = 0;
      curl_multi_perform(multi_, &running);
      FinishCompleted();
      FinishCutOff();
      curl_multi_poll(multi_, nullptr, 0, FinishExpired(), nullptr);
    }
    FailAll();
  }

  void StartPending() {
    std::deque<std::unique_ptr<transfer>> batch;
    {
      const std::lock_guard lock(mutex_);
      batch.swap(pending_);
    }
    for (auto& item : batch) Start(std::move(item));
  }

  void Start(std::unique_ptr<transfer> item) {
    CURL* handle = AcquireHandle();
    const call& request = item->request;
    item->others = &answers_;
    item->pool = pools_.For(request.url, std::chrono::steady_clock::now());
    curl_easy_setopt(handle, CURLOPT_SHARE, item->pool->handle());
    curl_easy_setopt(handle, CURLOPT_URL, request.url.c_str());
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    if (request.stall_timeout) {
      item->expires_at = std::chrono::steady_clock::now() + request.timeout;
    } else {
      curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(request.timeout.count()));
    }
    curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, request.at_most_once ? 1L : 0L);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, AppendBody);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, item.get());
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, AppendHeader);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, item.get());
    curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, AllowOneAttempt);
    curl_easy_setopt(handle, CURLOPT_PREREQDATA, item.get());
    if (request.method != "GET" || !request.body.empty()) {
      curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                       static_cast<curl_off_t>(request.body.size()));
      curl_easy_setopt(handle, CURLOPT_POSTFIELDS, request.body.data());
    }
    // libcurl waits for "100 Continue" before it sends a large body; no server here needs that.
    item->header_list = curl_slist_append(item->header_list, "Expect:");
    for (const auto& [name, value] : request.headers) {
      item->header_list = curl_slist_append(item->header_list, (name + ": " + value).c_str());
    }
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, item->header_list);
    curl_multi_add_handle(multi_, handle);
    active_.emplace(handle, std::move(item));
  }

  CURL* AcquireHandle() {
    if (idle_handles_.empty()) return curl_easy_init();
    CURL* handle = idle_handles_.back();
    idle_handles_.pop_back();
    return handle;
  }

  void FinishCompleted() {
    int remaining = 0;
    while (CURLMsg* message = curl_multi_info_read(multi_, &remaining)) {
      if (message->msg != CURLMSG_DONE) continue;
      Finish(message->easy_handle, message->data.result);
    }
  }

  /// Ends the calls whose answers were cut off while libcurl handled another one.
  void FinishCutOff() {
    if (!answers_.TakeCutOff()) return;
    std::vector<CURL*> cut_off;
    for (const auto& [handle, item] : active_) {
      if (item->cut_off) cut_off.push_back(handle);
    }
    for (CURL* handle : cut_off) Finish(handle, CURLE_WRITE_ERROR);
  }

  /// Ends the calls whose answers have not begun in time or stall.
  /// @return time to wait for the next event, in milliseconds.
  int FinishExpired() {
    const steady_time now = std::chrono::steady_clock::now();
    steady_time next = now + std::chrono::milliseconds{kPollTimeoutMs};
    std::vector<CURL*> expired;
    for (const auto& [handle, item] : active_) {
      if (item->expires_at <= now) {
        expired.push_back(handle);
      } else {
        next = std::min(next, item->expires_at);
      }
    }
    for (CURL* handle : expired) Finish(handle, CURLE_OPERATION_TIMEDOUT);
    return static_cast<int>(std::chrono::ceil<std::chrono::milliseconds>(next - now).count());
  }

  void Finish(CURL* handle, CURLcode failure) {
    auto node = active_.extract(handle);
    // An answer may be cut off after libcurl has received all of it.
    if (node.mapped()->cut_off) failure = CURLE_WRITE_ERROR;
    long status = 0;  // NOLINT(google-runtime-int): libcurl's type
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
    DiscardSilentConnections(*node.mapped(), handle, failure);
    curl_multi_remove_handle(multi_, handle);
    ReleaseHandle(handle);
    answers_.Remove(*node.mapped());
    Deliver(*node.mapped(), failure, static_cast<int>(status));
  }

  // A host can lose its connections without a reset, for example to a restarted firewall. Without
  // an answer in time on a reused connection, the other idle ones to that server may be as dead,
  // and each would cost a further timeout.
  void DiscardSilentConnections(const transfer& item, CURL* handle, CURLcode failure) {
    if (failure != CURLE_OPERATION_TIMEDOUT || !item.sent) return;
    long opened = 0;  // NOLINT(google-runtime-int): libcurl's type
    curl_easy_getinfo(handle, CURLINFO_NUM_CONNECTS, &opened);
    if (opened > 0 || !pools_.Discard(item.request.url, item.pool)) return;
    spdlog::info("event=connections_discarded url={} timeout_ms={}", item.request.url,
                 item.request.timeout.count());
  }

  void ReleaseHandle(CURL* handle) {
    curl_easy_setopt(handle, CURLOPT_SHARE, nullptr);
    if (idle_handles_.size() >= kMaxIdleHandles) {
      curl_easy_cleanup(handle);
      return;
    }
    curl_easy_reset(handle);
    idle_handles_.push_back(handle);
  }

  static void Deliver(transfer& item, CURLcode failure, int status) {
    call_result result;
    result.received_bytes = item.received_bytes;
    result.status = status;
    result.over_limit = item.over_limit;
    if (failure == CURLE_OK) {
      item.answer.status = status;
      result.answer = std::move(item.answer);
      result.reason.code = core::result_code::ok;
    } else {
      result.reason = {ToResultCode(failure, item.sent), curl_easy_strerror(failure)};
    }
    item.handler(std::move(result));
  }

  void FailAll() {
    for (auto& [handle, item] : active_) {
      curl_multi_remove_handle(multi_, handle);
      curl_easy_cleanup(handle);
      item->handler({.answer = std::nullopt,
                     .reason = {core::result_code::connection_lost, "client is closed"},
                     .received_bytes = item->received_bytes});
    }
    active_.clear();
    const std::lock_guard lock(mutex_);
    for (auto& item : pending_) {
      item->handler({.answer = std::nullopt,
                     .reason = {core::result_code::connect_failed, "client is closed"}});
    }
    pending_.clear();
  }

  CURLM* multi_ = nullptr;
  std::atomic<bool> stopping_{false};
  std::mutex mutex_;
  std::deque<std::unique_ptr<transfer>> pending_;
  answers_in_progress answers_;  ///< of the traffic thread
  std::unordered_map<CURL*, std::unique_ptr<transfer>> active_;
  std::vector<CURL*> idle_handles_;
  connection_pools pools_;  ///< of the traffic thread
  std::thread thread_;
};

}  // namespace

std::unique_ptr<client> MakeCurlClient() { return std::make_unique<curl_client>(); }

call_result CallAndWait(client& via, call request) {
  auto promise = std::make_shared<std::promise<call_result>>();
  auto future = promise->get_future();
  via.Send(std::move(request),
           [promise](call_result result) { promise->set_value(std::move(result)); });
  return future.get();
}

std::string UrlEncode(std::string_view text) {
  constexpr std::string_view kHex = "0123456789ABCDEF";
  std::string out;
  for (const char character : text) {
    const auto byte = static_cast<unsigned char>(character);
    const bool unreserved = std::isalnum(byte) != 0 || character == '-' || character == '_' ||
                            character == '.' || character == '~';
    if (unreserved) {
      out += character;
    } else {
      out += '%';
      out += kHex[byte >> 4U];
      out += kHex[byte & 15U];
    }
  }
  return out;
}

}  // namespace coltsfoot::http
