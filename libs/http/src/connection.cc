#include "connection.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <utility>

#include "refusals.h"

namespace coltsfoot::http {
namespace {

using tcp_socket = boost::asio::ip::tcp::socket;

/// A refused client may send at most this much before the connection is closed; most clients read
/// the answer only once they have sent the whole body.
constexpr std::size_t kMaxDrainedBytes = std::size_t{8} << 20U;
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

core::mono_time Now() { return std::chrono::steady_clock::now(); }

bool IsWouldBlock(const boost::system::error_code& failure) {
  return failure == boost::asio::error::would_block || failure == boost::asio::error::try_again;
}

/// Headers that the server sets itself.
bool IsReserved(std::string_view name) {
  const header_less less;
  const auto equals = [&](std::string_view other) {
    return !less(name, other) && !less(other, name);
  };
  return equals("Content-Length") || equals("Connection") || equals("Transfer-Encoding");
}

std::string RenderHeader(const response& answer, bool keep_alive, bool http_1_0) {
  std::string out = "HTTP/1.1 " + std::to_string(answer.status);
  out += answer.status < 300 ? " OK\r\n" : " Error\r\n";
  if (!keep_alive) {
    out += "Connection: close\r\n";
  } else if (http_1_0) {
    out += "Connection: keep-alive\r\n";
  }
  for (const auto& [name, value] : answer.headers) {
    if (IsReserved(name)) continue;
    out.append(name).append(": ").append(value).append("\r\n");
  }
  out.append("Content-Length: ").append(std::to_string(answer.body.size())).append("\r\n\r\n");
  return out;
}

}  // namespace

connection::connection(connection_context& context, socket peer, descriptor_hold hold,
                       connection_id id)
    : context_(context), socket_(std::move(peer)), hold_(std::move(hold)), id_(id) {}

void connection::Start() { WaitForInput(); }

std::size_t connection::HeldBytes() const noexcept {
  // A short string has a capacity without holding memory of its own.
  return (rest_.empty() ? 0 : rest_.capacity()) +
         (parser_ ? sizeof(request_parser) + parser_->held_bytes() : 0);
}

void connection::WaitForInput() {
  socket_.async_wait(tcp_socket::wait_read,
                     [self = shared_from_this()](const boost::system::error_code& failure) {
                       if (failure) return;
                       self->OnInput();
                     });
}

void connection::OnInput() {
  if (phase_ == phase::lingering) {
    Drain();
    return;
  }
  if (phase_ != phase::reading) return;
  boost::system::error_code failure;
  const std::size_t count = socket_.read_some(boost::asio::buffer(context_.scratch), failure);
  if (IsWouldBlock(failure)) {
    WaitForInput();
    return;
  }
  if (failure) {
    Close();
    return;
  }
  const std::string_view input(context_.scratch.data(), count);
  if (rest_.empty()) {
    Parse(input);
  } else {
    std::string joined = std::exchange(rest_, {});
    joined.append(input);
    Parse(joined);
  }
}

void connection::Parse(std::string_view input) {
  parsing_ = true;
  while (phase_ == phase::reading && !input.empty()) {
    if (!parser_) parser_ = std::make_unique<request_parser>(context_.options->body_limit);
    const request_parser::outcome outcome = parser_->Parse(input);
    if (outcome == request_parser::outcome::need_more) break;
    http_1_0_ = parser_->is_http_1_0();
    switch (outcome) {
      case request_parser::outcome::body_too_large:
        Refuse(limit_reason::body_too_large, BodyTooLarge(), core::result_code::body_too_large);
        break;
      case request_parser::outcome::malformed:
        Refuse(limit_reason::malformed, MalformedRequest(), core::result_code::malformed_request);
        break;
      case request_parser::outcome::complete:
      case request_parser::outcome::need_more:
        Deliver(input.size());
        break;
    }
  }
  parsing_ = false;
  if (phase_ == phase::closed || linger_) return;
  rest_ = std::string(input);
  if (phase_ != phase::reading) return;
  if (parser_ && parser_->TakeExpectation()) SendContinue();
  ReportInput();
  if (phase_ == phase::reading) WaitForInput();
}

void connection::ReportInput() {
  const std::size_t held = HeldBytes();
  if (held == reported_bytes_) return;
  reported_bytes_ = held;
  context_.limits->Receive(id_, held, Now());
}

void connection::SendContinue() {
  boost::system::error_code failure;
  const std::size_t count =
      socket_.write_some(boost::asio::buffer(kContinue.data(), kContinue.size()), failure);
  // A client that does not get this line sends the body after a pause of its own. After a part of
  // the line it could not tell where the answer begins.
  const bool whole_or_none = count == kContinue.size() || IsWouldBlock(failure);
  if (!whole_or_none) Close();
}

void connection::Deliver(std::size_t following_bytes) {
  const std::size_t held = HeldBytes() + following_bytes;
  keep_alive_ = parser_->keeps_alive();
  request received = parser_->TakeRequest();
  parser_.reset();
  reported_bytes_ = 0;
  if (const auto refused = context_.limits->Complete(id_, held, Now())) {
    if (context_.options->on_refused) context_.options->on_refused(core::result_code::overloaded);
    Send(Overloaded(*refused));
    return;
  }
  phase_ = phase::handling;
  delivered_ = true;
  context_.deliver(id_, ++request_number_, std::move(received));
}

void connection::Refuse(limit_reason reason, response answer, core::result_code code) {
  context_.limits->CountRefused(id_, reason, Now());
  if (context_.options->on_refused) context_.options->on_refused(code);
  parser_.reset();
  linger_ = true;
  keep_alive_ = false;
  context_.limits->Linger(id_, Now());
  Send(std::move(answer));
}

void connection::Answer(std::uint64_t request_number, response answer) {
  if (phase_ != phase::handling || request_number != request_number_) return;
  Send(std::move(answer));
}

void connection::Send(response answer) {
  keep_alive_ = keep_alive_ && !*context_.closing;
  answer_header_ = RenderHeader(answer, keep_alive_, http_1_0_);
  answer_body_ = std::move(answer.body);
  written_bytes_ = 0;
  phase_ = phase::answering;
  Write();
}

void connection::Write() {
  const std::size_t total = answer_header_.size() + answer_body_.size();
  while (written_bytes_ < total) {
    const std::size_t of_header = std::min(written_bytes_, answer_header_.size());
    const std::array<boost::asio::const_buffer, 2> buffers{
        boost::asio::buffer(answer_header_) + of_header,
        boost::asio::buffer(answer_body_) + (written_bytes_ - of_header)};
    boost::system::error_code failure;
    const std::size_t count = socket_.write_some(buffers, failure);
    written_bytes_ += count;
    if (IsWouldBlock(failure)) {
      context_.limits->Answer(id_,
                              kReceiveBufferBytes + rest_.capacity() + answer_header_.capacity() +
                                  answer_body_.capacity(),
                              Now());
      socket_.async_wait(tcp_socket::wait_write,
                         [self = shared_from_this()](const boost::system::error_code& ended) {
                           if (!ended && self->phase_ == phase::answering) self->Write();
                         });
      return;
    }
    if (failure) {
      Close();
      return;
    }
  }
  OnWritten();
}

void connection::OnWritten() {
  answer_header_ = {};
  answer_body_ = {};
  if (std::exchange(delivered_, false)) context_.on_answered();
  if (linger_) {
    Linger();
  } else if (!keep_alive_) {
    Close();
  } else {
    phase_ = phase::reading;
    context_.limits->Finish(id_, Now());
    if (!parsing_) Parse(std::exchange(rest_, {}));
  }
}

void connection::Linger() {
  // Closing while unread input is left would reset the connection, and the client could lose the
  // answer that refuses its request.
  phase_ = phase::lingering;
  rest_ = {};
  boost::system::error_code failure;
  socket_.shutdown(tcp_socket::shutdown_send, failure);
  if (failure) {
    Close();
    return;
  }
  context_.limits->Linger(id_, Now());
  WaitForInput();
}

void connection::Drain() {
  boost::system::error_code failure;
  const std::size_t count = socket_.read_some(boost::asio::buffer(context_.scratch), failure);
  drained_bytes_ += count;
  if ((failure && !IsWouldBlock(failure)) || drained_bytes_ > kMaxDrainedBytes) {
    Close();
    return;
  }
  WaitForInput();
}

void connection::Close() {
  if (std::exchange(phase_, phase::closed) == phase::closed) return;
  boost::system::error_code failure;
  // Nothing is left to do with a socket that cannot be closed.
  socket_.close(failure);
  hold_.reset();
  parser_.reset();
  rest_ = {};
  answer_header_ = {};
  answer_body_ = {};
  context_.limits->Close(id_);
  if (std::exchange(delivered_, false)) context_.on_answered();
  context_.on_closed(id_);
}

}  // namespace coltsfoot::http
