#include "placement/vm_scorer.h"

namespace basilspur::placement {

double FirstFitScorer::Score(const state::Job&, const state::Vm&,
                             const records::Resources&, Millis) {
  return 0;
}

}  // namespace basilspur::placement
