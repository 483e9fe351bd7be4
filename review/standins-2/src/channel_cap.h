#ifndef BASILSPUR_REVIEW_STANDINS_2_CHANNEL_CAP_H_
#define BASILSPUR_REVIEW_STANDINS_2_CHANNEL_CAP_H_

#include <array>
#include <boost/asio/write.hpp>
#include <memory>
#include <string>
#include <utility>

#include "net/address.h"
#include "net/asio.h"
#include "net/http_server.h"
#include "net/spawn.h"

namespace basilspur::review {

/// Listens in front of a server on the same machine and passes on the bytes of
/// up to `cap` connections at a time. Further ones are reset.
///
/// Thread safety: only on the thread of its io_context.
class ChannelCap {
 public:
  using Tcp = net::asio::ip::tcp;

  ChannelCap(net::asio::io_context& context, Tcp::endpoint server, int cap)
      : context_(context), server_(std::move(server)), cap_(cap) {}

  /// Returns false if the address can't be listened on.
  bool Listen(const std::string& address) {
    auto acceptor = net::Listen(context_, address);
    if (!IsOk(acceptor)) return false;
    net::Spawn(context_, Accept(std::move(ValueOf(acceptor))), "channel_cap");
    return true;
  }
  int Open() const { return open_; }
  int Reset() const { return reset_; }

 private:
  net::asio::awaitable<void> Accept(Tcp::acceptor acceptor) {
    for (;;) {
      Tcp::socket client =
          co_await acceptor.async_accept(net::asio::use_awaitable);
      if (open_ >= cap_) {
        ++reset_;
        net::error_code ignored;
        client.set_option(net::asio::socket_base::linger(true, 0), ignored);
        client.close(ignored);
        continue;
      }
      ++open_;
      const auto ended = std::make_shared<bool>(false);
      net::Spawn(context_, Serve(std::move(client), ended), "channel",
                 [this, ended] { End(*ended); });
    }
  }

  void End(bool& ended) {
    if (!std::exchange(ended, true)) --open_;
  }

  net::asio::awaitable<void> Serve(Tcp::socket client,
                                   std::shared_ptr<bool> ended) {
    const auto from = std::make_shared<Tcp::socket>(std::move(client));
    const auto to = std::make_shared<Tcp::socket>(context_);
    net::error_code failure;
    from->set_option(Tcp::no_delay(true), failure);
    co_await to->async_connect(
        server_, net::asio::redirect_error(net::asio::use_awaitable, failure));
    to->set_option(Tcp::no_delay(true), failure);
    net::Spawn(context_, Pass(to, from), "channel_back");
    co_await Pass(from, to);
    End(*ended);
  }

  static net::asio::awaitable<void> Pass(std::shared_ptr<Tcp::socket> from,
                                         std::shared_ptr<Tcp::socket> to) {
    std::array<char, 16'384> bytes;
    net::error_code failure;
    while (!failure) {
      const std::size_t read = co_await from->async_read_some(
          net::asio::buffer(bytes),
          net::asio::redirect_error(net::asio::use_awaitable, failure));
      if (failure) break;
      co_await net::asio::async_write(
          *to, net::asio::buffer(bytes, read),
          net::asio::redirect_error(net::asio::use_awaitable, failure));
    }
    net::error_code ignored;
    from->close(ignored);
    to->close(ignored);
  }

  net::asio::io_context& context_;
  Tcp::endpoint server_;
  int cap_;
  int open_ = 0;
  int reset_ = 0;
};

}  // namespace basilspur::review

#endif  // BASILSPUR_REVIEW_STANDINS_2_CHANNEL_CAP_H_
