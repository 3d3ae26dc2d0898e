#include "link_pool.h"

#include <asio/post.hpp>
#include <utility>

namespace coltsfoot::entry {
namespace {

// Messages of incoming links that wait for the control thread. A peer that sends them faster than
// they are handled would otherwise fill the memory.
constexpr std::size_t kMaxWaitingBytes = 16U << 20U;
// Memory of a waiting message beside its payload, which may be empty.
constexpr std::size_t kWaitingMessageBytes = 256;

}  // namespace

link_pool::link_pool(asio::io_context& traffic, control_queue& control, std::string self,
                     const core::clock& time, metrics::registry& metrics, callbacks handlers)
    : traffic_(traffic),
      control_(control),
      self_(std::move(self)),
      time_(time),
      metrics_(metrics),
      handlers_(std::move(handlers)) {}

link_pool::~link_pool() = default;

void link_pool::Connect(const std::string& link, const wire::endpoint& to) {
  link_state& state = links_[link];
  if (state.to == to && state.generation != 0) return;
  CloseOnTraffic(std::exchange(state.connection, nullptr));
  const bool was_up = std::exchange(state.up, false);
  state.to = to;
  state.generation = ++next_generation_;
  const core::mono_time now = time_.Now();
  dials_.Add(link, now);
  DialDue(now);
  if (was_up) handlers_.on_down(link);
}

void link_pool::Forget(const std::string& link) {
  auto node = links_.extract(link);
  if (node.empty()) return;
  dials_.Remove(link);
  CloseOnTraffic(node.mapped().connection);
  if (node.mapped().up) handlers_.on_down(link);
}

bool link_pool::Send(const std::string& link, std::string frame) {
  const auto found = links_.find(link);
  if (found == links_.end() || !found->second.up) return false;
  outbox_.push_back({link, found->second.generation, found->second.connection, std::move(frame)});
  return true;
}

void link_pool::Flush() {
  if (outbox_.empty()) return;
  asio::post(traffic_, [this, batch = std::exchange(outbox_, {})]() mutable {
    for (queued_frame& queued : batch) SendOnTraffic(queued);
  });
}

void link_pool::SendOnTraffic(queued_frame& queued) {
  if (queued.connection->Send(std::move(queued.frame))) return;
  queued.connection->Close();
  control_.Post([this, link = queued.link, generation = queued.generation] {
    OnDown(link, generation, core::result_code::queue_full);
  });
}

bool link_pool::is_up(const std::string& link) const {
  const auto found = links_.find(link);
  return found != links_.end() && found->second.up;
}

wire::endpoint link_pool::Listen(const wire::endpoint& local,
                                 const wire::connection_limits& limits) {
  listener_ = std::make_unique<wire::tcp_listener>(
      traffic_, local,
      [this](std::shared_ptr<wire::tcp_connection> connection) {
        control_.Post([this, connection = std::move(connection)] { Adopt(connection); });
      },
      limits);
  return listener_->local();
}

void link_pool::Tick() {
  if (dials_.is_idle()) return;
  const core::mono_time now = time_.Now();
  for (const std::string& link : dials_.Overdue(now)) {
    link_state& state = links_.at(link);
    CloseOnTraffic(std::exchange(state.connection, nullptr));
    metrics_.GetCounter("coltsfoot_dials_overdue_total").Add();
    OnDown(link, state.generation, core::result_code::connect_failed);
  }
  DialDue(now);
}

void link_pool::DialDue(core::mono_time now) {
  for (const std::string& link : dials_.TakeDue(now)) Open(link, links_.at(link));
}

void link_pool::Open(const std::string& link, link_state& state) {
  state.generation = ++next_generation_;
  state.connection = wire::ConnectTcp(traffic_, state.to);
  asio::post(traffic_, [this, link, generation = state.generation, connection = state.connection] {
    StartOnTraffic(link, generation, connection, false);
  });
}

void link_pool::Adopt(const std::shared_ptr<wire::tcp_connection>& connection) {
  const std::uint64_t generation = ++next_generation_;
  const std::string link = "incoming-" + std::to_string(generation);
  links_[link] = {.generation = generation, .up = true, .connection = connection};
  asio::post(traffic_, [this, link, generation, connection] {
    StartOnTraffic(link, generation, connection, true);
  });
}

void link_pool::StartOnTraffic(const std::string& link, std::uint64_t generation,
                               const std::shared_ptr<wire::tcp_connection>& connection,
                               bool incoming) {
  wire::tcp_connection::handlers handlers;
  handlers.on_open = [this, link, generation] {
    control_.Post([this, link, generation] { OnUp(link, generation); });
  };
  handlers.on_message = [this, link, generation, incoming,
                         weak = std::weak_ptr(connection)](const wire::raw_message& message) {
    if (message.type == wire::hello::kType) return;
    message_action action = handlers_.decode(link, message);
    const bool decoded = static_cast<bool>(action.run);
    if (decoded &&
        Queue(std::move(action), kWaitingMessageBytes + message.payload.size(), incoming)) {
      return;
    }
    if (const auto self = weak.lock()) decoded ? self->Close() : self->Reject();
    control_.Post([this, link, generation, decoded] {
      OnDown(link, generation,
             decoded ? core::result_code::queue_full : core::result_code::decode_error);
    });
  };
  handlers.on_close = [this, link, generation](const core::error_reason& reason) {
    control_.Post([this, link, generation, code = reason.code] { OnDown(link, generation, code); });
  };
  if (!incoming) connection->Send(wire::ToFrame(wire::hello{self_}));
  connection->Start(std::move(handlers));
}

bool link_pool::Queue(message_action action, std::size_t bytes, bool incoming) {
  std::function<void()> run = std::move(action.run);
  if (incoming) {
    if (*waiting_bytes_ + bytes > kMaxWaitingBytes) return false;
    *waiting_bytes_ += bytes;
    run = [run = std::move(run), bytes, waiting = waiting_bytes_] {
      *waiting -= bytes;
      run();
    };
  }
  action.deferrable ? control_.Defer(std::move(run)) : control_.Post(std::move(run));
  return true;
}

void link_pool::OnUp(const std::string& link, std::uint64_t generation) {
  const auto found = links_.find(link);
  if (found == links_.end() || found->second.generation != generation) return;
  found->second.up = true;
  dials_.OnUp(link);
  handlers_.on_up(link);
}

void link_pool::OnDown(const std::string& link, std::uint64_t generation,
                       core::result_code reason) {
  const auto found = links_.find(link);
  if (found == links_.end() || found->second.generation != generation) return;
  metrics_.GetCounter("coltsfoot_links_lost_total", {"reason", core::ToString(reason)}).Add();
  const bool was_up = found->second.up;
  const bool incoming = found->second.to.port == 0;
  if (incoming) {
    dials_.Remove(link);
    links_.erase(found);
  } else {
    found->second.up = false;
    found->second.connection = nullptr;
    // Later reports of this connection are ignored.
    found->second.generation = ++next_generation_;
    dials_.OnDown(link, time_.Now());
  }
  if (was_up) handlers_.on_down(link);
}

void link_pool::CloseOnTraffic(const std::shared_ptr<wire::tcp_connection>& connection) {
  if (connection == nullptr) return;
  Flush();  // send frames that are still queued before closing
  asio::post(traffic_, [connection] { connection->Close(); });
}

}  // namespace coltsfoot::entry
