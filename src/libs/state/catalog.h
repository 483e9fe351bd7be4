#ifndef BASILSPUR_STATE_CATALOG_H_
#define BASILSPUR_STATE_CATALOG_H_

#include <cstdint>
#include <string>

#include "records/specs.h"

namespace basilspur::state {

struct Service {
  records::ServiceSpec spec;
  std::int64_t version = 0;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.spec, self.version);
  }
};

struct Team {
  records::TeamSpec spec;
  std::int64_t version = 0;
  records::Resources used;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.spec, self.version, self.used);
  }
};

struct ConfigValue {
  std::string value;
  std::int64_t version = 0;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.value, self.version);
  }
};

/// One action of an operator, whether it was accepted or rejected.
struct AuditEntry {
  std::int64_t revision = 0;
  std::int64_t wall_ms = 0;
  std::string actor;
  std::string action;
  std::string object;
  std::int64_t base_version = 0;
  std::string result;

  template <class Self, class A>
  static void Describe(Self& self, A& archive) {
    archive(self.revision, self.wall_ms, self.actor, self.action, self.object,
            self.base_version, self.result);
  }
};

}  // namespace basilspur::state

#endif  // BASILSPUR_STATE_CATALOG_H_
