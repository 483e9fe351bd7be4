#ifndef BASILSPUR_TESTS_STANDINS_RUN_STANDIN_H_
#define BASILSPUR_TESTS_STANDINS_RUN_STANDIN_H_

#include <span>

#include "net/http_server.h"

namespace basilspur::standins {

/// The common main() of the stand-ins: listens on the address given on the
/// command line, prints the port, and serves until the process is killed.
/// Returns the exit code if the command line is invalid or listening fails.
int RunStandin(std::span<char*> arguments, net::asio::io_context& context,
               net::HttpHandler handler);

}  // namespace basilspur::standins

#endif  // BASILSPUR_TESTS_STANDINS_RUN_STANDIN_H_
