#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <list>
#include <string>

#include "net/http_client.h"
#include "net/timer.h"

using namespace basilspur;  // NOLINT(google-build-using-namespace)
namespace asio = basilspur::net::asio;
using Tcp = asio::ip::tcp;

static constexpr char kResponse[] =
    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
static constexpr Millis kTimeout(600);
static constexpr int kMaxCalls = 2;
static constexpr int kCalls = 20;

/// Accepts connections, and answers on them only once it is told to.
class SlowPeer {
 public:
  explicit SlowPeer(asio::io_context& context)
      : context_(context),
        acceptor_(context,
                  Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)) {
    asio::co_spawn(context, Accept(), asio::detached);
  }

  std::string Address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

  int accepted = 0;
  bool answers = false;

 private:
  asio::awaitable<void> Accept() {
    for (;;) {
      Tcp::socket& socket = sockets_.emplace_back(
          co_await acceptor_.async_accept(asio::use_awaitable));
      ++accepted;
      asio::co_spawn(context_, Serve(socket), asio::detached);
    }
  }

  asio::awaitable<void> Serve(Tcp::socket& socket) {
    for (;;) {
      std::string text;
      co_await asio::async_read_until(socket, asio::dynamic_buffer(text),
                                      "\r\n\r\n", asio::use_awaitable);
      if (!answers) co_return;
      co_await asio::async_write(socket, asio::buffer(std::string(kResponse)),
                                 asio::use_awaitable);
    }
  }

  asio::io_context& context_;
  Tcp::acceptor acceptor_;
  std::list<Tcp::socket> sockets_;
};

/// A client with its peer, and what became of calls.
struct LimitedCalls {
  asio::awaitable<void> Call() {
    const Result<net::HttpResponse> result =
        co_await client.Call(peer.Address(), net::HttpRequest(), kTimeout);
    if (IsOk(result)) ++served;
    if (!IsOk(result) && ErrorOf(result).step == "limit") ++limited;
  }
  void Start(int calls) {
    for (int i = 0; i < calls; ++i)
      asio::co_spawn(context, Call(), asio::detached);
  }
  void RunFor(Millis duration) {
    context.restart();
    context.run_for(std::chrono::milliseconds(duration.count));
  }

  asio::io_context context;
  SlowPeer peer{context};
  net::HttpClient client{context, {kMaxCalls}};
  int served = 0;
  int limited = 0;
};

TEST_CASE("a peer that has not answered in time gets few calls at once") {
  // The calls of entries that doubt a slow owner keep it from answering any.
  LimitedCalls calls;
  calls.Start(1);
  calls.RunFor(kTimeout + Millis(100));
  REQUIRE(calls.peer.accepted == 1);
  calls.Start(kCalls);
  calls.RunFor(Millis(200));
  CHECK(calls.peer.accepted <= 1 + kMaxCalls);
  CHECK(calls.limited >= kCalls - kMaxCalls);
}

TEST_CASE("a peer that answers again gets all calls") {
  LimitedCalls calls;
  calls.Start(1);
  calls.RunFor(kTimeout + Millis(100));
  calls.peer.answers = true;
  calls.Start(1);
  calls.RunFor(Millis(100));
  REQUIRE(calls.served == 1);
  calls.Start(kCalls);
  calls.RunFor(Millis(300));
  CHECK(calls.limited == 0);
  CHECK(calls.served == 1 + kCalls);
}
