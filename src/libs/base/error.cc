#include "base/error.h"

namespace basilspur {

std::string Error::ToString() const {
  std::string text = step;
  if (!peer.empty()) text += " " + peer;
  return text + ": " + message;
}

}  // namespace basilspur
