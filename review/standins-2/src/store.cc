// Stand-in for the platform's store as a process of its own: the project's own
// stand-in of the keyed logs, behind one loopback address.
#include "standins/run_standin.h"
#include "standins/store_standin.h"

namespace net = basilspur::net;

int main(int argc, char** argv) {
  net::asio::io_context context(1);
  basilspur::standins::StoreStandin store;
  return basilspur::standins::RunStandin(
      {argv, static_cast<std::size_t>(argc)}, context,
      [&](net::HttpRequest request) {
        return store.HandleRequest(std::move(request));
      });
}
