#include "wait.h"

#include <unistd.h>

#include <chrono>
#include <iostream>
#include <thread>

#include "exit_code.h"
#include "printer.h"

namespace basilspur::cli {

static constexpr std::chrono::milliseconds kPollInterval(100);

/// Overwrites the previous progress line on a terminal; otherwise prints a new
/// line. Prints nothing if the line has not changed.
static void ShowProgress(const std::string& line, std::string* last_line) {
  if (line == *last_line) return;
  const bool is_terminal = isatty(STDERR_FILENO) == 1;
  std::cerr << (is_terminal ? "\r\x1b[K" : "") << line
            << (is_terminal ? "" : "\n") << std::flush;
  *last_line = line;
}

int WaitForJob(Client& client, const std::string& id) {
  std::string last_line;
  for (;;) {
    v1::Query query;
    query.set_name(id);
    v1::JobList list;
    const grpc::Status status =
        client.Call([&](Client::Stub& stub, grpc::ClientContext& context) {
          return stub.ListJobs(&context, query, &list);
        });
    if (!status.ok()) return ReportFailure(status);
    const v1::Job& job = list.jobs(0);
    std::string line = "job " + id + " " + job.phase();
    if (!job.vm().empty()) line += " on " + job.vm();
    if (!job.reason().empty()) line += " (" + job.reason() + ")";
    ShowProgress(line, &last_line);
    if (job.phase() == "finished" || job.phase() == "failed" ||
        job.phase() == "cancelled") {
      if (isatty(STDERR_FILENO) == 1) std::cerr << "\n";
      return job.phase() == "finished" ? kSuccess : kJobNotFinished;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

/// Counts the live entries that don't respond or serve callers by a state
/// before `offset`.
static grpc::Status CountLaggingEntries(Client& client, std::int64_t offset,
                                        int* lagging) {
  v1::EntryList entries;
  const grpc::Status status =
      client.Call([&](Client::Stub& stub, grpc::ClientContext& context) {
        return stub.ListEntries(&context, v1::Query(), &entries);
      });
  if (!status.ok()) return status;
  *lagging = 0;
  for (const auto& entry : entries.entries()) {
    if (!entry.live()) continue;
    Client entry_client({entry.operator_address()}, client.TimeoutMillis());
    v1::StatusReply reply;
    const grpc::Status reply_status = entry_client.Call(
        [&](Client::Stub& stub, grpc::ClientContext& context) {
          return stub.GetStatus(&context, v1::Query(), &reply);
        });
    if (!reply_status.ok() || reply.offset_in_force() < offset) ++*lagging;
  }
  return grpc::Status::OK;
}

int WaitForOffset(Client& client, std::int64_t offset) {
  std::string last_line;
  for (;;) {
    int lagging = 0;
    const grpc::Status status = CountLaggingEntries(client, offset, &lagging);
    if (!status.ok()) return ReportFailure(status);
    ShowProgress(lagging == 0
                     ? "in force on all entries"
                     : std::to_string(lagging) +
                           " entries have not confirmed the change yet",
                 &last_line);
    if (lagging == 0) {
      if (isatty(STDERR_FILENO) == 1) std::cerr << "\n";
      return kSuccess;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

}  // namespace basilspur::cli
