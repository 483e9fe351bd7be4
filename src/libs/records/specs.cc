#include "records/specs.h"

namespace basilspur::records {

std::string RunRef::ToString() const {
  return job + "/" + std::to_string(number);
}

}  // namespace basilspur::records
