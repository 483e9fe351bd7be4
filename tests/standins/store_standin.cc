#include "standins/store_standin.h"

#include <algorithm>
#include <boost/beast/core/detail/base64.hpp>
#include <nlohmann/json.hpp>

#include "standins/query.h"

namespace basilspur::standins {

using Json = nlohmann::json;

static constexpr std::size_t kPageItems = 500;
static constexpr Millis kLookAgain(5);
/// Longer than any caller waits for an answer.
static constexpr Millis kNever(10'000);

static net::HttpResponse MakeJson(unsigned status, const Json& body) {
  net::HttpResponse response;
  response.status = status;
  response.content_type = "application/json";
  response.body = body.dump();
  return response;
}

static std::uint64_t TakeNumber(std::string_view& in, std::size_t bytes) {
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < bytes; ++i) {
    value = value << 8 | static_cast<std::uint8_t>(in[i]);
  }
  in.remove_prefix(bytes);
  return value;
}

static void PutNumber(std::string& out, std::uint64_t value, int bytes) {
  for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8) {
    out.push_back(static_cast<char>((value >> shift) & 0xff));
  }
}

void StoreStandin::Put(const std::string& topic, const std::string& key,
                       const std::string& value) {
  parts_[{topic, 0}].records.push_back({key, value});
}

net::asio::awaitable<net::HttpResponse> StoreStandin::Answer(
    net::HttpRequest request) {
  if (down) co_return MakeJson(503, Json::object());
  const Query query = ParseQuery(request.target);
  const std::string topic = query.TextParameter("topic");
  const int number = static_cast<int>(query.IntegerParameter("part", 0));
  Part& part = parts_[{topic, number}];
  if (query.path == "/-/log-append") {
    ++appends;
    net::HttpResponse response = Append(part, query.parameters, request.body);
    if (lose_answers) co_await net::Sleep(kNever);
    co_return response;
  }
  if (query.path == "/-/log-read") {
    co_return co_await Read(topic, number, query.parameters);
  }
  if (query.path == "/-/log-newest") {
    co_return Newest(part, query.TextParameter("deps"));
  }
  co_return MakeJson(404, Json::object());
}

net::HttpResponse StoreStandin::Append(Part& part, const Parameters& parameters,
                                       const std::string& body) {
  const auto number = [&](const char* name) {
    return std::stoll(parameters.at(name));
  };
  const auto end = static_cast<std::int64_t>(part.records.size());
  if (parameters.contains("at") && number("at") != end) {
    return MakeJson(412, {{"end", end}});
  }
  ProducerState* producer = nullptr;
  if (parameters.contains("producer")) {
    producer = &part.producers[parameters.at("producer")];
    const std::int64_t epoch = number("epoch");
    const std::int64_t sequence = number("seq");
    if (epoch < producer->epoch) {
      return MakeJson(409, {{"reason", "fenced"}});
    }
    if (epoch > producer->epoch) {
      *producer = {epoch, sequence, {}};
    }
    const auto answered = producer->answers.find(sequence);
    if (!body.empty() && answered != producer->answers.end()) {
      return MakeJson(200, Json::parse(answered->second));
    }
    if (!body.empty() && sequence != producer->next_sequence) {
      return MakeJson(409,
                      {{"reason", "seq"}, {"seq", producer->next_sequence}});
    }
  }
  std::string_view rest = body;
  while (!rest.empty()) {
    const std::size_t length = TakeNumber(rest, 4);
    std::string_view content = rest.substr(0, length);
    rest.remove_prefix(length);
    const std::size_t key = TakeNumber(content, 1);
    part.records.push_back({std::string(content.substr(0, key)),
                            std::string(content.substr(key))});
  }
  const Json answer = {{"offset", end}, {"end", part.records.size()}};
  if (producer && !body.empty()) {
    producer->answers[producer->next_sequence++] = answer.dump();
  }
  return MakeJson(200, answer);
}

net::asio::awaitable<net::HttpResponse> StoreStandin::Read(
    std::string topic, int number, Parameters parameters) {
  const auto from =
      static_cast<std::size_t>(std::stoull(parameters.at("from")));
  std::int64_t wait_ms = std::stoll(parameters.at("wait_ms"));
  if (forget) {
    const std::size_t end = parts_[{topic, number}].records.size();
    if (from < end) co_return MakeJson(410, {{"first", end}});
  }
  while (parts_[{topic, number}].records.size() <= from && wait_ms > 0) {
    if (down) co_return MakeJson(503, Json::object());
    co_await net::Sleep(kLookAgain);
    wait_ms -= kLookAgain.count;
  }
  const Part& part = parts_[{topic, number}];
  net::HttpResponse response;
  PutNumber(response.body, part.records.size(), 8);
  PutNumber(response.body, 0, 8);
  for (std::size_t at = from; at < part.records.size(); ++at) {
    const Record& record = part.records[at];
    PutNumber(response.body, 1 + record.key.size() + record.value.size(), 4);
    PutNumber(response.body, record.key.size(), 1);
    response.body += record.key + record.value;
  }
  co_return response;
}

static std::string ToBase64(const std::string& text) {
  namespace base64 = boost::beast::detail::base64;
  std::string encoded(base64::encoded_size(text.size()), '\0');
  encoded.resize(base64::encode(encoded.data(), text.data(), text.size()));
  return encoded;
}

net::HttpResponse StoreStandin::Newest(const Part& part,
                                       const std::string& after) {
  std::map<std::string, std::size_t> newest;
  for (std::size_t at = 0; at < part.records.size(); ++at) {
    newest[part.records[at].key] = at;
  }
  std::erase_if(newest, [&](const auto& item) {
    return part.records[item.second].value.empty();
  });
  Json items = Json::array();
  auto at = newest.upper_bound(after);
  if (after.empty()) at = newest.begin();
  for (; at != newest.end() && items.size() < kPageItems; ++at) {
    items.push_back({{"key", at->first},
                     {"value", ToBase64(part.records[at->second].value)},
                     {"offset", at->second}});
  }
  return MakeJson(200, {{"items", items},
                        {"more", at != newest.end()},
                        {"end", part.records.size()}});
}

}  // namespace basilspur::standins
