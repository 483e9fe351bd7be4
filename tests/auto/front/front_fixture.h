#ifndef BASILSPUR_TESTS_AUTO_FRONT_FRONT_FIXTURE_H_
#define BASILSPUR_TESTS_AUTO_FRONT_FRONT_FIXTURE_H_

#include <string>
#include <vector>

#include "base/clock.h"
#include "front/front.h"
#include "metrics/registry.h"
#include "resend/at_most_once_gate.h"

namespace basilspur::front_test {

/// Runs a front on a free port, with one service "s" on the given targets.
class FrontFixture {
 public:
  explicit FrontFixture(const std::vector<std::string>& targets,
                        Millis header_timeout = Millis(5'000));

  /// Sends bytes on a new connection and returns everything that is received
  /// until it is closed. If `half_close` is set, the sending side is shut down
  /// first.
  std::string SendRaw(const std::string& bytes, bool half_close = true) const;

  front::Front& Front() { return front_; }

 private:
  front::FrontOptions Options(Millis header_timeout);

  SystemClock clock_;
  metrics::Registry metrics_;
  resend::AtMostOnceGate gate_;
  std::string address_;
  front::Front front_;
};

}  // namespace basilspur::front_test

#endif  // BASILSPUR_TESTS_AUTO_FRONT_FRONT_FIXTURE_H_
