#include "standins/store_standin.h"

#include <algorithm>
#include <boost/beast/core/detail/base64.hpp>
#include <nlohmann/json.hpp>

#include "standins/query.h"

namespace basilspur::standins {

using Json = nlohmann::json;

static constexpr std::size_t kMaxItemsPerPage = 500;
static constexpr Millis kPollInterval(5);
/// Delay of a response that counts as lost: longer than any client's time-out.
static constexpr Millis kNoResponseDelay(10'000);

static net::HttpResponse MakeJsonResponse(unsigned status, const Json& body) {
  net::HttpResponse response;
  response.status = status;
  response.content_type = "application/json";
  response.body = body.dump();
  return response;
}

static std::uint64_t ConsumeBigEndian(std::string_view& in, std::size_t bytes) {
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < bytes; ++i) {
    value = value << 8 | static_cast<std::uint8_t>(in[i]);
  }
  in.remove_prefix(bytes);
  return value;
}

static void AppendBigEndian(std::string& out, std::uint64_t value, int bytes) {
  for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8) {
    out.push_back(static_cast<char>((value >> shift) & 0xff));
  }
}

void StoreStandin::Put(const std::string& topic, const std::string& key,
                       const std::string& value) {
  partitions_[{topic, 0}].records.push_back({key, value});
}

net::asio::awaitable<net::HttpResponse> StoreStandin::HandleRequest(
    net::HttpRequest request) {
  if (delay_ms > 0) co_await net::Sleep(Millis(delay_ms));
  if (unavailable) co_return MakeJsonResponse(503, Json::object());
  const Query query = ParseQuery(request.target);
  const std::string topic = query.TextParameter("topic");
  const int number = static_cast<int>(query.IntegerParameter("part", 0));
  Partition& partition = partitions_[{topic, number}];
  if (query.path == "/-/log-append") {
    ++appends;
    net::HttpResponse response =
        Append(partition, query.parameters, request.body);
    if (drop_append_responses) co_await net::Sleep(kNoResponseDelay);
    co_return response;
  }
  if (query.path == "/-/log-read") {
    co_return co_await Read(topic, number, query.parameters);
  }
  if (query.path == "/-/log-newest") {
    // Despite its name the parameter `deps` is the key that the page starts
    // after.
    co_return ReadNewest(partition, query.TextParameter("deps"));
  }
  co_return MakeJsonResponse(404, Json::object());
}

net::HttpResponse StoreStandin::Append(Partition& partition,
                                       const Parameters& parameters,
                                       const std::string& body) {
  const auto number = [&](const char* name) {
    return std::stoll(parameters.at(name));
  };
  const auto end = static_cast<std::int64_t>(partition.records.size());
  if (parameters.contains("at") && number("at") != end) {
    return MakeJsonResponse(412, {{"end", end}});
  }
  ProducerState* producer = nullptr;
  if (parameters.contains("producer")) {
    producer = &partition.producers[parameters.at("producer")];
    const std::int64_t epoch = number("epoch");
    const std::int64_t sequence = number("seq");
    if (epoch < producer->epoch) {
      return MakeJsonResponse(409, {{"reason", "fenced"}});
    }
    if (epoch > producer->epoch) {
      *producer = {epoch, sequence, {}};
    }
    const auto previous_response = producer->responses.find(sequence);
    if (!body.empty() && previous_response != producer->responses.end()) {
      return MakeJsonResponse(200, Json::parse(previous_response->second));
    }
    if (!body.empty() && sequence != producer->next_sequence) {
      return MakeJsonResponse(
          409, {{"reason", "seq"}, {"seq", producer->next_sequence}});
    }
  }
  std::string_view remaining = body;
  while (!remaining.empty()) {
    const std::size_t length = ConsumeBigEndian(remaining, 4);
    std::string_view content = remaining.substr(0, length);
    remaining.remove_prefix(length);
    const std::size_t key = ConsumeBigEndian(content, 1);
    partition.records.push_back({std::string(content.substr(0, key)),
                                 std::string(content.substr(key))});
  }
  const Json answer = {{"offset", end}, {"end", partition.records.size()}};
  if (producer && !body.empty()) {
    producer->responses[producer->next_sequence++] = answer.dump();
  }
  return MakeJsonResponse(200, answer);
}

net::asio::awaitable<net::HttpResponse> StoreStandin::Read(
    std::string topic, int number, Parameters parameters) {
  const auto from =
      static_cast<std::size_t>(std::stoull(parameters.at("from")));
  std::int64_t wait_ms = std::stoll(parameters.at("wait_ms"));
  if (history_expired) {
    const std::size_t end = partitions_[{topic, number}].records.size();
    if (from < end) co_return MakeJsonResponse(410, {{"first", end}});
  }
  while (partitions_[{topic, number}].records.size() <= from && wait_ms > 0) {
    if (unavailable) co_return MakeJsonResponse(503, Json::object());
    co_await net::Sleep(kPollInterval);
    wait_ms -= kPollInterval.count;
  }
  const Partition& partition = partitions_[{topic, number}];
  net::HttpResponse response;
  AppendBigEndian(response.body, partition.records.size(), 8);
  AppendBigEndian(response.body, 0, 8);
  for (std::size_t at = from; at < partition.records.size(); ++at) {
    const Record& record = partition.records[at];
    AppendBigEndian(response.body, 1 + record.key.size() + record.value.size(),
                    4);
    AppendBigEndian(response.body, record.key.size(), 1);
    response.body += record.key + record.value;
  }
  co_return response;
}

static std::string EncodeBase64(const std::string& text) {
  namespace base64 = boost::beast::detail::base64;
  std::string encoded(base64::encoded_size(text.size()), '\0');
  encoded.resize(base64::encode(encoded.data(), text.data(), text.size()));
  return encoded;
}

net::HttpResponse StoreStandin::ReadNewest(const Partition& partition,
                                           const std::string& last_key) {
  std::map<std::string, std::size_t> newest;
  for (std::size_t at = 0; at < partition.records.size(); ++at) {
    newest[partition.records[at].key] = at;
  }
  std::erase_if(newest, [&](const auto& item) {
    return partition.records[item.second].value.empty();
  });
  Json items = Json::array();
  auto at = newest.upper_bound(last_key);
  if (last_key.empty()) at = newest.begin();
  for (; at != newest.end() && items.size() < kMaxItemsPerPage; ++at) {
    items.push_back(
        {{"key", at->first},
         {"value", EncodeBase64(partition.records[at->second].value)},
         {"offset", at->second}});
  }
  return MakeJsonResponse(200, {{"items", items},
                                {"more", at != newest.end()},
                                {"end", partition.records.size()}});
}

}  // namespace basilspur::standins
