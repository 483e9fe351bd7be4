#include "net/request_arrival.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>

namespace basilspur::net {

Millis TimeSinceLastData(asio::ip::tcp::socket& socket) {
  tcp_info info = {};
  socklen_t size = sizeof info;
  const int failure =
      getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size);
  return failure ? Millis(0) : Millis(info.tcpi_last_data_recv);
}

bool IsClosedByPeer(asio::ip::tcp::socket& socket) {
  char byte = 0;
  const auto received =
      recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (received >= 0) return received == 0;
  return errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR;
}

}  // namespace basilspur::net
