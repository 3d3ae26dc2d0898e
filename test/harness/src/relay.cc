#include "harness/relay.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <cstdlib>
#include <future>
#include <map>
#include <thread>
#include <utility>
#include <vector>

#include "wire/frame.h"
#include "wire/transport.h"

namespace coltsfoot::harness {
namespace {

using wire::endpoint;
using wire::raw_message;

endpoint AnyLocalPort() { return {"127.0.0.1", 0}; }

struct cut_state {
  bool to_entry = false;
  bool to_agent = false;
};

/// TCP connection from an entry to an agent or another entry, with the frames that a cut delays.
struct tcp_pair {
  std::string entry;  ///< that connected; empty between entries until its hello has arrived
  std::shared_ptr<wire::tcp_connection> entry_side;
  std::shared_ptr<wire::tcp_connection> agent_side;
  std::vector<std::string> queued_to_agent;
  std::vector<std::string> queued_to_entry;
  bool agent_open = false;
  bool closed = false;
};

void Forward(wire::tcp_connection& to, std::vector<std::string>& queued, bool blocked) {
  if (blocked) return;
  for (std::string& frame : std::exchange(queued, {})) to.Send(std::move(frame));
}

}  // namespace

class relay::impl {
 public:
  impl() : guard_(asio::make_work_guard(context_)), thread_([this] { context_.run(); }) {}

  ~impl() {
    context_.stop();
    thread_.join();
  }

  endpoint AddLink(const std::string& agent, const std::string& entry, const endpoint& entry_udp) {
    return OnThread([&] {
      auto item = std::make_unique<link>();
      link& added = *item;
      added.agent = agent;
      added.entry = entry;
      added.entry_udp = entry_udp;
      added.agent_socket = std::make_unique<wire::udp_socket>(
          context_, AnyLocalPort(),
          [this, &added](const endpoint& from, raw_message message) {
            added.agent_udp = from;
            FromAgent(added, std::move(message));
          },
          [](core::result_code) {});
      added.entry_socket = std::make_unique<wire::udp_socket>(
          context_, AnyLocalPort(),
          [this, &added](const endpoint&, raw_message message) {
            FromEntry(added, std::move(message));
          },
          [](core::result_code) {});
      links_.push_back(std::move(item));
      Listen(added);
      return added.agent_socket->local();
    });
  }

  endpoint AddEntry(const std::string& entry, const endpoint& entry_tcp) {
    return OnThread([&] {
      links_.push_back(std::make_unique<link>());
      link& added = *links_.back();
      added.agent = entry;
      added.agent_tcp = entry_tcp;
      return Listen(added);
    });
  }

  void SetCut(const std::string& entry, cut_state state) {
    OnThread([&] {
      cuts_[entry] = state;
      FlushAll();
      return 0;
    });
  }

  void Separate(std::set<std::string> region) {
    OnThread([&] {
      region_ = std::move(region);
      FlushAll();
      return 0;
    });
  }

 private:
  struct link {
    std::string agent;  ///< or, in a link between entries, the entry that accepts
    std::string entry;  ///< empty for the links between entries
    endpoint entry_udp;
    endpoint agent_udp;
    endpoint agent_tcp;
    std::unique_ptr<wire::udp_socket> agent_socket;
    std::unique_ptr<wire::udp_socket> entry_socket;
    std::unique_ptr<wire::tcp_listener> listener;
    std::vector<std::shared_ptr<tcp_pair>> pairs;
  };

  template <class Function>
  std::invoke_result_t<Function> OnThread(Function function) {
    std::promise<std::invoke_result_t<Function>> done;
    asio::post(context_, [&] { done.set_value(function()); });
    return done.get_future().get();
  }

  endpoint Listen(link& on) {
    on.listener = std::make_unique<wire::tcp_listener>(
        context_, AnyLocalPort(), [this, &on](std::shared_ptr<wire::tcp_connection> accepted) {
          Accept(on, std::move(accepted));
        });
    return on.listener->local();
  }

  cut_state CutOf(const std::string& entry, const link& on) const {
    if (region_.contains(entry) != region_.contains(on.agent)) return {true, true};
    const auto cut = cuts_.find(on.entry);
    return cut == cuts_.end() ? cut_state{} : cut->second;
  }

  void FromAgent(link& on, raw_message message) {
    if (CutOf(on.entry, on).to_entry) return;
    core::last_error error;
    if (auto heartbeat = wire::FromRaw<wire::agent_heartbeat>(message, error)) {
      if (heartbeat->described) {
        on.agent_tcp = std::exchange(heartbeat->agent_tcp, on.listener->local());
      }
      on.entry_socket->Send(on.entry_udp, wire::ToDatagram(*heartbeat));
      return;
    }
    on.entry_socket->Send(on.entry_udp, wire::MakeDatagram(message.type, message.payload));
  }

  void FromEntry(link& on, raw_message message) {
    if (CutOf(on.entry, on).to_agent) return;
    core::last_error error;
    if (auto ack = wire::FromRaw<wire::heartbeat_ack>(message, error)) {
      for (endpoint& each : ack->entries) each = RelayedEndpoint(on.agent, each);
      on.agent_socket->Send(on.agent_udp, wire::ToDatagram(*ack));
      return;
    }
    on.agent_socket->Send(on.agent_udp, wire::MakeDatagram(message.type, message.payload));
  }

  endpoint RelayedEndpoint(const std::string& agent, const endpoint& entry_udp) const {
    for (const auto& each : links_) {
      if (each->agent == agent && each->entry_udp == entry_udp) return each->agent_socket->local();
    }
    return entry_udp;
  }

  void Accept(link& on, std::shared_ptr<wire::tcp_connection> accepted) {
    auto pair = std::make_shared<tcp_pair>();
    pair->entry = on.entry;
    pair->entry_side = std::move(accepted);
    pair->agent_side = wire::ConnectTcp(context_, on.agent_tcp);
    on.pairs.push_back(pair);
    const auto close = [pair](core::error_reason) {
      if (std::exchange(pair->closed, true)) return;
      pair->entry_side->Close();
      pair->agent_side->Close();
    };
    pair->entry_side->Start({.on_open = {},
                             .on_message =
                                 [this, &on, pair](raw_message message) {
                                   core::last_error error;
                                   const auto hello = wire::FromRaw<wire::hello>(message, error);
                                   if (hello) pair->entry = hello->process;
                                   pair->queued_to_agent.push_back(
                                       wire::MakeFrame(message.type, message.payload));
                                   Flush(on, *pair);
                                 },
                             .on_close = close});
    pair->agent_side->Start({.on_open =
                                 [this, &on, pair] {
                                   pair->agent_open = true;
                                   Flush(on, *pair);
                                 },
                             .on_message =
                                 [this, &on, pair](raw_message message) {
                                   pair->queued_to_entry.push_back(
                                       wire::MakeFrame(message.type, message.payload));
                                   Flush(on, *pair);
                                 },
                             .on_close = close});
  }

  void FlushAll() {
    for (auto& each : links_) {
      for (auto& pair : each->pairs) Flush(*each, *pair);
    }
  }

  void Flush(const link& on, tcp_pair& pair) {
    if (pair.closed) return;
    const cut_state cut = CutOf(pair.entry, on);
    Forward(*pair.agent_side, pair.queued_to_agent, cut.to_agent || !pair.agent_open);
    Forward(*pair.entry_side, pair.queued_to_entry, cut.to_entry);
  }

  asio::io_context context_;
  asio::executor_work_guard<asio::io_context::executor_type> guard_;
  std::map<std::string, cut_state> cuts_;
  std::set<std::string> region_;
  std::vector<std::unique_ptr<link>> links_;
  std::thread thread_;
};

relay::relay() : impl_(std::make_unique<impl>()) {}
relay::~relay() = default;

endpoint relay::AddLink(const std::string& agent, const std::string& entry,
                        const endpoint& entry_udp) {
  return impl_->AddLink(agent, entry, entry_udp);
}

endpoint relay::AddEntry(const std::string& entry, const endpoint& entry_tcp) {
  return impl_->AddEntry(entry, entry_tcp);
}

void relay::Separate(std::set<std::string> region) { impl_->Separate(std::move(region)); }

void relay::Cut(const std::string& entry, direction which) {
  impl_->SetCut(entry, {which != direction::to_agent, which != direction::to_entry});
}

void relay::Heal(const std::string& entry) { impl_->SetCut(entry, {}); }

endpoint ToEndpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) return {};
  return {text.substr(0, colon),
          static_cast<std::uint16_t>(std::strtoul(text.c_str() + colon + 1, nullptr, 10))};
}

}  // namespace coltsfoot::harness
