#include "heartbeat_load.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <map>
#include <thread>

#include "wire/frame.h"
#include "wire/transport.h"

namespace coltsfoot::capacity {
namespace {

constexpr core::milliseconds kStep{10};
constexpr std::size_t kWorkersPerRack = 3;
constexpr std::size_t kZones = 5;
wire::endpoint AnyLoopbackPort() { return {"127.0.0.1", 0}; }

wire::agent_heartbeat FirstHeartbeat(std::size_t index, const wire::endpoint& tcp) {
  wire::agent_heartbeat beat;
  beat.worker = "worker-" + std::to_string(index);
  beat.incarnation = index + 1;
  beat.description = 1;
  beat.agent_tcp = tcp;
  beat.region = "luzon-central";
  beat.zone = "zone-" + std::to_string(index % kZones);
  beat.rack = "rack-" + std::to_string(index / kWorkersPerRack);
  beat.total = {16'000, 60'000, 1};
  beat.free = beat.total;
  beat.slots_total = beat.slots_free = 8;
  beat.connections_total = beat.connections_free = 64;
  // One service, so that heartbeats have the size and the cost of those of a worker in production.
  beat.services = {{"strawline", 0, 0, 10'000}};
  return beat;
}

}  // namespace

class heartbeat_load::impl {
 public:
  impl(std::vector<wire::endpoint> entries, std::size_t workers, core::milliseconds period)
      : entries_(std::move(entries)),
        period_(period),
        udp_(
            context_, AnyLoopbackPort(),
            [this](const wire::endpoint& from, const wire::raw_message& raw) { OnAck(from, raw); },
            [](core::result_code) {}),
        listener_(context_, AnyLoopbackPort(),
                  [this](std::shared_ptr<wire::tcp_connection> connection) {
                    connection->Start({.on_open = {},
                                       .on_message = [](wire::raw_message) {},
                                       .on_close = [](core::error_reason) {}});
                    connections_.push_back(std::move(connection));
                  }),
        timer_(context_) {
    for (std::size_t i = 0; i < workers; ++i) {
      heartbeats_.push_back(FirstHeartbeat(i, listener_.local()));
    }
    start_ = std::chrono::steady_clock::now();
    Step();
    thread_ = std::thread([this] { context_.run(); });
  }

  ~impl() {
    context_.stop();
    thread_.join();
  }

  std::atomic<std::uint64_t> sent{0};
  std::atomic<std::uint64_t> acks{0};

 private:
  void Step() {
    const auto elapsed = std::chrono::duration<double>(std::chrono::steady_clock::now() - start_);
    const auto due = static_cast<std::uint64_t>(elapsed / std::chrono::duration<double>(period_) *
                                                static_cast<double>(heartbeats_.size()));
    for (; next_ < due; ++next_) {
      wire::agent_heartbeat& beat = heartbeats_[next_ % heartbeats_.size()];
      ++beat.seq;
      for (const wire::endpoint& entry : entries_) {
        // Repeats the digest of the lists from the last ack. An entry that has acknowledged a
        // heartbeat knows the description.
        const auto lists = acked_lists_.find({entry, beat.incarnation});
        beat.described = lists == acked_lists_.end();
        beat.lists = beat.described ? 0 : lists->second;
        udp_.Send(entry, wire::ToDatagram(beat));
      }
      sent += entries_.size();
    }
    timer_.expires_after(kStep);
    timer_.async_wait([this](asio::error_code failure) {
      if (!failure) Step();
    });
  }

  void OnAck(const wire::endpoint& from, const wire::raw_message& raw) {
    core::last_error error;
    const auto ack = wire::FromRaw<wire::heartbeat_ack>(raw, error);
    if (!ack || ack->incarnation == 0 || ack->incarnation > heartbeats_.size()) return;
    ++acks;
    if (ack->undescribed) {
      acked_lists_.erase({from, ack->incarnation});
      return;
    }
    acked_lists_[{from, ack->incarnation}] = ack->lists;
    wire::agent_heartbeat& beat = heartbeats_[ack->incarnation - 1];
    if (ack->policy && ack->policy->version > beat.config) beat.config = ack->policy->version;
  }

  const std::vector<wire::endpoint> entries_;
  const core::milliseconds period_;
  asio::io_context context_;
  wire::udp_socket udp_;
  std::vector<std::shared_ptr<wire::tcp_connection>> connections_;
  wire::tcp_listener listener_;
  asio::steady_timer timer_;
  std::vector<wire::agent_heartbeat> heartbeats_;
  std::map<std::pair<wire::endpoint, std::uint64_t>, std::uint64_t> acked_lists_;
  std::chrono::steady_clock::time_point start_;
  std::uint64_t next_ = 0;
  std::thread thread_;
};

heartbeat_load::heartbeat_load(std::vector<wire::endpoint> entries, std::size_t workers,
                               core::milliseconds period)
    : impl_(std::make_unique<impl>(std::move(entries), workers, period)) {}

heartbeat_load::~heartbeat_load() = default;

std::uint64_t heartbeat_load::sent() const { return impl_->sent; }

std::uint64_t heartbeat_load::acks() const { return impl_->acks; }

}  // namespace coltsfoot::capacity
