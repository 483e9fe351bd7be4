#include "auto/front/raw_target.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace basilspur::front_test {

namespace asio = net::asio;
using asio::ip::tcp;

RawTarget::RawTarget(std::function<Response(int request)> make_response)
    : make_response_(std::move(make_response)),
      acceptor_(context_,
                tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
      address_("127.0.0.1:" +
               std::to_string(acceptor_.local_endpoint().port())) {
  asio::co_spawn(context_, Accept(), asio::detached);
  thread_ = std::thread([this] { context_.run(); });
}

RawTarget::~RawTarget() {
  context_.stop();
  thread_.join();
}

asio::awaitable<void> RawTarget::Accept() {
  for (;;) {
    net::error_code failure;
    tcp::socket socket = co_await acceptor_.async_accept(
        asio::redirect_error(asio::use_awaitable, failure));
    if (failure) co_return;
    asio::co_spawn(context_, Serve(std::move(socket)), asio::detached);
  }
}

asio::awaitable<void> RawTarget::Serve(tcp::socket socket) {
  asio::streambuf buffer;
  for (;;) {
    net::error_code failure;
    const std::size_t size = co_await asio::async_read_until(
        socket, buffer, "\r\n\r\n",
        asio::redirect_error(asio::use_awaitable, failure));
    if (failure) co_return;
    buffer.consume(size);
    const Response response = make_response_(++requests_);
    if (response.no_response) {
      co_await net::Sleep(Millis(60'000));
      co_return;
    }
    co_await asio::async_write(
        socket, asio::buffer(response.bytes),
        asio::redirect_error(asio::use_awaitable, failure));
    if (failure || response.close) co_return;
  }
}

}  // namespace basilspur::front_test
