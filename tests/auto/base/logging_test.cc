#include "base/logging.h"

#include <fcntl.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <string>

using namespace basilspur;  // NOLINT(google-build-using-namespace)

static constexpr LogCategory kLog("test");

/// Standard output is a pipe that nobody reads, as long as it lives.
class UnreadOutput {
 public:
  UnreadOutput() : saved_(dup(STDOUT_FILENO)) {
    REQUIRE(pipe(ends_) == 0);
    dup2(ends_[1], STDOUT_FILENO);
  }
  ~UnreadOutput() {
    dup2(saved_, STDOUT_FILENO);
    close(saved_);
    close(ends_[0]);
    close(ends_[1]);
  }
  UnreadOutput(const UnreadOutput&) = delete;
  UnreadOutput& operator=(const UnreadOutput&) = delete;

  /// Takes all that is in the pipe.
  std::string Read() {
    fcntl(ends_[0], F_SETFL, O_NONBLOCK);
    std::string text;
    char buffer[4'096];
    for (;;) {
      const ssize_t count = read(ends_[0], buffer, sizeof(buffer));
      if (count <= 0) return text;
      text.append(buffer, static_cast<std::size_t>(count));
    }
  }

 private:
  int saved_;
  int ends_[2] = {-1, -1};
};

TEST_CASE("a full pipe drops lines instead of stopping the process") {
  InitLogging(LogLevel::kInfo);
  BoundLogging({1e9, 1e9});
  UnreadOutput output;
  const std::string filler(1'000, 'x');
  // More than a pipe holds; without a bound this would wait for ever.
  for (int i = 0; i < 300; ++i) kLog.Info("event=filler text=" + filler);
  output.Read();
  kLog.Info("event=filler last=1");
  const std::string rest = output.Read();
  CHECK(rest.find("last=1 left_out=") != std::string::npos);
}
