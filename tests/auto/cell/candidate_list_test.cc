#include "cell/candidate_list.h"

#include <catch2/catch.hpp>
#include <string>

using namespace basilspur;        // NOLINT(google-build-using-namespace)
using namespace basilspur::cell;  // NOLINT(google-build-using-namespace)

static OwnerProbe MakeProbe(const std::string& name,
                            const std::string& data_center,
                            bool burdened = false) {
  OwnerProbe probe;
  probe.incarnation = name;
  probe.data_center = data_center;
  probe.burdened = burdened;
  return probe;
}

TEST_CASE("an owner has four candidates and no more") {
  CandidateList list(4);
  int candidates = 0;
  for (int entry = 0; entry < 300; ++entry) {
    const std::string name = std::to_string(entry);
    if (list.OnProbe(MakeProbe(name, "a"), Millis(0))) ++candidates;
  }
  CHECK(candidates == 4);
  CHECK(list.Size() == 4);
}

TEST_CASE("an entry that is no longer heard of makes place for another one") {
  CandidateList list(4);
  for (const char* name : {"1", "2", "3", "4"})
    CHECK(list.OnProbe(MakeProbe(name, "a"), Millis(0)));
  for (const char* name : {"1", "2", "3"})
    CHECK(list.OnProbe(MakeProbe(name, "a"), Millis(3'000)));
  CHECK(!list.OnProbe(MakeProbe("5", "a"), Millis(3'100)));
  CHECK(list.OnProbe(MakeProbe("5", "a"), Millis(4'000)));
  CHECK(!list.OnProbe(MakeProbe("4", "a"), Millis(4'000)));
}

TEST_CASE(
    "the successor of an owner is a free entry that was heard of lately") {
  CandidateList list(4);
  CHECK(list.ChooseSuccessor(Millis(0)).empty());
  list.OnProbe(MakeProbe("silent", "a"), Millis(0));
  list.OnProbe(MakeProbe("burdened", "a", /*burdened=*/true), Millis(2'000));
  CHECK(list.ChooseSuccessor(Millis(2'100)) == "burdened");
  list.OnProbe(MakeProbe("free", "a"), Millis(1'500));
  CHECK(list.ChooseSuccessor(Millis(2'100)) == "free");
  CHECK(list.ChooseSuccessor(Millis(9'000)).empty());
}

TEST_CASE(
    "an entry that leaves is neither a candidate nor named as successor") {
  CandidateList list(4);
  OwnerProbe probe = MakeProbe("1", "a");
  CHECK(list.OnProbe(probe, Millis(0)));
  probe.abstains = true;
  CHECK(!list.OnProbe(probe, Millis(100)));
  CHECK(list.Size() == 0);
  CHECK(list.ChooseSuccessor(Millis(200)).empty());
}

TEST_CASE("free entries and other data centers are preferred") {
  CandidateList list(4);
  for (const char* name : {"1", "2", "3"})
    list.OnProbe(MakeProbe(name, "a"), Millis(0));
  list.OnProbe(MakeProbe("slow", "b", /*burdened=*/true), Millis(0));
  CHECK(list.OnProbe(MakeProbe("5", "a"), Millis(0)));
  CHECK(!list.OnProbe(MakeProbe("slow", "b", /*burdened=*/true), Millis(0)));
  CHECK(list.OnProbe(MakeProbe("6", "c"), Millis(0)));
  CHECK(!list.OnProbe(MakeProbe("7", "a"), Millis(0)));
}
