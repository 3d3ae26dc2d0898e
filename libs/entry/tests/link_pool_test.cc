#include "link_pool.h"

#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <asio/executor_work_guard.hpp>
#include <asio/ip/tcp.hpp>
#include <chrono>
#include <filesystem>
#include <iterator>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace coltsfoot::entry {
namespace {

/// Endpoint that completes no connection: the queue of a listener that never accepts is full.
class unresponsive_endpoint {
 public:
  unresponsive_endpoint() {
    acceptor_.listen(0);
    // A queue of length 0 holds one connection; further ones wait for the kernel's next attempt.
    for (int each = 0; each < 4; ++each) {
      fillers_.push_back(std::make_unique<asio::ip::tcp::socket>(context_));
      fillers_.back()->async_connect(acceptor_.local_endpoint(), [](asio::error_code) {});
    }
  }
  wire::endpoint address() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }

 private:
  asio::io_context context_;
  asio::ip::tcp::acceptor acceptor_{context_, {asio::ip::address_v4::loopback(), 0}, false};
  std::vector<std::unique_ptr<asio::ip::tcp::socket>> fillers_;
};

std::ptrdiff_t OpenDescriptors() {
  return std::distance(std::filesystem::directory_iterator("/proc/self/fd"), {});
}

}  // namespace

// Guards against forged heartbeats that take all descriptors of an entry: each names an address
// that does not answer.
TEST_CASE("dials to a crowd of unresponsive addresses are bounded and others are connected") {
  constexpr std::size_t kCrowd = 200;
  constexpr std::ptrdiff_t kMaxDescriptors = 140;
  constexpr std::chrono::seconds kPatience{60};
  asio::io_context traffic;
  asio::io_context control;
  const auto work = asio::make_work_guard(control);
  const core::boot_clock time;
  metrics::registry metrics;
  control_queue queue(control, [] {});
  link_pool links(traffic, queue, "entry-1", time, metrics,
                  {.decode = [](const std::string&,
                                const wire::raw_message&) { return link_pool::message_action{}; },
                   .on_up = [](const std::string&) {},
                   .on_down = [](const std::string&) {}});
  const unresponsive_endpoint crowd;
  const std::ptrdiff_t before = OpenDescriptors();
  for (std::size_t each = 0; each < kCrowd; ++each) {
    links.Connect("forged-" + std::to_string(each), crowd.address());
  }
  asio::ip::tcp::acceptor ordinary(control, {asio::ip::address_v4::loopback(), 0});
  links.Connect("ordinary", {"127.0.0.1", ordinary.local_endpoint().port()});
  std::ptrdiff_t most = 0;
  const auto give_up = std::chrono::steady_clock::now() + kPatience;
  while (!links.is_up("ordinary") && std::chrono::steady_clock::now() < give_up) {
    traffic.restart();
    traffic.poll();
    queue.Run();
    links.Tick();
    most = std::max(most, OpenDescriptors() - before);
    std::this_thread::sleep_for(std::chrono::milliseconds{5});
  }
  CHECK(links.is_up("ordinary"));
  CHECK(most <= kMaxDescriptors);
}

}  // namespace coltsfoot::entry
