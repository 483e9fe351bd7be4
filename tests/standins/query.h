#ifndef BASILSPUR_TESTS_STANDINS_QUERY_H_
#define BASILSPUR_TESTS_STANDINS_QUERY_H_

#include <cstdint>
#include <map>
#include <string>

namespace basilspur::standins {

/// The path and the query parameters of a request target such as "/a?b=1&c=2".
struct Query {
  std::string path;
  std::map<std::string, std::string> parameters;

  /// Returns `fallback` if the parameter is missing.
  std::int64_t IntegerParameter(const std::string& name,
                                std::int64_t fallback) const;
  /// Returns an empty string if the parameter is missing.
  std::string TextParameter(const std::string& name) const;
};

/// Splits a request target into its parts. Parameters without "=" are skipped,
/// and percent-encoded characters are not decoded.
Query ParseQuery(const std::string& target);

}  // namespace basilspur::standins

#endif  // BASILSPUR_TESTS_STANDINS_QUERY_H_
