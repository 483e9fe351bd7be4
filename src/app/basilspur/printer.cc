#include "printer.h"

#include <google/protobuf/util/json_util.h>

#include <algorithm>
#include <iostream>

#include "exit_code.h"

namespace basilspur::cli {

static void PrintRow(const std::vector<std::string>& row,
                     const std::vector<std::size_t>& widths) {
  std::string line;
  for (std::size_t i = 0; i < row.size(); ++i) {
    line += row[i];
    if (i + 1 == row.size()) break;
    line += std::string(widths[i] - row[i].size() + 2, ' ');
  }
  std::cout << line << "\n";
}

void PrintTable(const std::vector<std::string>& heading,
                const std::vector<std::vector<std::string>>& rows) {
  std::vector<std::size_t> widths;
  for (const auto& title : heading) widths.push_back(title.size());
  for (const auto& row : rows) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  PrintRow(heading, widths);
  for (const auto& row : rows) PrintRow(row, widths);
}

void PrintJson(const google::protobuf::Message& message) {
  google::protobuf::util::JsonPrintOptions options;
  options.add_whitespace = true;
  options.always_print_primitive_fields = true;
  options.preserve_proto_field_names = true;
  std::string text;
  const auto printed =
      google::protobuf::util::MessageToJsonString(message, &text, options);
  if (printed.ok()) std::cout << text;
}

static int ExitCodeOf(grpc::StatusCode code) {
  switch (code) {
    case grpc::StatusCode::OK:
      return kSuccess;
    case grpc::StatusCode::UNAVAILABLE:
    case grpc::StatusCode::RESOURCE_EXHAUSTED:
      return kUnavailable;
    case grpc::StatusCode::NOT_FOUND:
      return kNotFound;
    case grpc::StatusCode::ABORTED:
      return kConflict;
    case grpc::StatusCode::FAILED_PRECONDITION:
      return kNoCapacity;
    case grpc::StatusCode::DEADLINE_EXCEEDED:
      return kUnknownOutcome;
    default:
      return kRejected;
  }
}

int ReportFailure(const grpc::Status& status) {
  std::cerr << "basilspur: " << status.error_message() << "\n";
  return ExitCodeOf(status.error_code());
}

}  // namespace basilspur::cli
