#ifndef BASILSPUR_TESTS_SYSTEM_CALLER_CONNECTION_H_
#define BASILSPUR_TESTS_SYSTEM_CALLER_CONNECTION_H_

#include <optional>
#include <string>

#include "base/clock.h"
#include "net/asio.h"

namespace basilspur::system_test {

/// A caller's connection to an entry that stays open between requests, as long
/// as the entry keeps it. Unlike an HttpClient it sends nothing twice.
///
/// Thread safety: one thread at a time.
class CallerConnection {
 public:
  /// Throws if the connection can't be established.
  explicit CallerConnection(const std::string& address);

  /// Returns the HTTP status; 0 if the connection ends without a whole
  /// response, or if there is none 1 s after `limit`. The entry is told to
  /// answer within `limit`. Precondition: the last call returned a status.
  unsigned Call(const std::string& method, const std::string& path,
                const std::string& body = "", Millis limit = Millis(3'000));
  /// Whether the last response has announced that the entry closes the
  /// connection.
  bool IsClosing() const { return closing_; }
  /// How long after the last byte of the last request the connection ended;
  /// nothing if it has not ended.
  std::optional<Millis> EndedAfter() const { return ended_after_; }

 private:
  net::asio::io_context context_;
  net::asio::ip::tcp::socket socket_;
  SystemClock clock_;
  bool closing_ = false;
  std::optional<Millis> ended_after_;
};

}  // namespace basilspur::system_test

#endif  // BASILSPUR_TESTS_SYSTEM_CALLER_CONNECTION_H_
