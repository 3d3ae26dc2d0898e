#include "harness/tcp_proxy.h"

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <deque>
#include <list>
#include <memory>
#include <string>
#include <thread>
#include <utility>

#include "harness/relay.h"

namespace coltsfoot::harness {
namespace {

using asio::ip::tcp;

constexpr std::size_t kReadSize = 16'384;
// Bytes buffered in one direction; above this the proxy stops reading, as on a congested link.
constexpr std::size_t kMaxHeld = 256'000;

tcp::endpoint Parse(const std::string& text) {
  const wire::endpoint parsed = ToEndpoint(text);
  return {asio::ip::make_address(parsed.ip), parsed.port};
}

struct direction_state {
  proxy_mode mode = proxy_mode::pass;
  core::milliseconds delay{0};
};

/// One connection: two sockets and the bytes buffered between them.
class link : public std::enable_shared_from_this<link> {
 public:
  link(tcp::socket client, const direction_state& up, const direction_state& down)
      : client_(std::move(client)), target_(client_.get_executor()), up_{up}, down_{down} {}

  void Start(const tcp::endpoint& target) {
    target_.async_connect(target, [self = shared_from_this()](asio::error_code failure) {
      if (failure) {
        self->Reset();
        return;
      }
      self->Read(self->client_, self->target_, self->up_);
      self->Read(self->target_, self->client_, self->down_);
    });
  }

  void Reset() {
    for (tcp::socket* socket : {&client_, &target_}) {
      asio::error_code ignored;
      socket->set_option(asio::socket_base::linger(true, 0), ignored);
      socket->close(ignored);
    }
  }

  void Silence() { silent_ = true; }
  bool open() const { return client_.is_open(); }
  /// Writes the buffered bytes after a change of mode.
  void Resume() {
    Write(target_, up_);
    Write(client_, down_);
  }

 private:
  struct lane {
    const direction_state& state;
    std::deque<std::string> waiting;
    std::size_t waiting_bytes = 0;
    bool writing = false;
    bool reading = false;
    std::array<char, kReadSize> buffer{};
  };

  void Read(tcp::socket& from, tcp::socket& to, lane& on) {
    if (on.reading || on.waiting_bytes > kMaxHeld) return;
    on.reading = true;
    from.async_read_some(
        asio::buffer(on.buffer), [this, self = shared_from_this(), &from, &to, &on](
                                     asio::error_code failure, std::size_t size) {
          on.reading = false;
          if (failure) {
            // A silenced or held connection does not pass on that the other side has closed either.
            if (!silent_ && on.state.mode != proxy_mode::hold) Reset();
            return;
          }
          on.waiting.emplace_back(on.buffer.data(), size);
          on.waiting_bytes += size;
          if (on.state.mode == proxy_mode::delay) {
            auto timer = std::make_shared<asio::steady_timer>(from.get_executor(), on.state.delay);
            timer->async_wait([this, self, timer, &to, &on](asio::error_code) { Write(to, on); });
          } else {
            Write(to, on);
          }
          Read(from, to, on);
        });
  }

  void Write(tcp::socket& to, lane& on) {
    if (silent_ || on.writing || on.waiting.empty() || on.state.mode == proxy_mode::hold) return;
    on.writing = true;
    auto text = std::make_shared<std::string>(std::move(on.waiting.front()));
    on.waiting.pop_front();
    asio::async_write(
        to, asio::buffer(*text),
        [this, self = shared_from_this(), text, &to, &on](asio::error_code failure, std::size_t) {
          on.writing = false;
          on.waiting_bytes -= text->size();
          if (failure) {
            Reset();
            return;
          }
          Write(to, on);
          Read(&to == &target_ ? client_ : target_, to, on);
        });
  }

  tcp::socket client_;
  tcp::socket target_;
  lane up_;
  lane down_;
  bool silent_ = false;
};

}  // namespace

class tcp_proxy::impl {
 public:
  explicit impl(const std::string& target)
      : target_(Parse(target)),
        acceptor_(context_, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
        port_(acceptor_.local_endpoint().port()) {
    Accept();
    thread_ = std::thread([this] { context_.run(); });
  }
  ~impl() {
    context_.stop();
    thread_.join();
  }

  std::uint16_t port() const { return port_; }

  void SetTarget(const std::string& target) {
    asio::post(context_, [this, parsed = Parse(target)] { target_ = parsed; });
  }

  void SetModes(const direction_state& up, const direction_state& down) {
    asio::post(context_, [this, up, down] {
      up_ = up;
      down_ = down;
      ForEach([](link& each) { each.Resume(); });
    });
  }

  void ResetAll() {
    asio::post(context_, [this] { ForEach([](link& each) { each.Reset(); }); });
  }

  void SilenceOpen() {
    asio::post(context_, [this] { ForEach([](link& each) { each.Silence(); }); });
  }

 private:
  void Accept() {
    acceptor_.async_accept([this](asio::error_code failure, tcp::socket socket) {
      if (!failure) {
        const auto added = std::make_shared<link>(std::move(socket), up_, down_);
        links_.push_back(added);
        added->Start(target_);
      }
      Accept();
    });
  }

  template <class Visit>
  void ForEach(Visit visit) {
    links_.remove_if([](const auto& each) { return !each->open(); });
    for (const auto& each : links_) visit(*each);
  }

  asio::io_context context_;
  tcp::endpoint target_;
  tcp::acceptor acceptor_;
  std::uint16_t port_;
  direction_state up_;
  direction_state down_;
  std::list<std::shared_ptr<link>> links_;
  std::thread thread_;
};

tcp_proxy::tcp_proxy(const std::string& target) : impl_(std::make_unique<impl>(target)) {}
tcp_proxy::~tcp_proxy() = default;

std::string tcp_proxy::address() const { return "127.0.0.1:" + std::to_string(impl_->port()); }

void tcp_proxy::SetTarget(const std::string& target) { impl_->SetTarget(target); }

void tcp_proxy::SetModes(proxy_mode to_target, proxy_mode to_client, core::milliseconds delay) {
  impl_->SetModes({to_target, delay}, {to_client, delay});
}

void tcp_proxy::ResetAll() { impl_->ResetAll(); }

void tcp_proxy::SilenceOpen() { impl_->SilenceOpen(); }

}  // namespace coltsfoot::harness
