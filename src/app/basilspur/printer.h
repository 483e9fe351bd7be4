#ifndef BASILSPUR_APP_BASILSPUR_PRINTER_H_
#define BASILSPUR_APP_BASILSPUR_PRINTER_H_

#include <google/protobuf/message.h>
#include <grpcpp/grpcpp.h>

#include <string>
#include <vector>

namespace basilspur::cli {

/// Prints a heading and rows in aligned columns. Thread safety: one thread at a
/// time.
void PrintTable(const std::vector<std::string>& heading,
                const std::vector<std::vector<std::string>>& rows);

/// Prints a message as JSON, including fields with default values.
void PrintJson(const google::protobuf::Message& message);

/// Prints the error of a failed call to standard error. Returns its exit code.
int ReportFailure(const grpc::Status& status);

}  // namespace basilspur::cli

#endif  // BASILSPUR_APP_BASILSPUR_PRINTER_H_
