#include "web_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <future>
#include <list>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

namespace coltsfoot::review {
namespace {

namespace beast = boost::beast;
using boost::asio::ip::tcp;

constexpr std::uint64_t kBodyLimitBytes = 64U << 20U;
constexpr int kHex = 16;

std::string Decode(std::string_view text) {
  std::string out;
  for (std::size_t index = 0; index < text.size(); ++index) {
    if (text[index] == '%' && index + 2 < text.size()) {
      out += static_cast<char>(std::stoi(std::string(text.substr(index + 1, 2)), nullptr, kHex));
      index += 2;
    } else {
      out += text[index];
    }
  }
  return out;
}

http::request Convert(const beast::http::request<beast::http::string_body>& received) {
  http::request out;
  const beast::string_view method = received.method_string();
  out.method.assign(method.data(), method.size());
  out.body = received.body();
  const std::string target(received.target());
  const std::size_t mark = target.find('?');
  out.path = Decode(target.substr(0, mark));
  std::string_view query = target;
  query.remove_prefix(mark == std::string::npos ? target.size() : mark + 1);
  while (!query.empty()) {
    const std::string_view pair = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(query.size(), pair.size() + 1));
    const std::size_t equals = std::min(pair.find('='), pair.size());
    const std::string_view value = pair.substr(std::min(equals + 1, pair.size()));
    out.query[Decode(pair.substr(0, equals))] = Decode(value);
  }
  return out;
}

}  // namespace

class web_server::impl {
 public:
  explicit impl(http::request_handler handler)
      : handler_(std::move(handler)),
        acceptor_(context_, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
        port_(acceptor_.local_endpoint().port()),
        acceptor_thread_([this] { AcceptAll(); }) {}

  ~impl() {
    {
      const std::lock_guard lock(mutex_);
      stopping_ = true;
      ::shutdown(acceptor_.native_handle(), SHUT_RDWR);
      for (peer& each : peers_) {
        ::shutdown(each.socket.native_handle(), SHUT_RDWR);
        if (each.waiting) each.waiting->set_value({.status = 0});
        each.waiting.reset();
      }
    }
    acceptor_thread_.join();
    for (peer& each : peers_) each.thread.join();
  }

  std::uint16_t port() const noexcept { return port_; }

 private:
  struct peer {
    tcp::socket socket;
    std::shared_ptr<std::promise<http::response>> waiting;
    std::thread thread;
  };

  void AcceptAll() {
    for (;;) {
      boost::system::error_code failure;
      tcp::socket accepted(context_);
      acceptor_.accept(accepted, failure);
      const std::lock_guard lock(mutex_);
      if (failure || stopping_) return;
      accepted.set_option(tcp::no_delay(true), failure);
      peer& added = peers_.emplace_back(peer{std::move(accepted), nullptr, {}});
      added.thread = std::thread([this, &added] { Serve(added); });
    }
  }

  void Serve(peer& from) {
    beast::flat_buffer buffer;
    for (;;) {
      boost::system::error_code failure;
      beast::http::request_parser<beast::http::string_body> parser;
      parser.body_limit(kBodyLimitBytes);
      beast::http::read(from.socket, buffer, parser, failure);
      if (failure) break;
      const auto answered = std::make_shared<std::promise<http::response>>();
      auto future = answered->get_future();
      {
        const std::lock_guard lock(mutex_);
        if (stopping_) break;
        from.waiting = answered;
      }
      handler_(Convert(parser.get()), [this, &from, answered](http::response answer) {
        const std::lock_guard lock(mutex_);
        if (from.waiting != answered) return;
        from.waiting.reset();
        answered->set_value(std::move(answer));
      });
      const http::response answer = future.get();
      if (answer.status == 0) break;
      beast::http::response<beast::http::string_body> out(
          static_cast<beast::http::status>(answer.status), 11);
      out.set(beast::http::field::content_type, "application/json");
      out.body() = answer.body;
      out.prepare_payload();
      beast::http::write(from.socket, out, failure);
      if (failure) break;
    }
    boost::system::error_code ignored;
    from.socket.shutdown(tcp::socket::shutdown_both, ignored);
  }

  http::request_handler handler_;
  boost::asio::io_context context_;
  tcp::acceptor acceptor_;
  std::uint16_t port_;
  std::mutex mutex_;
  bool stopping_ = false;
  std::list<peer> peers_;
  std::thread acceptor_thread_;
};

web_server::web_server(http::request_handler handler)
    : impl_(std::make_unique<impl>(std::move(handler))) {}

web_server::~web_server() = default;

std::uint16_t web_server::port() const noexcept { return impl_->port(); }

}  // namespace coltsfoot::review
