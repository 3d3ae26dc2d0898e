#include "proxy.h"

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>
#include <future>
#include <list>
#include <thread>

namespace coltsfoot::review {
namespace {

using asio::ip::tcp;

/// A connection of a client and the one to the target that belongs to it.
struct pair : std::enable_shared_from_this<pair> {
  explicit pair(asio::io_context& context) : client(context), target(context) {}

  tcp::socket client;
  tcp::socket target;
  std::array<std::array<char, 16'384>, 2> buffers{};
  std::array<std::size_t, 2> held{};  ///< bytes that were read while nothing was forwarded
  std::array<bool, 2> ended_while_held{};
  bool silent = false;
  const bool* all_held = nullptr;

  bool Forwards() const { return !silent && !*all_held; }

  void Read(std::size_t side) {
    tcp::socket& from = side == 0 ? client : target;
    from.async_read_some(
        asio::buffer(buffers[side]),
        [self = shared_from_this(), side](asio::error_code failure, std::size_t size) {
          self->OnRead(side, failure, size);
        });
  }

  void OnRead(std::size_t side, asio::error_code failure, std::size_t size) {
    if (!Forwards()) {
      held[side] = failure ? 0 : size;
      ended_while_held[side] = static_cast<bool>(failure);
      return;
    }
    if (failure) {
      Close();
      return;
    }
    Write(side, size);
  }

  void Write(std::size_t side, std::size_t size) {
    tcp::socket& to = side == 0 ? target : client;
    asio::async_write(to, asio::buffer(buffers[side].data(), size),
                      [self = shared_from_this(), side](asio::error_code failure, std::size_t) {
                        if (failure) {
                          self->Close();
                        } else {
                          self->Read(side);
                        }
                      });
  }

  void Resume() {
    if (!Forwards()) return;
    for (const std::size_t side : {0U, 1U}) {
      if (ended_while_held[side]) {
        Close();
        return;
      }
      const std::size_t size = held[side];
      held[side] = 0;
      if (size > 0) Write(side, size);
    }
  }

  void Close() {
    asio::error_code ignored;
    client.close(ignored);
    target.close(ignored);
  }

  bool open() const { return client.is_open(); }
};

}  // namespace

class proxy::impl {
 public:
  explicit impl(const std::string& target)
      : target_(asio::ip::make_address("127.0.0.1"),
                static_cast<std::uint16_t>(std::stoi(target.substr(target.rfind(':') + 1)))),
        acceptor_(context_, tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {
    Accept();
    thread_ = std::thread([this] { context_.run(); });
  }

  ~impl() {
    context_.stop();
    thread_.join();
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

  int SilenceOpen() {
    std::promise<int> count;
    asio::post(context_, [&] {
      int open = 0;
      for (const auto& each : pairs_) {
        if (!each->open()) continue;
        each->silent = true;
        ++open;
      }
      count.set_value(open);
    });
    return count.get_future().get();
  }

  void Hold(bool held) {
    asio::post(context_, [this, held] {
      held_ = held;
      for (const auto& each : pairs_) each->Resume();
    });
  }

 private:
  void Accept() {
    auto next = std::make_shared<pair>(context_);
    next->all_held = &held_;
    acceptor_.async_accept(next->client, [this, next](asio::error_code failure) {
      if (failure) return;
      asio::error_code refused;
      next->target.connect(target_, refused);
      if (refused) {
        next->Close();
      } else {
        next->client.set_option(tcp::no_delay{true});
        next->target.set_option(tcp::no_delay{true});
        pairs_.remove_if([](const auto& each) { return !each->open(); });
        pairs_.push_back(next);
        next->Read(0);
        next->Read(1);
      }
      Accept();
    });
  }

  asio::io_context context_;
  tcp::endpoint target_;
  tcp::acceptor acceptor_;
  std::list<std::shared_ptr<pair>> pairs_;
  bool held_ = false;
  std::thread thread_;
};

proxy::proxy(const std::string& target) : impl_(std::make_unique<impl>(target)) {}
proxy::~proxy() = default;
std::string proxy::address() const { return impl_->address(); }
int proxy::SilenceOpen() { return impl_->SilenceOpen(); }
void proxy::Hold(bool held) { impl_->Hold(held); }

}  // namespace coltsfoot::review
