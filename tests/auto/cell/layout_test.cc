#include "cell/layout.h"

#include <catch2/catch.hpp>
#include <vector>

using namespace basilspur;  // NOLINT(google-build-using-namespace)
using cell::Layout;

static std::vector<jobs::VmListing> MakeVms(int racks, int per_rack) {
  std::vector<jobs::VmListing> vms;
  for (int rack = 0; rack < racks; ++rack) {
    for (int i = 0; i < per_rack; ++i) {
      jobs::VmListing vm;
      vm.rack = "r" + std::to_string(rack);
      vm.id = vm.rack + "-" + std::to_string(i);
      vms.push_back(vm);
    }
  }
  return vms;
}

TEST_CASE("a small number of VMs makes one cell") {
  const Layout layout = cell::MakeLayout(MakeVms(8, 6), 80, 24);
  CHECK(layout.cells == 1);
  CHECK(layout.CellOfJob("00000000000000aa") == 0);
  CHECK(layout.CellOfRack("a rack that came later") == 0);
}

TEST_CASE("racks are not split and cells are of similar size") {
  const Layout layout = cell::MakeLayout(MakeVms(25, 20), 80, 24);
  REQUIRE(layout.cells == 6);
  std::vector<int> racks(layout.cells);
  for (const auto& [rack, cell] : layout.cell_by_rack) ++racks[cell];
  for (const int count : racks) CHECK((count == 4 || count == 5));
}

TEST_CASE("the number of cells is bounded by racks and by the limit") {
  CHECK(cell::MakeLayout(MakeVms(3, 100), 10, 24).cells == 3);
  CHECK(cell::MakeLayout(MakeVms(100, 10), 10, 24).cells == 24);
  CHECK(cell::MakeLayout({}, 10, 24).cells == 1);
}
