#include "request_parser.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <string>

#include "request_target.h"

namespace coltsfoot::http {
namespace {

namespace beast = boost::beast;

constexpr std::size_t kMaxUrlBytes = 8192;
constexpr std::size_t kMaxFieldBytes = 8192;
constexpr std::uint32_t kMaxFields = 100;
constexpr std::size_t kMaxParameters = 100;
/// For all extensions of all chunks of a request together.
constexpr std::size_t kMaxExtensionBytes = std::size_t{32} << 10U;
/// Memory of a header field or query parameter beside its text: the node of the map and two
/// strings.
constexpr std::size_t kFieldOverheadBytes = 128;

std::string_view ToStd(beast::string_view text) noexcept { return {text.data(), text.size()}; }

}  // namespace

request_parser::request_parser(std::size_t body_limit) {
  this->body_limit(body_limit);
  header_limit(kMaxHeaderBytes);
  eager(true);
}

request_parser::outcome request_parser::Parse(std::string_view& input) {
  // Empty lines before a request line are skipped, as RFC 9112 section 2.2 asks for.
  if (!got_some()) input.remove_prefix(std::min(input.find_first_not_of("\r\n"), input.size()));
  if (input.empty()) return outcome::need_more;
  error failure;
  const std::size_t used = put(boost::asio::const_buffer(input.data(), input.size()), failure);
  input.remove_prefix(used);
  if (failure == beast::http::error::body_limit) return outcome::body_too_large;
  if (failure && failure != beast::http::error::need_more) return outcome::malformed;
  if (is_done()) return outcome::complete;
  return input.size() > kMaxHeaderBytes ? outcome::malformed : outcome::need_more;
}

bool request_parser::TakeExpectation() noexcept { return std::exchange(expects_continue_, false); }

std::size_t request_parser::held_bytes() const noexcept {
  return header_bytes_ + request_.body.capacity();
}

void request_parser::on_request_impl(beast::http::verb method, view name, view target, int version,
                                     error& failure) {
  const bool known_version = version == kHttp10 || version == 11;
  if (method == beast::http::verb::unknown || !known_version) {
    failure = beast::http::error::bad_method;
    return;
  }
  if (target.size() > kMaxUrlBytes) {
    failure = beast::http::error::bad_target;
    return;
  }
  version_ = version;
  request_.method.assign(name.data(), name.size());
  ParseTarget(ToStd(target), request_);
  if (request_.query.size() > kMaxParameters) {
    failure = beast::http::error::bad_target;
    return;
  }
  header_bytes_ += name.size() + 2 * target.size() + request_.query.size() * kFieldOverheadBytes;
}

void request_parser::on_response_impl(int /*code*/, view /*reason*/, int /*version*/,
                                      error& failure) {
  failure = beast::http::error::bad_method;
}

void request_parser::on_field_impl(beast::http::field field, view name, view value,
                                   error& failure) {
  // The number of fields counts those of a trailer as well, which are not kept.
  if (++fields_ > kMaxFields || name.size() > kMaxFieldBytes || value.size() > kMaxFieldBytes) {
    failure = beast::http::error::header_limit;
    return;
  }
  if (is_header_done()) return;
  if (field == beast::http::field::transfer_encoding && !beast::iequals(value, "chunked")) {
    foreign_encoding_ = true;
  }
  if (field == beast::http::field::expect && beast::iequals(value, "100-continue")) {
    expects_continue_ = true;
  }
  request_.headers.emplace(std::string(ToStd(name)), std::string(ToStd(value)));
  header_bytes_ += name.size() + value.size() + kFieldOverheadBytes;
}

void request_parser::on_header_impl(error& failure) {
  // Where such a body ends is understood differently by different servers on a request's way.
  if (foreign_encoding_ || (chunked() && is_http_1_0())) {
    failure = beast::http::error::bad_transfer_encoding;
  }
  if (is_http_1_0()) expects_continue_ = false;
}

void request_parser::on_body_init_impl(const boost::optional<std::uint64_t>& length,
                                       error& /*failure*/) {
  announced_bytes_ = length ? static_cast<std::size_t>(*length) : 0;
}

std::size_t request_parser::on_body_impl(view body, error& /*failure*/) {
  Append(body);
  return body.size();
}

void request_parser::on_chunk_header_impl(std::uint64_t /*size*/, view extension, error& failure) {
  extension_bytes_ += extension.size();
  if (extension_bytes_ > kMaxExtensionBytes) failure = beast::http::error::header_limit;
}

std::size_t request_parser::on_chunk_body_impl(std::uint64_t /*remaining*/, view body,
                                               error& /*failure*/) {
  Append(body);
  return body.size();
}

void request_parser::on_finish_impl(error& /*failure*/) {}

void request_parser::Append(view body) {
  expects_continue_ = false;
  std::string& text = request_.body;
  const std::size_t needed = text.size() + body.size();
  if (needed > text.capacity()) {
    std::size_t capacity = std::max(needed, 2 * text.capacity());
    if (announced_bytes_ >= needed) capacity = std::min(capacity, announced_bytes_);
    text.reserve(capacity);
  }
  text.append(body.data(), body.size());
}

}  // namespace coltsfoot::http
