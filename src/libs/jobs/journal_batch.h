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

/// Number of the newest run end of a VM's worker that was processed.
struct ProcessedEnd {
  std::int64_t worker_start_ms = 0;
  std::int64_t number = 0;
};

/// What a batch says of a job.
struct JournaledJob {
  JobStatus status = JobStatus::kActive;
  int retired = 0;  ///< Number of its retired occurrences.
};

/// Entries to write to the journal, and the state that they make durable.
struct JournalBatch {
  std::int64_t number = 0;  ///< Counts the owner's batches from 1.
  std::vector<JournalEntry> entries;
  std::map<std::string, JournaledJob> jobs;  ///< After this batch.
  std::map<std::string, ProcessedEnd> ends;  ///< By VM.
  std::vector<std::string> moved;            ///< Jobs moved to other cells.
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_JOURNAL_BATCH_H_
