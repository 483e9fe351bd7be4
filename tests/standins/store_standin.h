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

/// In-memory stand-in for the platform's store of keyed logs: conditional
/// appends, appends fenced by producer epochs, long-poll reads, and reads of
/// the newest record of each key.
///
/// Thread safety: HandleRequest and Put only on the thread of its io_context;
/// the atomic members on any thread.
class StoreStandin {
 public:
  net::asio::awaitable<net::HttpResponse> HandleRequest(
      net::HttpRequest request);

  /// Appends a record to partition 0 without a condition, as the platform
  /// itself does. An empty value deletes the key.
  void Put(const std::string& topic, const std::string& key,
           const std::string& value);

  /// Answers all requests with status 503.
  std::atomic<bool> unavailable = false;
  /// Delay of each call, in ms.
  std::atomic<int> delay_ms = 0;
  /// Appends records, but responds only after the client has timed out.
  std::atomic<bool> drop_append_responses = false;
  /// Answers reads of existing records with status 410, as if expired; reads of
  /// the newest records still succeed.
  std::atomic<bool> history_expired = false;
  /// Append requests received.
  std::atomic<int> appends = 0;

 private:
  struct Record {
    std::string key;
    std::string value;
  };
  struct ProducerState {
    std::int64_t epoch = -1;
    std::int64_t next_sequence = 0;
    std::map<std::int64_t, std::string> responses;  ///< By sequence number.
  };
  struct Partition {
    std::vector<Record> records;
    std::map<std::string, ProducerState> producers;
  };
  using Parameters = std::map<std::string, std::string>;

  net::HttpResponse Append(Partition& partition, const Parameters& parameters,
                           const std::string& body);
  net::asio::awaitable<net::HttpResponse> Read(std::string topic, int number,
                                               Parameters parameters);
  static net::HttpResponse ReadNewest(const Partition& partition,
                                      const std::string& last_key);

  std::map<std::pair<std::string, int>, Partition> partitions_;
};

}  // namespace basilspur::standins

#endif  // BASILSPUR_TESTS_STANDINS_STORE_STANDIN_H_
