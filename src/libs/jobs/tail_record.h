#ifndef BASILSPUR_JOBS_TAIL_RECORD_H_
#define BASILSPUR_JOBS_TAIL_RECORD_H_

#include <cstdint>
#include <string>
#include <vector>

namespace basilspur::jobs {

/// How much a best-effort image raises the tails of another, per share of a VM.
struct TailPairRecord {
  std::string served;
  std::string image;
  std::int64_t weight_percent = 0;    ///< Of the tail's base.
  std::int64_t variance_percent = 0;  ///< Of the weight, in hundredths.

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.served, self.image, self.weight_percent,
            self.variance_percent);
  }
};

/// The tail of an image's tasks with nothing beside them.
struct TailBaseRecord {
  std::string image;
  std::int64_t mean_us = 0;
  int measurements = 0;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.image, self.mean_us, self.measurements);
  }
};

/// What an owner has learned of tails, for its successor and for other owners.
///
/// Thread safety: a plain value.
struct TailRecord {
  std::vector<TailPairRecord> pairs;
  std::vector<TailBaseRecord> bases;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.pairs, self.bases);
  }
};

}  // namespace basilspur::jobs

#endif  // BASILSPUR_JOBS_TAIL_RECORD_H_
