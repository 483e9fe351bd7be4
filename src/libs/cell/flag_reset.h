#ifndef BASILSPUR_CELL_FLAG_RESET_H_
#define BASILSPUR_CELL_FLAG_RESET_H_

namespace basilspur::cell {

/// Resets a flag at the end of its scope, also after an exception.
///
/// Precondition: the flag outlives the object. Thread safety: one thread at a
/// time.
class FlagReset {
 public:
  explicit FlagReset(bool& flag) : flag_(flag) {}
  ~FlagReset() { flag_ = false; }
  FlagReset(const FlagReset&) = delete;
  FlagReset& operator=(const FlagReset&) = delete;

 private:
  bool& flag_;
};

}  // namespace basilspur::cell

#endif  // BASILSPUR_CELL_FLAG_RESET_H_
