#ifndef BASILSPUR_NET_REQUEST_ARRIVAL_H_
#define BASILSPUR_NET_REQUEST_ARRIVAL_H_

#include "base/clock.h"
#include "net/asio.h"

namespace basilspur::net {

/// Time since the last data of the peer has arrived at this machine, whether it
/// was read since or not. 0 if it is not known.
/// Precondition: the socket is connected. Thread safety: as the socket.
Millis TimeSinceLastData(asio::ip::tcp::socket& socket);

/// Whether the peer has closed the connection, or its sending side of it, and
/// all that it sent was read.
/// Precondition: the socket is connected. Thread safety: as the socket.
bool IsClosedByPeer(asio::ip::tcp::socket& socket);

}  // namespace basilspur::net

#endif  // BASILSPUR_NET_REQUEST_ARRIVAL_H_
