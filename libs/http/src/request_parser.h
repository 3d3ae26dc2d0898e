#pragma once

#include <boost/beast/http/basic_parser.hpp>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "http/message.h"

namespace coltsfoot::http {

/// Parses one request from pieces of the byte stream into a `request`. Keeps nothing per chunk; its
/// memory grows with the bytes that arrive and not with the length that a header announces.
class request_parser final : private boost::beast::http::basic_parser<true> {
 public:
  /// @param body_limit maximum size of the body, in bytes.
  explicit request_parser(std::size_t body_limit);

  enum class outcome : std::uint8_t { need_more, complete, body_too_large, malformed };

  /// Parses the next bytes.
  /// @param input loses the bytes that were used; the rest must be given again, with more bytes.
  outcome Parse(std::string_view& input);

  /// @return whether the client waits for "100 Continue" before it sends the body; true only once.
  bool TakeExpectation() noexcept;
  /// @return whether the connection stays open after the answer.
  bool keeps_alive() const { return keep_alive(); }
  bool is_http_1_0() const noexcept { return version_ == kHttp10; }
  /// @return bytes that the request occupies, with the unused capacity of its strings.
  std::size_t held_bytes() const noexcept;
  /// @return the complete request.
  request TakeRequest() { return std::move(request_); }

  /// Maximum size of a header, and of what may stay unused between two calls of `Parse`.
  static constexpr std::size_t kMaxHeaderBytes = std::size_t{32} << 10U;

 private:
  using view = boost::beast::string_view;
  using error = boost::beast::error_code;
  static constexpr int kHttp10 = 10;

  void on_request_impl(boost::beast::http::verb method, view name, view target, int version,
                       error& failure) override;
  void on_response_impl(int code, view reason, int version, error& failure) override;
  void on_field_impl(boost::beast::http::field field, view name, view value,
                     error& failure) override;
  void on_header_impl(error& failure) override;
  void on_body_init_impl(const boost::optional<std::uint64_t>& length, error& failure) override;
  std::size_t on_body_impl(view body, error& failure) override;
  void on_chunk_header_impl(std::uint64_t size, view extension, error& failure) override;
  std::size_t on_chunk_body_impl(std::uint64_t remaining, view body, error& failure) override;
  void on_finish_impl(error& failure) override;

  void Append(view body);

  request request_;
  std::size_t header_bytes_ = 0;
  std::size_t extension_bytes_ = 0;
  std::size_t announced_bytes_ = 0;
  std::uint32_t fields_ = 0;
  int version_ = 0;
  bool expects_continue_ = false;
  bool foreign_encoding_ = false;
};

}  // namespace coltsfoot::http
