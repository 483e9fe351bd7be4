#ifndef BASILSPUR_TESTS_STANDINS_STORE_STANDIN_H_
#define BASILSPUR_TESTS_STANDINS_STORE_STANDIN_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "net/http_message.h"
#include "net/http_server.h"

namespace basilspur::standins {

/// Stands in for the users' store of keyed logs: appends with conditions and
/// producer epochs, reads that wait, the newest of each key.
///
/// Thread safety: Answer, Put and Drop only on its io_context's thread; the
/// switches from any.
class StoreStandin {
 public:
  net::asio::awaitable<net::HttpResponse> Answer(net::HttpRequest request);

  /// Appends a record as the platform itself does; empty drops the key.
  void Put(const std::string& topic, const std::string& key,
           const std::string& value);

  std::atomic<bool> down = false;          ///< Refuses all calls with 503.
  std::atomic<bool> lose_answers = false;  ///< Does appends, answers none.
  std::atomic<bool> forget = false;        ///< Reads find no history.
  std::atomic<int> appends = 0;

 private:
  struct Record {
    std::string key;
    std::string value;
  };
  struct ProducerState {
    std::int64_t epoch = -1;
    std::int64_t next_sequence = 0;
    std::map<std::int64_t, std::string> answers;  ///< By sequence number.
  };
  struct Part {
    std::vector<Record> records;
    std::map<std::string, ProducerState> producers;
  };
  using Parameters = std::map<std::string, std::string>;

  net::HttpResponse Append(Part& part, const Parameters& parameters,
                           const std::string& body);
  net::asio::awaitable<net::HttpResponse> Read(std::string topic, int number,
                                               Parameters parameters);
  static net::HttpResponse Newest(const Part& part, const std::string& after);

  std::map<std::pair<std::string, int>, Part> parts_;
};

}  // namespace basilspur::standins

#endif  // BASILSPUR_TESTS_STANDINS_STORE_STANDIN_H_
