#ifndef BASILSPUR_NET_HTTP_HEADERS_H_
#define BASILSPUR_NET_HTTP_HEADERS_H_

#include <algorithm>
#include <map>
#include <string>
#include <string_view>

namespace basilspur::net {

/// Orders the names of HTTP headers, which are the same in either case. Other
/// bytes than ASCII letters are compared as they are, whatever the locale.
struct HeaderNameLess {
  using is_transparent = void;

  bool operator()(std::string_view a, std::string_view b) const {
    return std::lexicographical_compare(
        a.begin(), a.end(), b.begin(), b.end(),
        [](char x, char y) { return ToLower(x) < ToLower(y); });
  }

 private:
  static char ToLower(char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
  }
};

/// Values of headers by name.
using HttpHeaders = std::map<std::string, std::string, HeaderNameLess>;

}  // namespace basilspur::net

#endif  // BASILSPUR_NET_HTTP_HEADERS_H_
