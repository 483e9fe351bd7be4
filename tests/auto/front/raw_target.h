#ifndef BASILSPUR_TESTS_AUTO_FRONT_RAW_TARGET_H_
#define BASILSPUR_TESTS_AUTO_FRONT_RAW_TARGET_H_

#include <atomic>
#include <functional>
#include <string>
#include <thread>

#include "net/asio.h"

namespace basilspur::front_test {

/// A target that answers each request with bytes that a test chooses, which may
/// be malformed. It reads each request up to the end of its header.
class RawTarget {
 public:
  /// The reaction to one request.
  struct Response {
    std::string bytes;
    /// Closes the connection after the bytes were sent.
    bool close = false;
    /// Sends nothing, and leaves the connection open.
    bool no_response = false;
  };

  explicit RawTarget(std::function<Response(int request)> make_response);
  ~RawTarget();

  RawTarget(const RawTarget&) = delete;
  RawTarget& operator=(const RawTarget&) = delete;

  const std::string& Address() const { return address_; }
  /// Number of requests whose header has arrived.
  int RequestCount() const { return requests_; }

 private:
  net::asio::awaitable<void> Accept();
  net::asio::awaitable<void> Serve(net::asio::ip::tcp::socket socket);

  std::function<Response(int request)> make_response_;
  std::atomic<int> requests_{0};
  net::asio::io_context context_{1};
  net::asio::ip::tcp::acceptor acceptor_;
  std::string address_;
  std::thread thread_;
};

}  // namespace basilspur::front_test

#endif  // BASILSPUR_TESTS_AUTO_FRONT_RAW_TARGET_H_
