#include "metrics/labels.h"

namespace basilspur::metrics {

static std::string Escape(const std::string& value) {
  std::string escaped;
  for (const char c : value) {
    if (c == '\n') {
      escaped += "\\n";
      continue;
    }
    if (c == '"' || c == '\\') escaped += '\\';
    escaped += c;
  }
  return escaped;
}

std::string RenderLabels(const Labels& labels) {
  if (labels.empty()) return "";
  std::string text;
  for (const auto& [name, value] : labels) {
    text += text.empty() ? "{" : ",";
    text += name + "=\"" + Escape(value) + "\"";
  }
  return text + "}";
}

}  // namespace basilspur::metrics
