#ifndef BASILSPUR_ENTRY_ENTRY_H_
#define BASILSPUR_ENTRY_ENTRY_H_

#include <cstdint>
#include <memory>

#include "base/result.h"
#include "settings/settings.h"

namespace basilspur::entry {

/// A complete entry: the interfaces for callers and operators, links to peers,
/// leases and placement, in one process. The daemon adds only the command line
/// and the handling of signals.
///
/// Thread safety: one thread at a time.
class Entry {
 public:
  explicit Entry(settings::Settings settings);
  ~Entry();

  Entry(const Entry&) = delete;
  Entry& operator=(const Entry&) = delete;

  /// Reads the log, joins the cell and starts to accept requests. Blocks until
  /// then. Fails if an address can't be bound, if the log can't be read or
  /// written, or if the cell rejects the entry.
  Status Start();

  /// Shuts down gracefully: reports not ready, completes the requests in
  /// progress, releases all leases and leaves the cell. Returns the number of
  /// requests that were aborted because the drain limit of the settings was
  /// reached.
  std::int64_t Stop();

  /// True once the log contains the end of this entry, or a newer incarnation
  /// with its name. The process must then exit.
  bool IsFenced() const;

 private:
  class Private;
  std::unique_ptr<Private> d_;
};

}  // namespace basilspur::entry

#endif  // BASILSPUR_ENTRY_ENTRY_H_
