#ifndef BASILSPUR_JOBS_JOURNAL_BATCH_H_
#define BASILSPUR_JOBS_JOURNAL_BATCH_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "jobs/job_progress.h"
#include "records/codec.h"

namespace basilspur::jobs {

/// New value of a key in the journal. An empty value removes the key.
struct JournalEntry {
  std::string key;
  records::Bytes value;
};

/// Entries to write to the journal, and the state that they make durable.
struct JournalBatch {
  std::int64_t number = 0;  ///< Counts the owner's batches from 1.
  std::vector<JournalEntry> entries;
  std::map<std::string, JobStatus> jobs;  ///< Status after this batch.
  /// By VM: number of the newest run end that was processed.
  std::map<std::string, std::int64_t> ends;
  std::vector<std::string> moved;  ///< Jobs moved to other cells.
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_JOURNAL_BATCH_H_
