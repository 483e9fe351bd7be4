#include "client.h"

#include <chrono>
#include <utility>

namespace basilspur::cli {

Client::Client(std::vector<std::string> addresses, std::int64_t timeout_ms)
    : addresses_(std::move(addresses)), timeout_ms_(timeout_ms) {}

grpc::Status Client::Call(
    const std::function<grpc::Status(Stub&, grpc::ClientContext&)>& call) {
  grpc::Status status(grpc::StatusCode::UNAVAILABLE,
                      "no entry address given: expected --entry IP:PORT");
  for (const auto& address : addresses_) {
    const auto channel =
        grpc::CreateChannel(address, grpc::InsecureChannelCredentials());
    const auto deadline = std::chrono::system_clock::now() +
                          std::chrono::milliseconds(timeout_ms_);
    if (!channel->WaitForConnected(
            std::chrono::system_clock::now() +
            std::chrono::milliseconds(
                timeout_ms_ /
                static_cast<std::int64_t>(addresses_.size() + 1)))) {
      status = {
          grpc::StatusCode::UNAVAILABLE,
          "entry " + address +
              " is unreachable: no connection within the connect time-out"};
      continue;
    }
    const auto stub = v1::Operator::NewStub(channel);
    grpc::ClientContext context;
    context.set_deadline(deadline);
    status = call(*stub, context);
    if (status.error_code() != grpc::StatusCode::UNAVAILABLE) return status;
  }
  return status;
}

}  // namespace basilspur::cli
