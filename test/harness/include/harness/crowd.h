#pragma once

#include <sys/types.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "core/clock.h"
#include "harness/process.h"
#include "http/client.h"
#include "wire/messages.h"

/// Clients outside the limits that callers are asked to keep, and what they make a process hold.
namespace coltsfoot::harness {

/// Bytes that one connection sends, shared by the connections that send the same ones.
using byte_sequence = std::shared_ptr<const std::string>;

/// What the connections of a crowd send. They stay open afterwards until the server closes them.
struct crowd_plan {
  std::vector<byte_sequence> sequences;  ///< one a connection
  bool reads = true;                     ///< false: leaves all answers unread
  bool reopens = false;       ///< connects and sends again whenever the server has closed it
  std::size_t addresses = 1;  ///< 127.0.0.1 and following ones from which the connections come
};

/// Kinds of crowds.
enum class crowd_kind : std::uint8_t {
  small_chunks,       ///< chunked bodies in chunks of 4 bytes that lack their end
  large_chunks,       ///< chunked bodies in chunks of 64 KiB that lack their end
  announced,          ///< bodies far over the limit with a Content-Length
  unannounced,        ///< chunked bodies far over the limit
  many_connections,   ///< more connections than descriptors, with at most a part of a request each
  unread_answers,     ///< requests whose answers are not read
  unfinished_frames,  ///< frames for peers that lack their last byte
  silent_peers,       ///< more connections than descriptors that send nothing
  many_parameters,    ///< unfinished requests with as many query parameters as fit
  slow_requests,      ///< complete requests that wait for something else, with an id each
  reopening,          ///< more connections than descriptors, from many addresses, that come again
  few_descriptors,    ///< as many_connections, with fewer descriptors than the limits assume
  long_polls,         ///< more complete requests that wait for an event than may be in progress
};

/// @return the hard limit on descriptors with which a process meets a kind of crowd; 0: none.
std::size_t DescriptorLimit(crowd_kind kind);

/// What a crowd sends to a port.
struct port_traffic {
  std::string path;                   ///< of requests
  std::string method = "POST";        ///< of requests with a body
  std::size_t far_bytes = 3'900'000;  ///< of a body far over the limit that stays open
  wire::message_type frame = wire::message_type::hello;
  std::string body = "{}";  ///< of complete requests
};

/// @return the crowds of a kind, which come one after the other and stay.
std::vector<crowd_plan> PlanCrowds(crowd_kind kind, const port_traffic& traffic);

/// @return `payload` as a chunked body in chunks of `chunk_bytes`, without the last, empty chunk.
std::string Chunks(std::string_view payload, std::size_t chunk_bytes);

/// Connections to one server that send their sequences at the same time, as fast as it reads.
class crowd {
 public:
  /// Starts connecting.
  /// @param endpoint "IP:PORT" of the server.
  crowd(const std::string& endpoint, crowd_plan plan);
  /// Closes all connections.
  ~crowd();
  crowd(const crowd&) = delete;
  crowd& operator=(const crowd&) = delete;

  /// Waits until each connection has sent its sequence or was closed by the server, or none has
  /// made progress for a while because the server reads nothing.
  void WaitUntilSettled();
  /// Waits until the server has closed or refused `count` connections, within a limit.
  void WaitUntilClosed(std::size_t count);
  /// @return the number of connections that the server has closed or refused.
  std::size_t closed() const;
  /// @return the bytes that the kernel has taken from all connections.
  std::size_t sent_bytes() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

/// What a process held at most while it was observed.
struct held_resources {
  std::size_t resident_bytes = 0;  ///< peak of the resident memory since its start
  std::size_t unread_bytes = 0;    ///< sum of the receive queues of its connections
  std::size_t descriptors = 0;
  bool operator==(const held_resources&) const = default;
  /// @return the memory that the platform counts for the process.
  std::size_t memory_bytes() const noexcept { return resident_bytes + unread_bytes; }
};

/// Samples the resources of a process on a thread of its own.
class resource_monitor {
 public:
  /// @param endpoints "IP:PORT" of each port that the process listens on.
  resource_monitor(pid_t process, const std::vector<std::string>& endpoints);
  ~resource_monitor();
  resource_monitor(const resource_monitor&) = delete;
  resource_monitor& operator=(const resource_monitor&) = delete;

  /// Takes another sample.
  /// @return the greatest value of each resource so far.
  held_resources Peak();
  /// Takes another sample.
  /// @return the bytes that clients have sent to the ports and the process has not read yet.
  std::size_t PendingBytes();

 private:
  std::size_t Sample();

  const pid_t process_;
  std::vector<std::string> ports_;  ///< as /proc/net/tcp writes them
  std::mutex mutex_;
  held_resources peak_;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

/// What became of a process and its ordinary caller while crowds were connected.
struct crowd_outcome {
  held_resources held;
  bool running = false;
  bool answered = false;
  bool stopped = false;  ///< ended by itself after SIGTERM, with the crowds still connected
  std::string summary;   ///< for the report
};

/// Connects crowds to a port of a process, keeps them, makes an ordinary call and stops the
/// process.
/// @param ports "IP:PORT" of each port that the process listens on; the first one gets the crowds.
/// @param call whether the ordinary caller got its answer.
crowd_outcome MeetCrowds(process& subject, const std::vector<std::string>& ports,
                         std::vector<crowd_plan> plans, const std::function<bool()>& call);

/// Sends `bytes` on a new connection and reads until the server closes it.
/// @return what was received; empty if the connection was closed without an answer.
std::string Exchange(const std::string& endpoint, const std::string& bytes);

/// Sends a request as an ordinary caller does: each try on a new connection, and another one if the
/// connection was closed without an answer or the answer has another status.
/// @return the first answer with status `status`; otherwise the last answer or nothing. There is no
/// other try after one that got no answer within its time.
std::optional<http::response> CallOrdinary(http::client& via, http::call request, int status);

}  // namespace coltsfoot::harness
