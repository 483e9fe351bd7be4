#include "base/logging.h"

#include <fcntl.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <string>

using namespace basilspur;  // NOLINT(google-build-using-namespace)

static constexpr LogCategory kLog("test");

/// Redirects standard output to a pipe without a reader during its lifetime.
class UnreadStdoutPipe {
 public:
  UnreadStdoutPipe() : saved_stdout_(dup(STDOUT_FILENO)) {
    REQUIRE(pipe(pipe_fds_) == 0);
    dup2(pipe_fds_[1], STDOUT_FILENO);
  }
  ~UnreadStdoutPipe() {
    dup2(saved_stdout_, STDOUT_FILENO);
    close(saved_stdout_);
    close(pipe_fds_[0]);
    close(pipe_fds_[1]);
  }
  UnreadStdoutPipe(const UnreadStdoutPipe&) = delete;
  UnreadStdoutPipe& operator=(const UnreadStdoutPipe&) = delete;

  /// Drains the pipe and returns its content.
  std::string Read() {
    fcntl(pipe_fds_[0], F_SETFL, O_NONBLOCK);
    std::string text;
    char buffer[4'096];
    for (;;) {
      const ssize_t count = read(pipe_fds_[0], buffer, sizeof(buffer));
      if (count <= 0) return text;
      text.append(buffer, static_cast<std::size_t>(count));
    }
  }

 private:
  int saved_stdout_;
  int pipe_fds_[2] = {-1, -1};
};

TEST_CASE("log lines are dropped instead of blocking on a full pipe") {
  InitLogging(LogLevel::kInfo);
  LimitLogRate({1e9, 1e9});
  UnreadStdoutPipe output;
  const std::string filler(1'000, 'x');
  // Exceeds the capacity of the pipe: without LimitLogRate(), the write would
  // block forever.
  for (int i = 0; i < 300; ++i) kLog.Info("event=filler text=" + filler);
  output.Read();
  kLog.Info("event=filler last=1");
  const std::string rest = output.Read();
  CHECK(rest.find("last=1 left_out=") != std::string::npos);
}
