#include <algorithm>
#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <deque>
#include <map>
#include <mutex>
#include <utility>

#include "core/open_files.h"
#include "endpoints.h"
#include "peer_counts.h"
#include "traffic_counters.h"
#include "wire/transport.h"

namespace coltsfoot::wire {
namespace {

using asio::ip::tcp;

// Memory for a frame's payload before any byte of it has arrived. It doubles whenever it is full.
constexpr std::size_t kFirstPayloadBytes = 4096;
// Kernel buffers of an accepted connection, which the kernel doubles. What has arrived and was not
// read counts as memory of the process. Large enough to receive 80 Mbit/s and to send 300 Mbit/s
// with a round trip of 6 ms.
constexpr int kReceiveBufferBytes = 64 << 10;
constexpr int kSendBufferBytes = 256 << 10;

core::mono_time Now() { return std::chrono::steady_clock::now(); }

class framed_connection;

/// Carries out the decisions of the ledger for the accepted connections of one listener. `Remove`
/// is thread-safe, since the last owner of a connection may release it on another thread.
class accepted_connections {
 public:
  using connection_id = connection_ledger::connection_id;

  explicit accepted_connections(const connection_limits& limits)
      : limits_(limits), ledger_(limits) {}

  const connection_limits& limits() const noexcept { return limits_; }
  /// @return what `function` returns for the ledger.
  template <class Function>
  auto Ask(Function function) {
    const std::lock_guard lock(mutex_);
    return function(ledger_);
  }
  /// Adds a connection. @return its id.
  connection_id Add(const std::shared_ptr<framed_connection>& connection);
  void Remove(connection_id id) {
    const std::lock_guard lock(mutex_);
    ledger_.OnClosed(id);
    if (open_.erase(id) > 0) CountPeers(-1);
  }
  /// Closes the connection that the ledger named, if any.
  void Close(std::optional<connection_id> victim, limit_reason reason);

 private:
  connection_limits limits_;
  std::mutex mutex_;
  connection_ledger ledger_;
  std::map<connection_id, std::weak_ptr<framed_connection>> open_;
  connection_id last_id_ = 0;
};

class framed_connection final : public tcp_connection,
                                public std::enable_shared_from_this<framed_connection> {
 public:
  framed_connection(tcp::socket socket, std::shared_ptr<accepted_connections> peers)
      : socket_(std::move(socket)),
        frame_timer_(socket_.get_executor()),
        limits_(peers->limits()),
        peers_(std::move(peers)),
        connected_(true) {
    PrepareSocket();
  }
  framed_connection(asio::io_context& context, endpoint to)
      : socket_(context), frame_timer_(context), remote_(std::move(to)) {}
  ~framed_connection() override {
    if (peers_) peers_->Remove(id_);
  }

  void SetId(connection_ledger::connection_id id) { id_ = id; }

  void Start(handlers callbacks) override {
    if (closed_at_limit_) {
      started_ = true;
      ReportClosed(std::move(callbacks.on_close));
      return;
    }
    started_ = true;
    handlers_ = std::move(callbacks);
    if (connected_) {
      ReadHeader();
    } else {
      Connect();
    }
  }

  bool Send(std::string frame) override {
    if (closed_) return false;
    if (queued_bytes_ + frame.size() > limits_.unsent_bytes) {
      CountLimited(limit_reason::unsent);
      return false;
    }
    queued_bytes_ += frame.size();
    queue_.push_back(std::move(frame));
    if (connected_ && !writing_) WriteNext();
    OnUnsent();
    return !closed_;
  }

  void Close() override {
    report_closed_ = false;
    if (closed_) return;
    closed_ = true;
    asio::error_code ignored;
    socket_.close(ignored);
    frame_timer_.cancel();
    if (peers_) peers_->Remove(id_);
    // The ledger no longer counts it, and the owner may keep the connection for a while.
    std::string().swap(message_.payload);
    // The handlers may own the connection; break the cycle after they have returned.
    asio::post(socket_.get_executor(), [self = shared_from_this()] { self->handlers_ = {}; });
  }

  void Reject() override {
    if (!closed_) CountLimited(limit_reason::protocol);
    Close();
  }

  void SetInUse(bool in_use) override {
    if (!peers_) return;
    peers_->Ask([&](connection_ledger& ledger) { ledger.SetInUse(id_, in_use); });
  }

  std::size_t queued_bytes() const override { return queued_bytes_; }

  /// Closes the connection. Reports it later, since the caller may be an owner that handles another
  /// connection, or when the connection is started.
  void CloseAtLimit() {
    if (closed_) return;
    auto on_close = handlers_.on_close;
    Close();
    closed_at_limit_ = true;
    if (started_) ReportClosed(std::move(on_close));
  }

 private:
  void ReportClosed(std::function<void(core::error_reason)> on_close) {
    report_closed_ = true;
    asio::post(socket_.get_executor(), [self = shared_from_this(), on_close = std::move(on_close)] {
      if (!std::exchange(self->report_closed_, false) || !on_close) return;
      on_close({core::result_code::connection_lost, "closed at a limit"});
    });
  }

  void PrepareSocket() {
    asio::error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
  }

  void Connect() {
    asio::error_code failure;
    const auto address = asio::ip::make_address(remote_.ip, failure);
    if (failure) {
      asio::post(socket_.get_executor(), [self = shared_from_this()] {
        self->Fail(core::result_code::connect_failed, "invalid address");
      });
      return;
    }
    socket_.async_connect({address, remote_.port},
                          [self = shared_from_this()](asio::error_code result) {
                            if (self->closed_) return;
                            if (result) {
                              self->Fail(core::result_code::connect_failed, result.message());
                              return;
                            }
                            self->OnConnected();
                          });
  }

  void OnConnected() {
    connected_ = true;
    PrepareSocket();
    if (handlers_.on_open) handlers_.on_open();
    if (closed_) return;
    ReadHeader();
    if (!queue_.empty() && !writing_) WriteNext();
  }

  void ReadHeader() {
    socket_.async_read_some(
        asio::buffer(header_) + header_bytes_,
        [self = shared_from_this()](asio::error_code failure, std::size_t size) {
          self->OnHeaderBytes(failure, size);
        });
  }

  void OnHeaderBytes(asio::error_code failure, std::size_t size) {
    if (closed_) return;
    if (failure) {
      Fail(core::result_code::connection_lost, failure.message());
      return;
    }
    if (header_bytes_ == 0) frame_began_at_ = Now();
    header_bytes_ += size;
    if (header_bytes_ < header_.size()) {
      AwaitRest(header_.size());
      if (!closed_) ReadHeader();
      return;
    }
    core::last_error error;
    const auto header = ParseFrameHeader({header_.data(), header_.size()}, error);
    if (!header) {
      CountLimited(limit_reason::protocol);
      Fail(error.reason().code, error.reason().message);
      return;
    }
    message_.type = header->type;
    payload_bytes_ = header->payload_bytes;
    ReadPayload();
  }

  void ReadPayload() {
    while (received_ < payload_bytes_) {
      if (received_ == message_.payload.size()) GrowPayload();
      if (closed_) return;
      asio::error_code failure;
      received_ += socket_.read_some(
          asio::buffer(&message_.payload[received_], message_.payload.size() - received_), failure);
      if (failure == asio::error::would_block) {
        AwaitRest(message_.payload.capacity());
        if (closed_) return;
        socket_.async_wait(
            tcp::socket::wait_read,
            [self = shared_from_this()](asio::error_code result) { self->OnReadable(result); });
        return;
      }
      if (failure) {
        Fail(core::result_code::connection_lost, failure.message());
        return;
      }
    }
    OnFrame();
  }

  void OnReadable(asio::error_code failure) {
    if (closed_) return;
    if (failure) {
      Fail(core::result_code::connection_lost, failure.message());
      return;
    }
    ReadPayload();
  }

  void GrowPayload() {
    const std::size_t size =
        std::min(payload_bytes_, std::max(kFirstPayloadBytes, 2 * message_.payload.size()));
    message_.payload.resize(size);
    OnUnfinished(message_.payload.capacity());
  }

  /// Limits the time for the rest of a frame that has arrived in part.
  void AwaitRest(std::size_t held_bytes) {
    OnUnfinished(held_bytes);
    if (closed_ || frame_timer_armed_) return;
    frame_timer_armed_ = true;
    frame_timer_.expires_at(frame_began_at_ + limits_.frame_time);
    // A weak pointer, since the timer runs on after the frame is complete.
    frame_timer_.async_wait([weak = weak_from_this()](asio::error_code failure) {
      const auto self = weak.lock();
      if (self && !failure) self->OnFrameTimer();
    });
  }

  /// The timer is not moved for each frame; it may belong to an earlier one.
  void OnFrameTimer() {
    frame_timer_armed_ = false;
    if (closed_ || header_bytes_ == 0) return;
    if (Now() < frame_began_at_ + limits_.frame_time) {
      AwaitRest(message_.payload.capacity());
      return;
    }
    CountLimited(limit_reason::frame_time);
    Fail(core::result_code::deadline_exceeded, "frame is not complete in time");
  }

  void OnUnfinished(std::size_t bytes) {
    if (!peers_) return;
    const auto victim = peers_->Ask(
        [&](connection_ledger& ledger) { return ledger.OnUnfinished(id_, bytes, Now()); });
    peers_->Close(victim, limit_reason::bytes);
  }

  void OnUnsent() {
    if (!peers_) return;
    const auto victim =
        peers_->Ask([&](connection_ledger& ledger) { return ledger.OnUnsent(id_, queued_bytes_); });
    peers_->Close(victim, limit_reason::bytes);
  }

  void OnFrame() {
    tcp_received.Add(kFrameHeaderBytes + payload_bytes_);
    if (peers_) peers_->Ask([&](connection_ledger& ledger) { ledger.OnFrame(id_, Now()); });
    header_bytes_ = 0;
    received_ = 0;
    raw_message message = std::exchange(message_, {});
    if (handlers_.on_message) handlers_.on_message(std::move(message));
    if (!closed_) ReadHeader();
  }

  void WriteNext() {
    writing_ = true;
    asio::async_write(socket_, asio::buffer(queue_.front()),
                      [self = shared_from_this()](asio::error_code failure, std::size_t) {
                        self->OnWritten(failure);
                      });
  }

  void OnWritten(asio::error_code failure) {
    writing_ = false;
    if (closed_) return;
    if (failure) {
      Fail(core::result_code::connection_lost, failure.message());
      return;
    }
    tcp_sent.Add(queue_.front().size());
    queued_bytes_ -= queue_.front().size();
    queue_.pop_front();
    OnUnsent();
    if (!closed_ && !queue_.empty()) WriteNext();
  }

  void Fail(core::result_code code, std::string message) {
    if (closed_) return;
    const auto on_close = handlers_.on_close;
    Close();
    if (on_close) on_close({code, std::move(message)});
  }

  tcp::socket socket_;
  asio::steady_timer frame_timer_;
  connection_limits limits_;
  std::shared_ptr<accepted_connections> peers_;  ///< empty for an outgoing connection
  connection_ledger::connection_id id_ = 0;
  endpoint remote_;
  handlers handlers_;
  std::array<char, kFrameHeaderBytes> header_{};
  std::size_t header_bytes_ = 0;  ///< received of the current frame
  raw_message message_;
  std::size_t payload_bytes_ = 0;  ///< of the current frame, as its header says
  std::size_t received_ = 0;       ///< of them
  core::mono_time frame_began_at_{};
  std::deque<std::string> queue_;
  std::size_t queued_bytes_ = 0;
  bool frame_timer_armed_ = false;
  bool started_ = false;
  bool connected_ = false;
  bool writing_ = false;
  bool closed_ = false;
  bool closed_at_limit_ = false;
  bool report_closed_ = false;
};

accepted_connections::connection_id accepted_connections::Add(
    const std::shared_ptr<framed_connection>& connection) {
  const connection_id id = ++last_id_;
  connection->SetId(id);
  CountPeers(1);
  const auto victim = Ask([&](connection_ledger& ledger) {
    open_.emplace(id, connection);
    return ledger.OnAccepted(id, Now());
  });
  Close(victim, limit_reason::connections);
  return id;
}

void accepted_connections::Close(std::optional<connection_id> victim, limit_reason reason) {
  if (!victim) return;
  const auto connection = Ask([&](const connection_ledger&) {
    const auto place = open_.find(*victim);
    return place == open_.end() ? nullptr : place->second.lock();
  });
  if (!connection) return;
  CountLimited(reason);
  connection->CloseAtLimit();
}

}  // namespace

std::shared_ptr<tcp_connection> ConnectTcp(asio::io_context& context, const endpoint& to) {
  return std::make_shared<framed_connection>(context, to);
}

struct tcp_listener::state : std::enable_shared_from_this<state> {
  state(asio::io_context& context, const endpoint& local, accept_handler on_accept,
        const connection_limits& limits)
      : acceptor(context),
        pause(context),
        accepted_handler(std::move(on_accept)),
        peers(std::make_shared<accepted_connections>(limits)) {
    const auto address = ToAsio<tcp>(local);
    acceptor.open(address.protocol());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    // Accepted sockets inherit the sizes.
    asio::error_code ignored;
    acceptor.set_option(tcp::socket::receive_buffer_size(kReceiveBufferBytes), ignored);
    acceptor.set_option(tcp::socket::send_buffer_size(kSendBufferBytes), ignored);
    acceptor.bind(address);
    acceptor.listen();
  }

  void Accept() {
    acceptor.async_accept(
        [self = shared_from_this()](asio::error_code failure, tcp::socket socket) {
          if (failure == asio::error::operation_aborted || !self->acceptor.is_open()) return;
          if (core::IsOutOfDescriptors(failure)) {
            self->FreeDescriptor();
            return;
          }
          if (!failure) self->Adopt(std::move(socket));
          self->Accept();
        });
  }

  void Adopt(tcp::socket socket) {
    auto connection = std::make_shared<framed_connection>(std::move(socket), peers);
    peers->Add(connection);
    accepted_handler(std::move(connection));
  }

  /// The connection that could not be accepted stays in the kernel's queue, so accepting it again
  /// at once would use a whole processor, unless a descriptor has been freed for it.
  void FreeDescriptor() {
    if (const auto victim =
            peers->Ask([](connection_ledger& ledger) { return ledger.OnDescriptorsExhausted(); })) {
      peers->Close(victim, limit_reason::descriptors);
      Accept();
      return;
    }
    CountLimited(limit_reason::descriptors);
    pause.expires_after(core::kAcceptPause);
    pause.async_wait([self = shared_from_this()](asio::error_code failure) {
      if (!failure && self->acceptor.is_open()) self->Accept();
    });
  }

  tcp::acceptor acceptor;
  asio::steady_timer pause;
  accept_handler accepted_handler;
  std::shared_ptr<accepted_connections> peers;
};

tcp_listener::tcp_listener(asio::io_context& context, const endpoint& local,
                           accept_handler on_accept, const connection_limits& limits)
    : state_(std::make_shared<state>(context, local, std::move(on_accept), limits)) {
  state_->Accept();
}

tcp_listener::~tcp_listener() { Close(); }

endpoint tcp_listener::local() const { return FromAsio(state_->acceptor.local_endpoint()); }

void tcp_listener::Close() {
  asio::error_code ignored;
  state_->acceptor.close(ignored);
  state_->pause.cancel();
}

}  // namespace coltsfoot::wire
