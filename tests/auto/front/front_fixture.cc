#include "auto/front/front_fixture.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <stdexcept>

#include "fakes/free_address.h"
#include "net/address.h"
#include "net/asio.h"

namespace basilspur::front_test {

namespace asio = net::asio;

FrontFixture::FrontFixture(const std::vector<std::string>& targets,
                           Millis header_timeout)
    : gate_(
          clock_,
          {[](const std::string&, const link::Message&) { return false; },
           [](Millis) { return resend::PeersToQuery{}; }, [] { return true; }}),
      address_(fakes::FreeAddress()),
      front_(Options(header_timeout), clock_, gate_, metrics_,
             [](const std::string&, const link::Message&) { return false; }) {
  if (!IsOk(front_.Start())) throw std::runtime_error("front did not start");
  auto routes = std::make_shared<front::RouteTable>();
  front::ServiceRoute& route = routes->services["s"];
  route.timeout = Millis(3'000);
  route.queue_limit = 10;
  for (const auto& target : targets) {
    route.shares.push_back({target, "dc", 8, false});
  }
  front_.SetRoutes(routes);
}

front::FrontOptions FrontFixture::Options(Millis header_timeout) {
  front::FrontOptions options;
  options.address = address_;
  options.request_id_prefix = "test-";
  options.max_header_bytes = 8 * 1024;
  options.max_body_bytes = 1 << 20;
  options.header_timeout = header_timeout;
  options.body_idle_timeout = header_timeout;
  options.max_connections = 100;
  options.seed = 1;
  return options;
}

std::string FrontFixture::SendRaw(const std::string& bytes,
                                  bool half_close) const {
  asio::io_context context;
  asio::ip::tcp::socket socket(context);
  const net::Address address = std::get<0>(net::ParseAddress(address_));
  socket.connect({asio::ip::make_address(address.ip), address.port});
  net::error_code ignored;
  asio::write(socket, asio::buffer(bytes), ignored);
  if (half_close) {
    socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  }
  std::string response;
  asio::read(socket, asio::dynamic_buffer(response), ignored);
  return response;
}

}  // namespace basilspur::front_test
