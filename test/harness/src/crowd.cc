#include "harness/crowd.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <asio/buffer.hpp>
#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <charconv>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string_view>
#include <utility>

#include "wire/frame.h"

namespace coltsfoot::harness {
namespace {

using asio::ip::tcp;

constexpr std::size_t kWriteBytes = 64U << 10U;
constexpr std::size_t kReadBytes = 16U << 10U;
constexpr int kUnreadBytes = 4096;
constexpr std::size_t kKilobyte = 1024;
// Time without any progress after which the server is taken to read nothing more for now.
constexpr core::milliseconds kStandstill{5000};
constexpr core::milliseconds kPollInterval{20};
constexpr core::milliseconds kSampleInterval{20};
constexpr int kMaxTries = 20;
constexpr core::milliseconds kTryTimeout{30000};
constexpr core::milliseconds kTryPause{1000};
constexpr core::milliseconds kStopLimit{30000};
constexpr core::milliseconds kReopenPause{5};
// Closed connections for each of a crowd that comes again, before the ordinary call.
constexpr std::size_t kReopenings = 10;

/// @return a plan with `count` connections that all send `bytes`.
crowd_plan Repeat(std::size_t count, std::string bytes) {
  crowd_plan plan;
  plan.sequences.assign(count, std::make_shared<const std::string>(std::move(bytes)));
  return plan;
}

/// @return a chunked body of `bytes` without its end.
std::string Body(std::size_t bytes, std::size_t chunk_bytes) {
  return Chunks(std::string(bytes, 'x'), chunk_bytes);
}

/// @return a query of `bytes` with different names of two characters and without values.
std::string Query(std::size_t bytes) {
  std::string out;
  for (std::size_t index = 0; out.size() < bytes; ++index) {
    out += {static_cast<char>('A' + index % 58), static_cast<char>('A' + index / 58), '&'};
  }
  return out;
}

std::uint16_t PortOf(std::string_view endpoint) {
  const std::string_view digits = endpoint.substr(endpoint.rfind(':') + 1);
  std::uint16_t port = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), port);
  return port;
}

tcp::endpoint ToTcp(const std::string& endpoint) {
  return {asio::ip::make_address(endpoint.substr(0, endpoint.rfind(':'))), PortOf(endpoint)};
}

struct totals {
  std::atomic<std::size_t> unfinished{0};
  std::atomic<std::size_t> closed{0};
  std::atomic<std::size_t> sent_bytes{0};
  std::atomic<std::size_t> events{0};  ///< completed operations, as a sign of progress
};

/// One connection of a crowd.
class member : public std::enable_shared_from_this<member> {
 public:
  member(asio::io_context& context, byte_sequence bytes, const crowd_plan& plan,
         std::size_t address, totals& counts)
      : socket_(context),
        pause_(context),
        bytes_(std::move(bytes)),
        reads_(plan.reads),
        reopens_(plan.reopens),
        address_(asio::ip::address_v4::loopback().to_uint() + static_cast<std::uint32_t>(address)),
        counts_(counts) {}

  void Connect(const tcp::endpoint& server) {
    server_ = server;
    asio::error_code failed;
    socket_.open(server.protocol(), failed);
    if (!failed) socket_.bind({address_, 0}, failed);
    if (failed) return Close();
    // Leaves the answers to the server and not to this side of the connection.
    if (!reads_) socket_.set_option(tcp::socket::receive_buffer_size(kUnreadBytes));
    socket_.async_connect(server, [self = shared_from_this()](asio::error_code failure) {
      if (failure) return self->Close();
      ++self->counts_.events;
      if (self->reads_) self->Read();
      self->Write();
    });
  }

 private:
  void Write() {
    if (offset_ == bytes_->size()) return Finish();
    const std::size_t count = std::min(kWriteBytes, bytes_->size() - offset_);
    socket_.async_write_some(asio::buffer(bytes_->data() + offset_, count),
                             [self = shared_from_this()](asio::error_code failure, std::size_t n) {
                               self->offset_ += n;
                               self->counts_.sent_bytes += n;
                               ++self->counts_.events;
                               if (failure) return self->Close();
                               self->Write();
                             });
  }

  void Read() {
    socket_.async_read_some(asio::buffer(discarded_),
                            [self = shared_from_this()](asio::error_code failure, std::size_t) {
                              ++self->counts_.events;
                              if (failure) return self->Close();
                              self->Read();
                            });
  }

  void Finish() {
    if (!std::exchange(finished_, true)) --counts_.unfinished;
  }

  void Close() {
    Finish();
    if (!socket_.is_open()) return;
    ++counts_.closed;
    asio::error_code ignored;  // closing a socket that the server has reset fails without effect
    socket_.close(ignored);
    if (!reopens_) return;
    pause_.expires_after(kReopenPause);
    pause_.async_wait([self = shared_from_this()](asio::error_code stopped) {
      if (stopped || self->socket_.is_open()) return;
      self->offset_ = 0;
      self->Connect(self->server_);
    });
  }

  tcp::socket socket_;
  asio::steady_timer pause_;
  tcp::endpoint server_;
  byte_sequence bytes_;
  const bool reads_;
  const bool reopens_;
  const asio::ip::address_v4 address_;
  totals& counts_;
  std::size_t offset_ = 0;
  bool finished_ = false;
  std::array<char, kReadBytes> discarded_{};
};

}  // namespace

class crowd::impl {
 public:
  impl(const std::string& endpoint, crowd_plan plan) {
    const tcp::endpoint server = ToTcp(endpoint);
    counts_.unfinished = plan.sequences.size();
    for (const byte_sequence& bytes : plan.sequences) {
      members_.push_back(std::make_shared<member>(context_, bytes, plan,
                                                  members_.size() % plan.addresses, counts_));
      members_.back()->Connect(server);
    }
    thread_ = std::thread([this] { context_.run(); });
  }
  ~impl() {
    context_.stop();
    thread_.join();
  }
  impl(const impl&) = delete;
  impl& operator=(const impl&) = delete;

  totals& counts() { return counts_; }

 private:
  totals counts_;
  asio::io_context context_;
  std::vector<std::shared_ptr<member>> members_;  ///< keeps those open that await nothing
  // Keeps the connections' thread running when the server has closed all of them.
  asio::executor_work_guard<asio::io_context::executor_type> work_{context_.get_executor()};
  std::thread thread_;
};

crowd::crowd(const std::string& endpoint, crowd_plan plan)
    : impl_(std::make_unique<impl>(endpoint, std::move(plan))) {}

crowd::~crowd() = default;

void crowd::WaitUntilSettled() {
  const totals& counts = impl_->counts();
  std::size_t events = counts.events;
  auto progress_at = std::chrono::steady_clock::now();
  while (counts.unfinished > 0 && std::chrono::steady_clock::now() < progress_at + kStandstill) {
    std::this_thread::sleep_for(kPollInterval);
    if (std::exchange(events, counts.events) != events) {
      progress_at = std::chrono::steady_clock::now();
    }
  }
}

void crowd::WaitUntilClosed(std::size_t count) {
  const auto until = std::chrono::steady_clock::now() + kTryTimeout;
  while (closed() < count && std::chrono::steady_clock::now() < until) {
    std::this_thread::sleep_for(kPollInterval);
  }
}

std::size_t crowd::closed() const { return impl_->counts().closed; }

std::size_t crowd::sent_bytes() const { return impl_->counts().sent_bytes; }

std::size_t DescriptorLimit(crowd_kind kind) {
  constexpr std::size_t kFewDescriptors = 256;
  constexpr std::size_t kVeryFewDescriptors = 64;
  if (kind == crowd_kind::few_descriptors) return kVeryFewDescriptors;
  const bool limited = kind == crowd_kind::many_connections || kind == crowd_kind::silent_peers ||
                       kind == crowd_kind::reopening || kind == crowd_kind::long_polls;
  return limited ? kFewDescriptors : 0;
}

std::vector<crowd_plan> PlanCrowds(crowd_kind kind, const port_traffic& traffic) {
  constexpr std::size_t kLargeChunk = 64U << 10U;
  constexpr std::size_t kUnfinishedBytes = 900'000;
  const std::string headers = " HTTP/1.1\r\nHost: h.example\r\nContent-Type: application/json\r\n";
  const std::string head = traffic.method + " " + traffic.path + headers;
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  switch (kind) {
    case crowd_kind::small_chunks:
      return {Repeat(40, chunked + Body(kUnfinishedBytes, 4))};
    case crowd_kind::large_chunks:
      return {Repeat(200, chunked + Body(kUnfinishedBytes, kLargeChunk))};
    case crowd_kind::announced:
      return {Repeat(
          60, head + "Content-Length: 1000000000\r\n\r\n" + std::string(traffic.far_bytes, 'x'))};
    case crowd_kind::unannounced:
      return {Repeat(60, chunked + Body(traffic.far_bytes, kLargeChunk)),
              Repeat(20, chunked + Body(40'000'000, kLargeChunk))};
    case crowd_kind::few_descriptors:
    case crowd_kind::many_connections: {
      crowd_plan plan = Repeat(100, "");
      for (const std::string& part :
           {head.substr(0, head.size() / 2), head + "Content-Length: 2\r\n\r\n{"}) {
        const crowd_plan more = Repeat(100, part);
        plan.sequences.insert(plan.sequences.end(), more.sequences.begin(), more.sequences.end());
      }
      return {std::move(plan)};
    }
    case crowd_kind::unread_answers: {
      const std::string request = "GET " + traffic.path + headers + "\r\n";
      std::string requests;
      while (requests.size() + request.size() <= 1'000'000) requests += request;
      crowd_plan plan = Repeat(100, std::move(requests));
      plan.reads = false;
      return {std::move(plan)};
    }
    case crowd_kind::unfinished_frames: {
      std::string frame = wire::MakeFrame(traffic.frame, std::string(wire::kMaxFrameBytes, 'x'));
      frame.pop_back();
      return {Repeat(100, std::move(frame))};
    }
    case crowd_kind::silent_peers:
      return {Repeat(300, "")};
    case crowd_kind::many_parameters:
      return {Repeat(600, traffic.method + " " + traffic.path + "?" + Query(8000) + headers +
                              "Content-Length: 2\r\n\r\n{")};
    case crowd_kind::long_polls:
      return {Repeat(300, "GET " + traffic.path + headers + "\r\n")};
    case crowd_kind::slow_requests: {
      crowd_plan plan;
      for (std::size_t id = 0; id < 300; ++id) {
        plan.sequences.push_back(std::make_shared<const std::string>(
            fmt::format("{} {}{:016x}{}Content-Length: {}\r\n\r\n{}", traffic.method,
                        traffic.path.substr(0, traffic.path.rfind('/') + 1), 0xc0000 + id, headers,
                        traffic.body.size(), traffic.body)));
      }
      return {std::move(plan)};
    }
    case crowd_kind::reopening: {
      crowd_plan plan = Repeat(300, head + "Content-Length: 2\r\n\r\n{");
      plan.reopens = true;
      plan.addresses = 100;
      return {std::move(plan)};
    }
  }
  return {};
}

std::string Chunks(std::string_view payload, std::size_t chunk_bytes) {
  std::string out;
  for (; !payload.empty(); payload.remove_prefix(std::min(payload.size(), chunk_bytes))) {
    const std::string_view chunk = payload.substr(0, chunk_bytes);
    out += fmt::format("{:x}\r\n{}\r\n", chunk.size(), chunk);
  }
  return out;
}

resource_monitor::resource_monitor(pid_t process, const std::vector<std::string>& endpoints)
    : process_(process) {
  for (const std::string& each : endpoints) ports_.push_back(fmt::format(":{:04X}", PortOf(each)));
  thread_ = std::thread([this] {
    while (!stopping_) {
      Sample();
      std::this_thread::sleep_for(kSampleInterval);
    }
  });
}

resource_monitor::~resource_monitor() {
  stopping_ = true;
  thread_.join();
}

std::size_t resource_monitor::PendingBytes() { return Sample(); }

held_resources resource_monitor::Peak() {
  Sample();
  const std::lock_guard lock(mutex_);
  return peak_;
}

// Files of a process that has ended are missing and leave the values as they were.
std::size_t resource_monitor::Sample() {
  held_resources now;
  std::size_t sent_bytes = 0;  // that are in the queues of the clients
  const std::filesystem::path directory = fmt::format("/proc/{}", process_);
  std::ifstream status(directory / "status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("VmHWM:")) now.resident_bytes = std::stoul(line.substr(6)) * kKilobyte;
  }
  std::error_code ended;
  for (auto each = std::filesystem::directory_iterator(directory / "fd", ended);
       !ended && each != std::filesystem::directory_iterator(); each.increment(ended)) {
    ++now.descriptors;
  }
  std::ifstream connections("/proc/net/tcp");
  for (std::string line; std::getline(connections, line);) {
    std::istringstream fields(line);
    std::string number, local, remote, state, queues;
    fields >> number >> local >> remote >> state >> queues;
    constexpr std::string_view kListening = "0A";
    const auto has_port = [&](const std::string& address) {
      return std::any_of(ports_.begin(), ports_.end(),
                         [&](const std::string& port) { return address.ends_with(port); });
    };
    if (has_port(remote)) sent_bytes += std::stoul(queues, nullptr, 16);
    if (!has_port(local) || state == kListening) continue;
    now.unread_bytes += std::stoul(queues.substr(queues.find(':') + 1), nullptr, 16);
  }
  const std::lock_guard lock(mutex_);
  peak_.resident_bytes = std::max(peak_.resident_bytes, now.resident_bytes);
  peak_.unread_bytes = std::max(peak_.unread_bytes, now.unread_bytes);
  peak_.descriptors = std::max(peak_.descriptors, now.descriptors);
  return sent_bytes + now.unread_bytes;
}

namespace {

/// Waits until a process has read all that was sent to it, or reads nothing more for now.
void WaitUntilRead(resource_monitor& monitor) {
  std::size_t pending = monitor.PendingBytes();
  auto progress_at = std::chrono::steady_clock::now();
  while (pending > 0 && std::chrono::steady_clock::now() < progress_at + kStandstill) {
    std::this_thread::sleep_for(kPollInterval);
    const std::size_t now = monitor.PendingBytes();
    if (std::exchange(pending, now) != now) progress_at = std::chrono::steady_clock::now();
  }
}

}  // namespace

crowd_outcome MeetCrowds(process& subject, const std::vector<std::string>& ports,
                         std::vector<crowd_plan> plans, const std::function<bool()>& call) {
  resource_monitor monitor(subject.pid(), ports);
  std::vector<std::unique_ptr<crowd>> crowds;
  crowd_outcome out;
  for (crowd_plan& plan : plans) {
    const std::size_t count = plan.sequences.size();
    const bool reopens = plan.reopens;
    crowds.push_back(std::make_unique<crowd>(ports.front(), std::move(plan)));
    crowds.back()->WaitUntilSettled();
    if (reopens) {
      crowds.back()->WaitUntilClosed(kReopenings * count);
    } else {
      WaitUntilRead(monitor);
    }
    out.summary += fmt::format("{} connections sent {} bytes, {} closed; ", count,
                               crowds.back()->sent_bytes(), crowds.back()->closed());
  }
  out.answered = call();
  out.held = monitor.Peak();
  out.running = subject.running();
  subject.Signal(SIGTERM);
  out.stopped = subject.WaitForExit(kStopLimit) == 0;
  out.summary +=
      fmt::format("running={} answered={} stopped={} resident={} unread={} descriptors={}",
                  out.running, out.answered, out.stopped, out.held.resident_bytes,
                  out.held.unread_bytes, out.held.descriptors);
  return out;
}

std::string Exchange(const std::string& endpoint, const std::string& bytes) {
  asio::io_context context;
  tcp::socket socket(context);
  asio::error_code failure;
  socket.connect(ToTcp(endpoint), failure);
  // A server that refuses the request may close the connection while it is being sent.
  if (!failure) asio::write(socket, asio::buffer(bytes), failure);
  std::string received;
  failure.clear();
  asio::read(socket, asio::dynamic_buffer(received), failure);
  return received;
}

std::optional<http::response> CallOrdinary(http::client& via, http::call request, int status) {
  request.at_most_once = true;
  request.timeout = kTryTimeout;
  std::optional<http::response> last;
  for (int tries = 0; tries < kMaxTries; ++tries) {
    if (tries > 0) std::this_thread::sleep_for(kTryPause);
    const auto begun = std::chrono::steady_clock::now();
    auto result = http::CallAndWait(via, request);
    if (result.answer) last = std::move(*result.answer);
    if (last && last->status == status) return last;
    if (std::chrono::steady_clock::now() + kTryPause >= begun + kTryTimeout) return std::nullopt;
  }
  return last;
}

}  // namespace coltsfoot::harness
