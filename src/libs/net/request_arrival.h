#ifndef BASILSPUR_NET_REQUEST_ARRIVAL_H_
#define BASILSPUR_NET_REQUEST_ARRIVAL_H_

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>

#include "base/clock.h"
#include "net/asio.h"

namespace basilspur::net {

/// Time since the last data of the peer has arrived at this machine, whether it
/// was read since or not. 0 if it is not known.
/// Precondition: the socket is connected. Thread safety: as the socket.
inline Millis TimeSinceLastData(asio::ip::tcp::socket& socket) {
  tcp_info info = {};
  socklen_t size = sizeof info;
  const int failure =
      getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size);
  return failure ? Millis(0) : Millis(info.tcpi_last_data_recv);
}

/// Whether the peer has closed the connection, or its sending side of it, and
/// all that it sent was read.
/// Precondition: the socket is connected. Thread safety: as the socket.
inline bool IsClosedByPeer(asio::ip::tcp::socket& socket) {
  char byte = 0;
  const auto received =
      recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (received >= 0) return received == 0;
  return errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR;
}

}  // namespace basilspur::net

#endif  // BASILSPUR_NET_REQUEST_ARRIVAL_H_
