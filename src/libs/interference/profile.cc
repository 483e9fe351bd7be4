#include "interference/profile.h"

#include <array>

namespace basilspur::interference {

static constexpr std::array kProfiles = {
    Profile{"tail",
            1.7,
            Millis(600'000),
            {2.1, 1.9, 2.8, Millis(6'000), Millis(60'000)},
            2},
    Profile{"throughput",
            2.0,
            Millis(300'000),
            {2.6, 2.4, 4.0, Millis(4'000), Millis(90'000)},
            0.5},
};

const Profile& ProfileNamed(std::string_view name) {
  for (const auto& profile : kProfiles) {
    if (profile.name == name) return profile;
  }
  return kProfiles.front();
}

}  // namespace basilspur::interference
