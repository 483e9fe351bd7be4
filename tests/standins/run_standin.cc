#include "standins/run_standin.h"

#include <iostream>
#include <utility>

namespace basilspur::standins {

int RunStandin(std::span<char*> arguments, net::asio::io_context& context,
               net::HttpHandler handler) {
  if (arguments.size() != 2) {
    std::cerr << "usage: " << arguments[0] << " ADDRESS\n";
    return 2;
  }
  const auto port = net::ServeHttp(context, arguments[1], std::move(handler));
  if (!IsOk(port)) {
    std::cerr << ErrorOf(port).ToString() << "\n";
    return 3;
  }
  std::cout << ValueOf(port) << std::endl;
  context.run();
  return 0;
}

}  // namespace basilspur::standins
