#ifndef BASILSPUR_JOBS_JOURNAL_BATCH_H_
#define BASILSPUR_JOBS_JOURNAL_BATCH_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "jobs/job_progress.h"
#include "records/codec.h"

namespace basilspur::jobs {

/// A new value of a key of the journal; empty: the key goes.
struct JournalEntry {
  std::string key;
  records::Bytes value;
};

/// What has to be durable together, and what it covers.
struct JournalBatch {
  std::vector<JournalEntry> entries;
  std::map<std::string, JobStatus> jobs;     ///< As of this batch.
  std::map<std::string, std::int64_t> ends;  ///< By VM, the newest taken in.
  std::vector<std::string> moved;            ///< Jobs that other cells take.
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_JOURNAL_BATCH_H_
