#include <catch2/catch.hpp>
#include <iostream>
#include <string>

#include "auto/front/front_fixture.h"
#include "auto/front/raw_target.h"
#include "base/random.h"

using basilspur::Millis;
using basilspur::Random;
using basilspur::front_test::FrontFixture;
using basilspur::front_test::RawTarget;

static const char kGet[] =
    "GET / HTTP/1.1\r\nHost: s\r\nConnection: close\r\n\r\n";
static const char kPost[] =
    "POST / HTTP/1.1\r\nHost: s\r\nConnection: close\r\n"
    "Content-Length: 2\r\n\r\nhi";
static const char kCompleteResponse[] =
    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine";

static bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

static RawTarget::Response CompleteResponse() { return {kCompleteResponse}; }

TEST_CASE("a complete response is relayed") {
  RawTarget target([](int) { return CompleteResponse(); });
  FrontFixture front({target.Address()});
  const std::string response = front.SendRaw(kGet);
  CHECK(Contains(response, "200 OK"));
  CHECK(Contains(response, "fine"));
}

TEST_CASE(
    "a response shorter than declared is an error, not a truncated success") {
  RawTarget target([](int) {
    return RawTarget::Response{
        "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\nfine", true};
  });
  FrontFixture front({target.Address()});
  const std::string response = front.SendRaw(kPost);
  CHECK(Contains(response, "502"));
  CHECK(Contains(response, "may-have-run"));
  CHECK(target.RequestCount() == 1);
}

TEST_CASE("a response longer than declared is an error") {
  RawTarget target([](int) {
    return RawTarget::Response{
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine and more"};
  });
  FrontFixture front({target.Address()});
  CHECK(Contains(front.SendRaw(kPost), "502"));
}

TEST_CASE("a surplus response is never relayed to the next request") {
  RawTarget target([](int request) {
    const std::string body = "answer-" + std::to_string(request);
    const std::string single_response =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
        "\r\n\r\n" + body;
    // The first request is answered twice.
    return RawTarget::Response{request == 1 ? single_response + single_response
                                            : single_response};
  });
  FrontFixture front({target.Address()});
  front.SendRaw(kPost);
  for (int i = 2; i < 6; ++i) {
    const std::string response = front.SendRaw(kPost);
    if (Contains(response, "200 OK")) CHECK(!Contains(response, "answer-1"));
  }
}

TEST_CASE("a streamed response that breaks off is not ended as if complete") {
  RawTarget target([](int) {
    return RawTarget::Response{
        "HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n" +
            std::string(100'000, 'x'),
        true};
  });
  FrontFixture front({target.Address()});
  const std::string response = front.SendRaw(kGet);
  // The declared length shows the caller that the rest is missing.
  if (Contains(response, "200 OK")) CHECK(response.size() < 300'000);
}

TEST_CASE("an idempotent request is retried after the connection breaks") {
  RawTarget closing_target([](int) { return RawTarget::Response{"", true}; });
  RawTarget good_target([](int) { return CompleteResponse(); });
  FrontFixture front({closing_target.Address(), good_target.Address()});
  for (int i = 0; i < 4; ++i) CHECK(Contains(front.SendRaw(kGet), "200 OK"));
}

TEST_CASE(
    "a non-idempotent request is not retried after the connection breaks") {
  RawTarget closing_target([](int) { return RawTarget::Response{"", true}; });
  FrontFixture front({closing_target.Address()});
  const std::string response = front.SendRaw(kPost);
  CHECK(Contains(response, "502"));
  CHECK(Contains(response, "may-have-run"));
  CHECK(closing_target.RequestCount() == 1);
}

TEST_CASE("a request that the target refuses is reported as not run") {
  RawTarget refusing_target([](int) {
    return RawTarget::Response{
        "HTTP/1.1 503 Busy\r\nBasilspur-Outcome: not-run\r\n"
        "Content-Length: 0\r\n\r\n"};
  });
  FrontFixture front({refusing_target.Address()});
  const std::string response = front.SendRaw(kPost);
  CHECK(Contains(response, "503"));
  CHECK(Contains(response, "Basilspur-Outcome: not-run"));
  CHECK(Contains(response, "Retry-After"));
}

TEST_CASE("a request whose target is unreachable is reported as not run") {
  FrontFixture front({"127.0.0.1:1"});
  const std::string response = front.SendRaw(kPost);
  CHECK(Contains(response, "503"));
  CHECK(Contains(response, "not-run"));
}

TEST_CASE(
    "a target that does not respond causes a time-out with an unknown "
    "outcome") {
  RawTarget unresponsive_target([](int) {
    return RawTarget::Response{"", false, true};
  });
  FrontFixture front({unresponsive_target.Address()});
  const std::string response = front.SendRaw(
      "POST / HTTP/1.1\r\nHost: s\r\nBasilspur-Timeout-Ms: 200\r\n"
      "Connection: close\r\nContent-Length: 0\r\n\r\n");
  CHECK(Contains(response, "504"));
  CHECK(Contains(response, "may-have-run"));
}

TEST_CASE("ambiguous and malformed requests are rejected as not run") {
  RawTarget target([](int) { return CompleteResponse(); });
  FrontFixture front({target.Address()}, Millis(300));
  const std::string long_header(10'000, 'a');
  const std::string malformed_requests[] = {
      "POST / HTTP/1.1\r\nHost: s\r\nContent-Length: 2\r\n"
      "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
      "POST / HTTP/1.1\r\nHost: s\r\nContent-Length: 2\r\n"
      "Content-Length: 3\r\n\r\nhi!",
      "POST / HTTP/1.1\r\nHost: s\r\nContent-Length: -1\r\n\r\n",
      "GET / HTTP/1.1\r\nHost: s\r\nHost: t\r\n\r\n",
      "GET / HTTP/1.1\r\n\r\n",
      "GET / HTTP/9.9\r\nHost: s\r\n\r\n",
      "GET / HTTP/1.1\r\nHost: s\r\nPriority: u=9\r\n\r\n",
      "GET / HTTP/1.1\r\nHost: s\r\nBasilspur-Timeout-Ms: soon\r\n\r\n",
      "GET / HTTP/1.1\r\nHost: s\r\nX: " + long_header + "\r\n\r\n",
      "POST / HTTP/1.1\r\nHost: s\r\nContent-Length: 99999999\r\n\r\n",
      "GET / HTTP/1.1\r\nHost: nobody\r\n\r\n",
  };
  for (const auto& bytes : malformed_requests) {
    const std::string response = front.SendRaw(bytes, /*half_close=*/true);
    INFO(bytes.substr(0, 120));
    CHECK(Contains(response, "HTTP/1.1 4"));
    CHECK(Contains(response, "not-run"));
  }
  CHECK(target.RequestCount() == 0);
}

TEST_CASE("a caller that sends its header too slowly is timed out") {
  RawTarget target([](int) { return CompleteResponse(); });
  FrontFixture front({target.Address()}, Millis(200));
  const std::string response =
      front.SendRaw("GET / HTTP/1.1\r\nHos", /*half_close=*/false);
  CHECK(Contains(response, "408"));
  CHECK(target.RequestCount() == 0);
}

TEST_CASE("malformed requests do not crash the front") {
  constexpr std::uint64_t kSeed = 20'261;
  std::cout << "malformed requests: seed " << kSeed << "\n";
  Random random(kSeed);
  RawTarget target([](int) { return CompleteResponse(); });
  FrontFixture front({target.Address()}, Millis(200));
  for (int i = 0; i < 300; ++i) {
    std::string bytes = kPost;
    const std::uint64_t changes = 1 + random.Below(6);
    for (std::uint64_t j = 0; j < changes; ++j) {
      const std::size_t position = random.Below(bytes.size());
      switch (random.Below(3)) {
        case 0:
          bytes[position] = static_cast<char>(random.Below(256));
          break;
        case 1:
          bytes.erase(position, 1 + random.Below(8));
          break;
        default:
          bytes.insert(position, 1 + random.Below(8),
                       static_cast<char>(random.Below(256)));
          break;
      }
      if (bytes.empty()) bytes = "x";
    }
    front.SendRaw(bytes);
  }
  CHECK(Contains(front.SendRaw(kGet), "200 OK"));
}

TEST_CASE("malformed responses of a target do not crash the front") {
  constexpr std::uint64_t kSeed = 20'262;
  std::cout << "malformed responses: seed " << kSeed << "\n";
  Random random(kSeed);
  RawTarget target([&random](int) {
    std::string bytes = kCompleteResponse;
    const std::size_t position = random.Below(bytes.size());
    bytes[position] = static_cast<char>(random.Below(256));
    return RawTarget::Response{bytes, random.Chance(0.5)};
  });
  FrontFixture front({target.Address()});
  for (int i = 0; i < 100; ++i) {
    front.SendRaw(
        "POST / HTTP/1.1\r\nHost: s\r\nBasilspur-Timeout-Ms: 50\r\n"
        "Connection: close\r\nContent-Length: 0\r\n\r\n");
  }
  SUCCEED();
}
