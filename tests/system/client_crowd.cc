#include "system/client_crowd.h"

#include <boost/asio/write.hpp>
#include <chrono>
#include <utility>

#include "net/address.h"

namespace basilspur::system_test {

/// Ends the wait for a server that reads no more.
static constexpr std::chrono::seconds kMaxTime(20);

ClientCrowd::ClientCrowd(const std::string& address, int clients,
                         CrowdInput input)
    : input_(std::move(input)) {
  const net::Address parsed = ValueOf(net::ParseAddress(address));
  const net::asio::ip::tcp::endpoint endpoint(
      net::asio::ip::make_address(parsed.ip), parsed.port);
  for (int i = 0; i < clients; ++i) {
    sockets_.push_back(std::make_unique<net::asio::ip::tcp::socket>(context_));
    net::asio::co_spawn(context_, Send(*sockets_.back(), endpoint),
                        net::asio::detached);
  }
  context_.run_for(kMaxTime);
}

net::asio::awaitable<void> ClientCrowd::Send(
    net::asio::ip::tcp::socket& socket, net::asio::ip::tcp::endpoint endpoint) {
  const auto token = [](net::error_code& failure) {
    return net::asio::redirect_error(net::asio::use_awaitable, failure);
  };
  net::error_code failure;
  co_await socket.async_connect(endpoint, token(failure));
  if (failure) co_return;
  sent_bytes_ += co_await net::asio::async_write(
      socket, net::asio::buffer(input_.head), token(failure));
  for (std::size_t sent = 0; !failure && sent < input_.bytes;) {
    const std::size_t part = co_await net::asio::async_write(
        socket, net::asio::buffer(input_.filler), token(failure));
    sent += part;
    sent_bytes_ += part;
  }
}

}  // namespace basilspur::system_test
