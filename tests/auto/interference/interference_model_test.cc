#include "interference/interference_model.h"

#include <catch2/catch.hpp>
#include <cmath>

#include "base/random.h"
#include "interference/mix_history.h"

using namespace basilspur;  // NOLINT(google-build-using-namespace)
using interference::InterferenceModel;
using interference::Mix;
using interference::MixHistory;

static Mix MakeMix(double noisy, double quiet,
                   const std::string& service = "s") {
  return {{service}, {{"noisy", noisy}, {"quiet", quiet}}};
}

/// Lets the model observe `count` random mixes. `noisy` and `quiet` are the
/// true weights of the kinds; noise is added to the slowdowns.
static void Train(InterferenceModel& model, double noisy, double quiet,
                  int count, const std::string& service = "s") {
  Random random(7);
  for (int i = 0; i < count; ++i) {
    const Mix mix =
        MakeMix(random.NextDouble() * 0.5, random.NextDouble() * 0.5, service);
    const double slowdown = 1 + noisy * mix.shares.at("noisy") +
                            quiet * mix.shares.at("quiet") +
                            (random.NextDouble() - 0.5) * 0.1;
    model.Observe(mix, slowdown);
  }
}

TEST_CASE("weights of several kinds are separated in mixed measurements") {
  InterferenceModel model;
  Train(model, 4, 0.1, 200);
  const Mix mix = MakeMix(0, 0);
  CHECK(model.Contribution(mix, "noisy", 1) == Approx(4).margin(0.5));
  CHECK(model.Contribution(mix, "quiet", 1) == Approx(0.1).margin(0.4));
  CHECK(model.Predict(MakeMix(0.25, 0)) == Approx(2).margin(0.2));
}

TEST_CASE("the model adapts to changed interference") {
  InterferenceModel model;
  Train(model, 4, 0.1, 200);
  Train(model, 1, 2, 400);
  const Mix mix = MakeMix(0, 0);
  CHECK(model.Contribution(mix, "noisy", 1) == Approx(1).margin(0.5));
  CHECK(model.Contribution(mix, "quiet", 1) == Approx(2).margin(0.5));
}

TEST_CASE("estimates of one service do not apply to another") {
  InterferenceModel model;
  Train(model, 4, 0.1, 200, "s");
  CHECK(model.Contribution(MakeMix(0, 0, "other"), "noisy", 1) < 1);
}

TEST_CASE("an entry without own measurements uses the estimates of its peers") {
  InterferenceModel trained;
  Train(trained, 4, 0.1, 200);
  InterferenceModel model;
  model.MergePeerEstimates("peer", trained.TakeChangedEstimates(100));
  CHECK(model.Predict(MakeMix(0.25, 0)) == Approx(2).margin(0.2));
  CHECK(trained.TakeChangedEstimates(100).empty());
  trained.MarkAllChanged();
  CHECK(trained.TakeChangedEstimates(1).size() == 1);
}

TEST_CASE("a single wrong report does not invalidate the estimates") {
  InterferenceModel model;
  Train(model, 4, 0.1, 200);
  model.Observe(MakeMix(0.25, 0.25), 1e9);
  Train(model, 4, 0.1, 50);
  CHECK(model.Predict(MakeMix(0.25, 0)) == Approx(2).margin(0.4));
}

TEST_CASE("a VM without services is not slowed down") {
  InterferenceModel model;
  const Mix mix{{}, {{"noisy", 1}}};
  model.Observe(mix, 5);
  CHECK(model.Predict(mix) == 1);
}

TEST_CASE("a late measurement is matched with the mix at its time") {
  MixHistory history;
  history.Add(MakeMix(0.5, 0), Millis(1'000));
  history.Add(MakeMix(0, 0.5), Millis(10'000));
  const Millis min_duration(2'000);
  REQUIRE(history.StableMixAt(Millis(9'000), min_duration) != nullptr);
  CHECK(*history.StableMixAt(Millis(9'000), min_duration) == MakeMix(0.5, 0));
  CHECK(history.StableMixAt(Millis(11'000), min_duration) == nullptr);
  CHECK(*history.StableMixAt(Millis(13'000), min_duration) == MakeMix(0, 0.5));
  CHECK(history.StableMixAt(Millis(500), min_duration) == nullptr);
}
