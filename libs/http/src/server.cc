// The only translation unit that includes RESTinio, whose headers take long to compile.
#include "http/server.h"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <restinio/all.hpp>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

namespace coltsfoot::http {
namespace {

// A body above `body_limit` is answered with `body_too_large`. RESTinio itself closes the
// connection without an answer above this multiple of the limit.
constexpr std::uint64_t kHardBodyLimitFactor = 16;
constexpr std::size_t kMaxUrlBytes = 8192;
constexpr std::size_t kMaxFieldBytes = 8192;
constexpr std::size_t kMaxFields = 100;
constexpr std::size_t kMaxPipelinedRequests = 8;
constexpr std::chrono::minutes kIdleConnectionTimeout{5};
constexpr std::chrono::minutes kHandleRequestTimeout{10};

struct server_traits : restinio::default_traits_t {
  using request_handler_t =
      std::function<restinio::request_handling_status_t(restinio::request_handle_t)>;
};

/// @return the path with percent-encoded bytes decoded; unchanged if the encoding is malformed.
std::string DecodePath(restinio::string_view_t path) {
  try {
    return restinio::utils::unescape_percent_encoding<restinio::utils::relaxed_unescape_traits>(
        path);
  } catch (const restinio::exception_t&) {
    return std::string(path);
  }
}

request Convert(const restinio::request_t& source) {
  request out;
  out.method = source.header().method().c_str();
  out.path = DecodePath(source.header().path());
  const auto query =
      restinio::parse_query<restinio::parse_query_traits::relaxed>(source.header().query());
  for (const auto& [key, value] : query) out.query.emplace(std::string(key), std::string(value));
  source.header().for_each_field([&out](const restinio::http_header_field_t& field) {
    out.headers.emplace(field.name(), field.value());
  });
  out.body = source.body();
  return out;
}

restinio::http_status_line_t StatusLine(int status) {
  const char* reason = status < 300 ? "OK" : "Error";
  return {restinio::http_status_code_t{static_cast<std::uint16_t>(status)}, reason};
}

void Send(const restinio::request_handle_t& handle, const response& answer, bool keep_alive) {
  auto builder = handle->create_response(StatusLine(answer.status));
  for (const auto& [name, value] : answer.headers) builder.append_header(name, value);
  if (!keep_alive) builder.connection_close();
  builder.set_body(answer.body);
  builder.done();
}

}  // namespace

class server::impl : public std::enable_shared_from_this<server::impl> {
 public:
  impl(server_options options, request_handler handler)
      : options_(std::move(options)), handler_(std::move(handler)), server_(MakeServer()) {
    server_.open_sync();
  }

  /// Starts the traffic threads. Not part of the constructor, because requests need
  /// `weak_from_this`.
  void Run() {
    for (std::size_t index = 0; index < options_.threads; ++index) {
      threads_.emplace_back([this] { context_.run(); });
    }
  }

  ~impl() { Stop(); }

  std::uint16_t port() const noexcept { return port_; }

  void BeginClose() { closing_ = true; }

  void StopAccepting() {
    closing_ = true;
    restinio::asio_ns::post(context_, [this] { server_.close_sync(); });
  }

  bool idle() const {
    const std::lock_guard lock(mutex_);
    return IsIdle();
  }

  void ShutDown(std::chrono::milliseconds limit) {
    closing_ = true;
    {
      std::unique_lock lock(mutex_);
      idle_.wait_for(lock, limit, [this] { return IsIdle(); });
    }
    // RESTinio may still be writing the last answer to its socket when the count reaches zero.
    std::this_thread::sleep_for(std::chrono::milliseconds{50});
    Stop();
  }

  void Stop() {
    if (stopped_.exchange(true)) return;
    closing_ = true;
    restinio::asio_ns::post(context_, [this] { server_.close_sync(); });
    context_.stop();
    for (auto& thread : threads_) thread.join();
    const std::lock_guard lock(mutex_);
    in_progress_.clear();
  }

 private:
  restinio::http_server_t<server_traits> MakeServer() {
    return restinio::http_server_t<server_traits>{
        restinio::external_io_context(context_), [this](auto& settings) {
          settings.port(options_.port)
              .address(options_.address)
              .read_next_http_message_timelimit(kIdleConnectionTimeout)
              .handle_request_timeout(kHandleRequestTimeout)
              .max_pipelined_requests(kMaxPipelinedRequests)
              // RESTinio counts connections without a lock, so only one may be accepted at a time.
              .concurrent_accepts_count(1)
              .buffer_size(16384)
              .incoming_http_msg_limits(
                  restinio::incoming_http_msg_limits_t{}
                      .max_url_size(kMaxUrlBytes)
                      .max_field_name_size(kMaxFieldBytes)
                      .max_field_value_size(kMaxFieldBytes)
                      .max_field_count(kMaxFields)
                      .max_body_size(options_.body_limit * kHardBodyLimitFactor))
              .socket_options_setter([](restinio::socket_options_t& socket) {
                socket.set_option(restinio::asio_ns::ip::tcp::no_delay{true});
              })
              .acceptor_post_bind_hook([this](restinio::asio_ns::ip::tcp::acceptor& acceptor) {
                port_ = acceptor.local_endpoint().port();
              })
              .request_handler([this](restinio::request_handle_t handle) {
                OnRequest(std::move(handle));
                return restinio::request_accepted();
              });
        }};
  }

  void OnRequest(restinio::request_handle_t handle) {
    if (handle->body().size() > options_.body_limit) {
      if (options_.on_refused) options_.on_refused(core::result_code::body_too_large);
      http::Send(handle, BodyTooLarge(), false);
      return;
    }
    request received = Convert(*handle);
    std::uint64_t id = 0;
    {
      const std::lock_guard lock(mutex_);
      id = ++last_id_;
      in_progress_.emplace(id, std::move(handle));
    }
    // A responder may outlive the server, so it must not own the connection.
    handler_(std::move(received), [weak = weak_from_this(), id](response answer) {
      if (const auto self = weak.lock()) self->Answer(id, std::move(answer));
    });
  }

  void Answer(std::uint64_t id, response answer) {
    restinio::request_handle_t handle;
    {
      const std::lock_guard lock(mutex_);
      auto node = in_progress_.extract(id);
      if (node.empty()) return;
      handle = std::move(node.mapped());
      ++sending_;
    }
    // RESTinio's connections are not thread-safe; send the answer on the server's own context.
    restinio::asio_ns::post(context_, [this, handle, answer = std::move(answer)] {
      http::Send(handle, answer, handle->header().should_keep_alive() && !closing_);
      const std::lock_guard lock(mutex_);
      --sending_;
      if (IsIdle()) idle_.notify_all();
    });
  }

  bool IsIdle() const { return in_progress_.empty() && sending_ == 0; }

  static response BodyTooLarge() {
    response answer =
        JsonResponse(413, R"({"code":102,"name":"body_too_large",)"
                          R"("reason":"the body exceeds the size limit","not_run":true})");
    answer.headers["X-Result-Code"] = "102";
    answer.headers["X-Not-Run"] = "true";
    return answer;
  }

  server_options options_;
  request_handler handler_;
  std::uint16_t port_ = 0;
  std::atomic<bool> closing_{false};
  std::atomic<bool> stopped_{false};
  mutable std::mutex mutex_;
  std::condition_variable idle_;
  std::uint64_t last_id_ = 0;
  std::size_t sending_ = 0;
  std::unordered_map<std::uint64_t, restinio::request_handle_t> in_progress_;
  restinio::asio_ns::io_context context_;
  restinio::http_server_t<server_traits> server_;
  std::vector<std::thread> threads_;
};

server::server(server_options options, request_handler handler)
    : impl_(std::make_shared<impl>(std::move(options), std::move(handler))) {
  impl_->Run();
}

server::~server() { impl_->Stop(); }

std::uint16_t server::port() const noexcept { return impl_->port(); }

void server::BeginClose() { impl_->BeginClose(); }

void server::StopAccepting() { impl_->StopAccepting(); }

bool server::idle() const { return impl_->idle(); }

void server::ShutDown(std::chrono::milliseconds limit) { impl_->ShutDown(limit); }

}  // namespace coltsfoot::http
