#ifndef BASILSPUR_TESTS_SYSTEM_CLIENT_CROWD_H_
#define BASILSPUR_TESTS_SYSTEM_CLIENT_CROWD_H_

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "net/asio.h"

namespace basilspur::system_test {

/// What each client of a crowd sends.
struct CrowdInput {
  std::string head;
  std::string filler;     ///< Sent again and again after the head.
  std::size_t bytes = 0;  ///< Of fillers, at least; 0: the head only.
};

/// Clients that all send the same, read nothing, and keep their connections
/// open until the object ends.
///
/// Thread safety: one thread at a time.
class ClientCrowd {
 public:
  /// Connects and sends. Returns once each client has sent everything or lost
  /// its connection, or after some time if the other side reads no more.
  ClientCrowd(const std::string& address, int clients, CrowdInput input);

  /// Number of bytes that the other side has taken.
  std::size_t SentBytes() const { return sent_bytes_; }

 private:
  net::asio::awaitable<void> Send(net::asio::ip::tcp::socket& socket,
                                  net::asio::ip::tcp::endpoint endpoint);

  CrowdInput input_;
  std::size_t sent_bytes_ = 0;
  net::asio::io_context context_;
  std::vector<std::unique_ptr<net::asio::ip::tcp::socket>> sockets_;
};

}  // namespace basilspur::system_test

#endif  // BASILSPUR_TESTS_SYSTEM_CLIENT_CROWD_H_
