#ifndef BASILSPUR_BASE_CLOCK_H_
#define BASILSPUR_BASE_CLOCK_H_

#include <cstdint>

namespace basilspur {

/// A duration, or a point in time on some clock, in milliseconds.
///
/// Thread safety: a plain value type.
struct Millis {
  std::int64_t count = 0;

  constexpr Millis() = default;
  constexpr explicit Millis(std::int64_t value) : count(value) {}

  constexpr Millis operator+(Millis other) const {
    return Millis(count + other.count);
  }
  constexpr Millis operator-(Millis other) const {
    return Millis(count - other.count);
  }
  constexpr Millis operator*(std::int64_t factor) const {
    return Millis(count * factor);
  }
  constexpr Millis operator/(std::int64_t divisor) const {
    return Millis(count / divisor);
  }
  constexpr bool operator==(Millis other) const { return count == other.count; }
  constexpr bool operator!=(Millis other) const { return count != other.count; }
  constexpr bool operator<(Millis other) const { return count < other.count; }
  constexpr bool operator<=(Millis other) const { return count <= other.count; }
  constexpr bool operator>(Millis other) const { return count > other.count; }
  constexpr bool operator>=(Millis other) const { return count >= other.count; }
};

/// Source of time. Decision logic takes a clock as an argument so that tests
/// can control the time.
///
/// Thread safety: implementations are safe to call from any thread.
class Clock {
 public:
  virtual ~Clock() = default;

  /// Time on a clock that never goes back and does not advance while the
  /// machine is suspended. Precondition: none.
  virtual Millis Monotonic() const = 0;

  /// Time since the Unix epoch; may jump in either direction.
  /// Precondition: none.
  virtual Millis Wall() const = 0;
};

/// The clocks of the operating system.
class SystemClock final : public Clock {
 public:
  Millis Monotonic() const override;
  Millis Wall() const override;
};

/// Like SystemClock, but Monotonic() includes the time that the machine is
/// suspended. Use it for the age of state that other machines hold, because
/// their clocks advance while this machine is suspended.
class BootClock final : public Clock {
 public:
  Millis Monotonic() const override;
  Millis Wall() const override;
};

}  // namespace basilspur

#endif  // BASILSPUR_BASE_CLOCK_H_
