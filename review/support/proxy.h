#pragma once

#include <memory>
#include <string>

namespace coltsfoot::review {

/// TCP proxy on a loopback port, with a thread of its own.
class proxy {
 public:
  /// @param target "IP:PORT" to which connections are forwarded.
  explicit proxy(const std::string& target);
  ~proxy();
  proxy(const proxy&) = delete;
  proxy& operator=(const proxy&) = delete;

  std::string address() const;
  /// Forwards nothing more on the connections that are open now; new ones work.
  /// @return how many there are.
  int SilenceOpen();
  /// Forwards nothing on any connection until it is called with false.
  void Hold(bool held);

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace coltsfoot::review
