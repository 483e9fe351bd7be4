#include "standins/query.h"

#include <sstream>

namespace basilspur::standins {

Query ParseQuery(const std::string& target) {
  Query query;
  const std::size_t question_mark = target.find('?');
  query.path = target.substr(0, question_mark);
  if (question_mark == std::string::npos) return query;
  std::istringstream pairs(target.substr(question_mark + 1));
  std::string pair;
  while (std::getline(pairs, pair, '&')) {
    const std::size_t separator = pair.find('=');
    if (separator == std::string::npos) continue;
    query.parameters[pair.substr(0, separator)] = pair.substr(separator + 1);
  }
  return query;
}

std::int64_t Query::IntegerParameter(const std::string& name,
                                     std::int64_t fallback) const {
  const auto found = parameters.find(name);
  return found == parameters.end() ? fallback : std::stoll(found->second);
}

std::string Query::TextParameter(const std::string& name) const {
  const auto found = parameters.find(name);
  return found == parameters.end() ? "" : found->second;
}

}  // namespace basilspur::standins
