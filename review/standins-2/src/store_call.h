#ifndef BASILSPUR_REVIEW_STANDINS_2_STORE_CALL_H_
#define BASILSPUR_REVIEW_STANDINS_2_STORE_CALL_H_

#include <string>

#include "net/http_message.h"

namespace basilspur::review {

/// The call that appends one record to partition 0 of a keyed topic. An empty
/// value deletes the key.
inline net::HttpRequest MakeAppend(const std::string& topic,
                                   const std::string& key,
                                   const std::string& value) {
  net::HttpRequest request;
  request.method = "POST";
  request.target = "/-/log-append?topic=" + topic + "&part=0";
  const std::size_t length = 1 + key.size() + value.size();
  for (int shift = 24; shift >= 0; shift -= 8)
    request.body.push_back(static_cast<char>((length >> shift) & 0xff));
  request.body.push_back(static_cast<char>(key.size()));
  request.body += key + value;
  return request;
}

}  // namespace basilspur::review

#endif  // BASILSPUR_REVIEW_STANDINS_2_STORE_CALL_H_
