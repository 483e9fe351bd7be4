#ifndef BASILSPUR_ROUTING_LOAN_H_
#define BASILSPUR_ROUTING_LOAN_H_

#include <cstdint>
#include <string>

namespace basilspur::routing {

/// Slots of a target that one entry lends to another for a limited time.
struct Loan {
  std::string target;
  std::int64_t slots = 0;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.target, self.slots);
  }
};

}  // namespace basilspur::routing

#endif  // BASILSPUR_ROUTING_LOAN_H_
