#include "front/caller_request.h"

#include <charconv>
#include <string_view>

#include "resend/request_history.h"
#include "routing/request.h"

namespace basilspur::front {

using Header = http::request_header<http::fields>;

static constexpr std::size_t kMaxIdLength = 128;
static constexpr std::size_t kMaxTenantLength = 64;
static constexpr std::int64_t kMaxTimeoutMillis = 3'600'000;

static std::string_view ValueOfField(const Header& header, const char* name) {
  const auto found = header.find(name);
  if (found == header.end()) return {};
  return {found->value().data(), found->value().size()};
}

static Error HeaderError(const char* header, const char* expected) {
  return {ErrorCode::kInvalid, "parse header", header,
          std::string("expected ") + expected};
}

static bool ParseNumber(std::string_view text, std::int64_t* number) {
  const char* const end = text.data() + text.size();
  const auto [parsed_to, failure] = std::from_chars(text.data(), end, *number);
  return failure == std::errc() && parsed_to == end && *number >= 0;
}

static bool IsVisibleAscii(std::string_view text, std::size_t max_length) {
  if (text.size() > max_length) return false;
  return text.find_first_not_of(
             "!#$%&'()*+,-./0123456789:;<=>?@ABCDEFGHIJKLMNOPQRSTUVWXYZ[]^_`"
             "abcdefghijklmnopqrstuvwxyz{|}~\"") == std::string_view::npos;
}

static bool IsIdempotentMethod(http::verb method) {
  switch (method) {
    case http::verb::get:
    case http::verb::head:
    case http::verb::put:
    case http::verb::delete_:
    case http::verb::options:
    case http::verb::trace:
      return true;
    default:
      return false;
  }
}

static std::string_view HostWithoutPort(std::string_view host) {
  const std::size_t colon = host.rfind(':');
  return colon == std::string_view::npos ? host : host.substr(0, colon);
}

/// Parses the urgency in a Priority field such as "u=1, i".
static bool ParseUrgency(std::string_view priority, int* urgency) {
  *urgency = routing::kDefaultUrgency;
  const std::size_t at = priority.find("u=");
  if (at == std::string_view::npos) return true;
  if (at + 2 >= priority.size()) return false;
  const int value = priority[at + 2] - '0';
  if (value < 0 || value > routing::kMaxUrgency) return false;
  *urgency = value;
  return true;
}

static bool ParseIdempotent(const Header& header, CallerRequest* request) {
  const std::string_view value = ValueOfField(header, "Basilspur-Idempotent");
  request->idempotent = IsIdempotentMethod(header.method());
  if (value.empty()) return true;
  request->idempotent = value == "true";
  return value == "true" || value == "false";
}

/// Without a Basilspur-Attempt header a request with a key counts as a resend
/// of the greatest age, because it can't be distinguished from one.
static bool ParseAttempt(const Header& header, CallerRequest* request) {
  request->age = resend::RequestHistory::kRetention;
  const std::string_view attempt = ValueOfField(header, "Basilspur-Attempt");
  if (attempt.empty()) return true;
  std::int64_t number = 0;
  if (!ParseNumber(attempt, &number) || number < 1) return false;
  request->first_send = number == 1;
  return true;
}

Result<CallerRequest> ParseCallerRequest(const Header& header) {
  CallerRequest request;
  request.id = ValueOfField(header, "X-Request-Id");
  if (!IsVisibleAscii(request.id, kMaxIdLength)) {
    return HeaderError("X-Request-Id", "at most 128 visible characters");
  }
  if (header.count(http::field::host) != 1) {
    return HeaderError("Host", "exactly one, with the name of a service");
  }
  request.service = HostWithoutPort(ValueOfField(header, "Host"));
  request.tenant = ValueOfField(header, "Basilspur-Tenant");
  if (!IsVisibleAscii(request.tenant, kMaxTenantLength)) {
    return HeaderError("Basilspur-Tenant", "at most 64 visible characters");
  }
  if (!ParseUrgency(ValueOfField(header, "Priority"), &request.urgency)) {
    return HeaderError("Priority", "u=0 to u=7");
  }
  if (!ParseIdempotent(header, &request)) {
    return HeaderError("Basilspur-Idempotent", "true or false");
  }
  request.idempotency_key = ValueOfField(header, "Idempotency-Key");
  if (!IsVisibleAscii(request.idempotency_key, kMaxIdLength)) {
    return HeaderError("Idempotency-Key", "at most 128 visible characters");
  }
  if (!ParseAttempt(header, &request)) {
    return HeaderError("Basilspur-Attempt", "a number from 1");
  }
  std::int64_t millis = 0;
  const std::string_view age = ValueOfField(header, "Basilspur-Age-Ms");
  if (!age.empty()) {
    if (!ParseNumber(age, &millis)) {
      return HeaderError("Basilspur-Age-Ms", "a number of milliseconds");
    }
    request.age = Millis(millis);
  }
  const std::string_view timeout = ValueOfField(header, "Basilspur-Timeout-Ms");
  if (timeout.empty()) return request;
  if (!ParseNumber(timeout, &millis) || millis == 0 ||
      millis > kMaxTimeoutMillis) {
    return HeaderError("Basilspur-Timeout-Ms", "1 to 3600000 milliseconds");
  }
  request.timeout = Millis(millis);
  return request;
}

}  // namespace basilspur::front
