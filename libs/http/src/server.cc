#include "http/server.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/buffer.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <condition_variable>
#include <exception>
#include <mutex>
#include <optional>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

#include "connection.h"
#include "core/open_files.h"

namespace coltsfoot::http {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::chrono::milliseconds kSweepPeriod{1000};
/// Pause until other threads may have opened or closed connections. Short, since a crowd that waits
/// to be accepted delays an ordinary caller by this time for each of its connections.
constexpr std::chrono::milliseconds kClosePause{1};
/// Kernel buffer for answers that a client has not read, in bytes; the kernel doubles it.
constexpr int kSendBufferBytes = 32 << 10;

core::mono_time Now() { return std::chrono::steady_clock::now(); }

/// One traffic thread with the connections that it serves.
struct traffic_thread {
  asio::io_context context{1};
  asio::steady_timer sweep{context};
  bool sweeping = false;
  connection_context shared;
  std::unordered_map<connection_id, std::shared_ptr<connection>> connections;
  connection_id delivering = 0;  ///< connection whose request is being passed to the handler
  bool is_delivering = false;
  std::thread thread;
};

}  // namespace

class server::impl : public std::enable_shared_from_this<server::impl> {
 public:
  impl(server_options options, request_handler handler)
      : options_(std::move(options)),
        handler_(std::move(handler)),
        limits_(options_.limits ? options_.limits : std::make_shared<ingress>(LimitsFor({}))) {
    for (std::size_t index = 0; index < std::max<std::size_t>(options_.threads, 1); ++index) {
      traffic_threads_.push_back(std::make_unique<traffic_thread>());
    }
    acceptor_.emplace(traffic_threads_.front()->context);
    accept_timer_.emplace(traffic_threads_.front()->context);
    Listen();
    port_number_ = limits_->AddPort(options_.port_name, options_.port_kind,
                                    [this](connection_id id) { CloseLater(id); });
  }

  /// Starts the traffic threads. Not part of the constructor, because requests need
  /// `weak_from_this`.
  void Run() {
    for (const auto& each : traffic_threads_) {
      traffic_thread& own = *each;
      own.shared.options = &options_;
      own.shared.limits = limits_.get();
      own.shared.closing = &closing_;
      own.shared.deliver = [this, &own](connection_id id, std::uint64_t number, request received) {
        Deliver(own, id, number, std::move(received));
      };
      own.shared.on_answered = [this] { CountAnswered(); };
      own.shared.on_closed = [&own](connection_id id) { own.connections.erase(id); };
    }
    Accept();
    for (const auto& own : traffic_threads_) {
      own->thread = std::thread([&context = own->context] {
        const auto guard = asio::make_work_guard(context);
        context.run();
      });
    }
  }

  ~impl() { Stop(); }

  std::uint16_t port() const noexcept { return port_; }

  void BeginClose() { closing_ = true; }

  void StopAccepting() {
    closing_ = true;
    asio::post(traffic_threads_.front()->context, [this] { CloseAcceptor(); });
  }

  bool idle() const { return in_progress_ == 0; }

  void ShutDown(std::chrono::milliseconds limit) {
    closing_ = true;
    {
      std::unique_lock lock(mutex_);
      idle_.wait_for(lock, limit, [this] { return idle(); });
    }
    Stop();
  }

  void Stop() {
    if (stopped_.exchange(true)) return;
    closing_ = true;
    limits_->RemovePort(port_number_);
    for (const auto& own : traffic_threads_) own->context.stop();
    for (const auto& own : traffic_threads_) {
      if (own->thread.joinable()) own->thread.join();
    }
    CloseAcceptor();
    for (const auto& own : traffic_threads_) {
      const auto connections = std::move(own->connections);
      own->connections.clear();
      for (const auto& [id, open] : connections) open->Close();
    }
  }

 private:
  void Listen() {
    const tcp::endpoint at(asio::ip::make_address(options_.address), options_.port);
    acceptor_->open(at.protocol());
    acceptor_->set_option(tcp::acceptor::reuse_address(true));
    // Accepted sockets inherit the sizes.
    acceptor_->set_option(tcp::socket::receive_buffer_size(connection::kReceiveBufferBytes));
    acceptor_->set_option(tcp::socket::send_buffer_size(kSendBufferBytes));
    acceptor_->bind(at);
    acceptor_->listen();
    port_ = acceptor_->local_endpoint().port();
  }

  void CloseAcceptor() {
    error_code failure;
    acceptor_->close(failure);
    accept_timer_->cancel();
    if (failure) spdlog::warn("event=close_failed reason=\"{}\"", failure.message());
  }

  traffic_thread& ThreadOf(connection_id id) {
    return *traffic_threads_[id % traffic_threads_.size()];
  }

  void Accept() {
    if (!limits_->MayAccept(port_number_)) {
      AcceptAfter(kClosePause);
      return;
    }
    const connection_id id = ingress::IdOf(port_number_, ++last_connection_);
    traffic_thread& own = ThreadOf(id);
    acceptor_->async_accept(own.context, peer_,
                            [this, id, &own](const error_code& failure, tcp::socket accepted) {
                              OnAccepted(own, id, failure, std::move(accepted));
                            });
  }

  void OnAccepted(traffic_thread& own, connection_id id, const error_code& failure,
                  tcp::socket accepted) {
    if (!acceptor_->is_open()) return;
    if (core::IsOutOfDescriptors(failure)) {
      AcceptAfter(limits_->FreeDescriptor(Now()) ? kClosePause : core::kAcceptPause);
      return;
    }
    if (!failure) {
      descriptor_hold hold = limits_->HoldDescriptor(port_number_);
      if (&own == traffic_threads_.front().get()) {
        Add(own, id, std::move(accepted), std::move(hold), peer_.address().to_string());
      } else {
        asio::post(own.context,
                   [this, id, &own, socket = std::move(accepted), hold = std::move(hold),
                    address = peer_.address().to_string()]() mutable {
                     Add(own, id, std::move(socket), std::move(hold), address);
                   });
      }
    }
    // Another failure concerns only the connection that was being accepted.
    Accept();
  }

  void AcceptAfter(core::milliseconds pause) {
    accept_timer_->expires_after(pause);
    accept_timer_->async_wait([this](const error_code& stopped) {
      if (!stopped && acceptor_->is_open()) Accept();
    });
  }

  void Add(traffic_thread& own, connection_id id, tcp::socket accepted, descriptor_hold hold,
           const std::string& address) {
    error_code failure;
    accepted.non_blocking(true, failure);
    if (!failure) accepted.set_option(tcp::no_delay(true), failure);
    if (failure) return;  // The client has already closed the connection.
    if (!limits_->Open(id, address, Now())) return;
    const auto opened =
        std::make_shared<connection>(own.shared, std::move(accepted), std::move(hold), id);
    own.connections.emplace(id, opened);
    opened->Start();
    if (!std::exchange(own.sweeping, true)) Sweep(own);
  }

  /// Looks for connections that are past a limit on time, as long as there are connections.
  void Sweep(traffic_thread& own) {
    own.sweep.expires_after(kSweepPeriod);
    own.sweep.async_wait([this, &own](const error_code& stopped) {
      if (stopped) return;
      limits_->Tick(Now());
      own.sweeping = !own.connections.empty();
      if (own.sweeping) Sweep(own);
    });
  }

  void CloseLater(connection_id id) {
    traffic_thread& own = ThreadOf(id);
    asio::post(own.context, [&own, id] {
      const auto found = own.connections.find(id);
      if (found == own.connections.end()) return;
      const auto closed = found->second;
      closed->Close();
    });
  }

  void Deliver(traffic_thread& own, connection_id id, std::uint64_t number, request received) {
    ++in_progress_;
    own.delivering = id;
    own.is_delivering = true;
    try {
      // A responder may outlive the server, so it must not own the connection.
      handler_(std::move(received), [weak = weak_from_this(), &own, id, number](response answer) {
        if (const auto self = weak.lock()) self->Answer(own, id, number, std::move(answer));
      });
    } catch (const std::exception& failure) {
      // The caller cannot know whether the request ran, so it gets no answer.
      spdlog::error("event=handler_failed port={} reason=\"{}\"", options_.port_name,
                    failure.what());
      CloseLater(id);
    }
    own.is_delivering = false;
  }

  void Answer(traffic_thread& own, connection_id id, std::uint64_t number, response answer) {
    auto send = [&own, id, number, answer = std::move(answer)]() mutable {
      const auto found = own.connections.find(id);
      if (found == own.connections.end()) return;
      const auto answered = found->second;
      answered->Answer(number, std::move(answer));
    };
    // Another connection's answer is posted, because it may lead to the next call of the handler,
    // which is still running.
    const bool on_thread = own.context.get_executor().running_in_this_thread();
    if (on_thread && own.is_delivering && own.delivering == id) {
      send();
    } else {
      asio::post(own.context, std::move(send));
    }
  }

  void CountAnswered() {
    if (--in_progress_ != 0) return;
    const std::lock_guard lock(mutex_);
    idle_.notify_all();
  }

  const server_options options_;
  const request_handler handler_;
  const std::shared_ptr<ingress> limits_;
  std::uint64_t port_number_ = 0;
  std::uint16_t port_ = 0;
  std::uint64_t last_connection_ = 0;
  tcp::endpoint peer_;
  std::atomic<bool> closing_{false};
  std::atomic<bool> stopped_{false};
  std::atomic<std::size_t> in_progress_{0};
  std::mutex mutex_;
  std::condition_variable idle_;
  std::vector<std::unique_ptr<traffic_thread>> traffic_threads_;
  std::optional<tcp::acceptor> acceptor_;
  std::optional<asio::steady_timer> accept_timer_;
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
