#ifndef BASILSPUR_CELL_SERVICE_WATCH_H_
#define BASILSPUR_CELL_SERVICE_WATCH_H_

#include <optional>

#include "base/clock.h"

namespace basilspur::cell {

struct ServiceSettings {
  /// A request that has waited longer than this when it is read is late: the
  /// other entries doubt an owner that does not answer for 0.8 s.
  Millis max_request_age{500};
  /// Shortest time over which requests are counted.
  Millis window{500};
  /// With fewer requests, the window lasts up to `max_window`.
  int min_requests = 3;
  Millis max_window{3'000};
  /// How long most requests have to be late before the cell is released for the
  /// first time. It doubles with each release in a row, up to `max_doublings`
  /// times, so that a cell does not wander between slow entries.
  Millis patience{1'000};
  int max_doublings = 6;
  /// An owner without late windows for this long has recovered.
  Millis recovery{30'000};
};

/// Detects that an owner serves the other entries' requests so late that they
/// have given up, though its ticks and its calls to the store are on time.
/// Without it, a slow machine would keep a cell that no other entry reaches.
///
/// Thread safety: one thread at a time.
class ServiceWatch {
 public:
  /// The requests of one window.
  struct Window {
    int requests = 0;
    int late = 0;
    Millis max_age;
  };

  explicit ServiceWatch(ServiceSettings settings = {}) : settings_(settings) {}

  /// A new ownership begins.
  void Start(Millis now);
  /// A request was read after it had waited for `age` on this machine.
  void OnRequest(Millis age);
  /// Evaluates the requests once their window has ended; call on each tick.
  /// Returns whether the cell should be released, after `earlier_releases` in a
  /// row.
  bool ShouldRelease(int earlier_releases, Millis now);
  /// Whether the owner has served in time for long.
  bool HasRecovered(Millis now) const;
  /// Whether ShouldRelease has just ended a window with late requests.
  bool HasLateWindow(Millis now) const {
    return window_started_ == now && last_.late > 0;
  }
  /// The window that ShouldRelease has ended last.
  const Window& LastWindow() const { return last_; }

 private:
  void EndWindow(Millis now);

  ServiceSettings settings_;
  Window window_;
  Window last_;
  Millis window_started_;
  Millis serving_since_;
  std::optional<Millis> late_since_;
};

}  // namespace basilspur::cell

#endif  // BASILSPUR_CELL_SERVICE_WATCH_H_
