#include "system/caller_connection.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "net/address.h"

namespace basilspur::system_test {

namespace http = boost::beast::http;

/// Time for an answer that the entry sends at the end of the limit.
static constexpr Millis kAnswerSlack(1'000);

CallerConnection::CallerConnection(const std::string& address)
    : socket_(context_) {
  const net::Address parsed = ValueOf(net::ParseAddress(address));
  socket_.connect({net::asio::ip::make_address(parsed.ip), parsed.port});
}

unsigned CallerConnection::Call(const std::string& method,
                                const std::string& path,
                                const std::string& body, Millis limit) {
  http::request<http::string_body> request(http::string_to_verb(method), path,
                                           11);
  request.set(http::field::host, "jobs.example");
  request.set("Basilspur-Deadline-Ms", std::to_string(limit.count));
  request.body() = body;
  request.prepare_payload();
  net::error_code failure;
  http::write(socket_, request, failure);
  const Millis sent_at = clock_.Monotonic();
  ended_after_.reset();
  if (failure) {
    ended_after_ = Millis(0);
    return 0;
  }
  boost::beast::flat_buffer buffer;
  http::response<http::string_body> response;
  bool ended = false;
  http::async_read(socket_, buffer, response,
                   [&](const net::error_code& error, std::size_t) {
                     failure = error;
                     ended = true;
                   });
  context_.restart();
  const Millis timeout = limit + kAnswerSlack;
  context_.run_for(std::chrono::milliseconds(timeout.count));
  if (!ended) {
    socket_.close();
    context_.run();
    return 0;
  }
  if (failure) {
    ended_after_ = clock_.Monotonic() - sent_at;
    return 0;
  }
  closing_ = !response.keep_alive();
  return response.result_int();
}

}  // namespace basilspur::system_test
