#include "top.h"

#include <unistd.h>

#include <chrono>
#include <iomanip>
#include <iostream>
#include <map>
#include <sstream>
#include <thread>
#include <utility>
#include <vector>

#include "exit_code.h"
#include "printer.h"

namespace basilspur::cli {

using Row = std::vector<std::string>;
/// The values of the previous round, by entry, name and labels.
using PreviousValues = std::map<std::vector<std::string>, std::int64_t>;

static constexpr double kMillisPerSecond = 1'000;

static std::string FormatDecimal(double number) {
  std::ostringstream text;
  text << std::fixed << std::setprecision(1) << number;
  return text.str();
}

static Row MakeFigureRow(const std::string& entry, const v1::Figure& figure,
                         std::int64_t interval_ms, PreviousValues& previous) {
  const auto [found, is_new] = previous.try_emplace(
      {entry, figure.name(), figure.labels()}, figure.value());
  const std::int64_t increase = figure.value() - found->second;
  found->second = figure.value();
  const double seconds = static_cast<double>(interval_ms) / kMillisPerSecond;
  const bool is_times = figure.is_times();
  return {entry,
          figure.name(),
          figure.labels(),
          std::to_string(figure.value()),
          is_new ? "" : FormatDecimal(static_cast<double>(increase) / seconds),
          is_times ? FormatDecimal(figure.p50_ms()) : "",
          is_times ? FormatDecimal(figure.p99_ms()) : ""};
}

/// Appends a row for each figure of an entry, or one row that reports that the
/// entry did not respond.
static void AppendEntryRows(const v1::Entry& entry, Client& client,
                            const TopOptions& options, PreviousValues& previous,
                            std::vector<Row>& rows) {
  Client entry_client({entry.operator_address()}, client.TimeoutMillis());
  v1::Query query;
  query.set_name(options.prefix);
  v1::FigureList figures;
  const grpc::Status status =
      entry_client.Call([&](Client::Stub& stub, grpc::ClientContext& context) {
        return stub.GetFigures(&context, query, &figures);
      });
  if (!status.ok()) {
    rows.push_back({entry.name(), "no answer", "", "", "", "", ""});
    return;
  }
  for (const auto& figure : figures.figures()) {
    rows.push_back(
        MakeFigureRow(entry.name(), figure, options.interval_ms, previous));
  }
}

int ShowTop(Client& client, const TopOptions& options) {
  const bool is_terminal = isatty(STDOUT_FILENO) == 1;
  PreviousValues previous;
  for (std::int64_t round = 1;; ++round) {
    v1::EntryList entries;
    const grpc::Status status =
        client.Call([&](Client::Stub& stub, grpc::ClientContext& context) {
          return stub.ListEntries(&context, v1::Query(), &entries);
        });
    if (!status.ok()) return ReportFailure(status);
    std::vector<Row> rows;
    for (const auto& entry : entries.entries()) {
      if (entry.live()) AppendEntryRows(entry, client, options, previous, rows);
    }
    if (is_terminal) std::cout << "\x1b[H\x1b[2J";
    PrintTable(
        {"ENTRY", "FIGURE", "LABELS", "VALUE", "A SECOND", "P50 MS", "P99 MS"},
        rows);
    std::cout << std::flush;
    if (round == options.rounds) return kSuccess;
    std::this_thread::sleep_for(std::chrono::milliseconds(options.interval_ms));
  }
}

}  // namespace basilspur::cli
