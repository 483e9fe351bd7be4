#include "net/http_shutdown.h"

#include "net/server_socket.h"

namespace basilspur::net {

bool HttpShutdown::CloseIdle() {
  for (ServerSocket* socket : sockets_) socket->CloseIfIdle();
  return sockets_.empty();
}

ServerSocket::ServerSocket(HttpShutdown* shutdown) : shutdown_(shutdown) {
  if (shutdown_) shutdown_->Add(*this);
}

ServerSocket::~ServerSocket() {
  if (shutdown_) shutdown_->Remove(*this);
}

}  // namespace basilspur::net
