#include "net/address.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace basilspur::net {

static Error Malformed(std::string_view text) {
  return {ErrorCode::kInvalid, "parse address", std::string(text),
          "expected an IP number and a port, such as 127.0.0.1:8080"};
}

std::string Address::ToString() const {
  const bool is_v6 = ip.find(':') != std::string::npos;
  const std::string host = is_v6 ? "[" + ip + "]" : ip;
  return host + ":" + std::to_string(port);
}

Result<Address> ParseAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return Malformed(text);
  std::string_view host = text.substr(0, colon);
  const std::string_view digits = text.substr(colon + 1);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  Address address;
  const auto [end, parse_error] = std::from_chars(
      digits.data(), digits.data() + digits.size(), address.port);
  const bool all_digits = end == digits.data() + digits.size();
  if (parse_error != std::errc() || !all_digits) return Malformed(text);
  boost::system::error_code ip_error;
  boost::asio::ip::make_address(std::string(host), ip_error);
  if (ip_error) return Malformed(text);
  address.ip = std::string(host);
  return address;
}

}  // namespace basilspur::net
