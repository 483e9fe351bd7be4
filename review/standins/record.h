#ifndef BASILSPUR_REVIEW_RECORD_H_
#define BASILSPUR_REVIEW_RECORD_H_

#include <chrono>
#include <cstdio>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

/// What was sent, answered and run, one line each, with the seconds since the
/// start of the script.
///
/// Thread safety: any thread.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path) {}

  double Now() const {
    const auto age = std::chrono::steady_clock::now() - started_;
    return std::chrono::duration<double>(age).count();
  }

  void Write(const std::string& line) {
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f  ", Now());
    const std::lock_guard lock(mutex_);
    file_ << time << line << std::endl;
  }

 private:
  const std::chrono::steady_clock::time_point started_ =
      std::chrono::steady_clock::now();
  std::mutex mutex_;
  std::ofstream file_;
};

}  // namespace review

#endif  // BASILSPUR_REVIEW_RECORD_H_
