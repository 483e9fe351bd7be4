#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>
#include <string>
#include <variant>
#include <vector>

#include "base/logging.h"
#include "entry/entry.h"
#include "settings/settings_loader.h"

using basilspur::LogCategory;
using basilspur::LogLevel;
using basilspur::settings::Settings;
using basilspur::settings::SettingsError;

static constexpr LogCategory kLog("daemon");
static constexpr std::chrono::milliseconds kFenceCheckInterval(200);

/// Exit codes, as docs/OPERATING.md lists them.
enum ExitCode {
  kStopped = 0,          ///< Stopped without aborting a request.
  kInvalidSettings = 2,  ///< The command line or the settings are invalid.
  kStartFailed = 3,      ///< The entry could not start; it logs the cause.
  kFenced = 4,           ///< The log has fenced this entry.
  kRequestsAborted = 5   ///< Requests in progress were aborted.
};

/// Waits for SIGTERM or SIGINT. Returns false if the log has fenced this entry.
static bool WaitForStop(const basilspur::entry::Entry& entry) {
  boost::asio::io_context context;
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  boost::asio::steady_timer timer(context);
  bool fenced = false;
  const auto check_fence = [&](const auto& self) -> void {
    timer.expires_after(kFenceCheckInterval);
    timer.async_wait([&, self](const boost::system::error_code& error) {
      if (error) return;
      fenced = entry.IsFenced();
      if (fenced) {
        context.stop();
        return;
      }
      self(self);
    });
  };
  check_fence(check_fence);
  signals.async_wait(
      [&](const boost::system::error_code&, int) { context.stop(); });
  context.run();
  return !fenced;
}

/// Handles a second signal: exits without waiting for requests in progress.
static void ExitImmediately(int) { std::_Exit(kRequestsAborted); }

static int Run(const Settings& settings) {
  LogLevel level = LogLevel::kInfo;
  basilspur::ParseLogLevel(settings.log_level, &level);
  basilspur::InitLogging(level);
  basilspur::entry::Entry entry(settings);
  const basilspur::Status started = entry.Start();
  if (!basilspur::IsOk(started)) {
    kLog.Error("Start failed: " + basilspur::ErrorOf(started).ToString() + ".");
    std::_Exit(kStartFailed);
  }
  if (!WaitForStop(entry)) {
    kLog.Error(
        "Fenced: according to the log, this entry has ended or a newer "
        "process has taken its name. Exiting immediately.");
    std::_Exit(kFenced);
  }
  std::signal(SIGTERM, ExitImmediately);
  std::signal(SIGINT, ExitImmediately);
  return entry.Stop() == 0 ? kStopped : kRequestsAborted;
}

int main(int argc, char** argv) {
  cxxopts::Options options("basilspurd", "Runs an entry of a basilspur cell.");
  options.add_options()("settings", "settings file in YAML format",
                        cxxopts::value<std::string>())(
      "check", "validate the settings and exit")("h,help", "show this help");
  try {
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0 || arguments.count("settings") == 0) {
      std::cout << options.help();
      return arguments.count("help") > 0 ? kStopped : kInvalidSettings;
    }
    const auto loaded = basilspur::settings::LoadSettings(
        arguments["settings"].as<std::string>());
    if (const auto* errors = std::get_if<std::vector<SettingsError>>(&loaded)) {
      for (const auto& error : *errors) std::cerr << error.ToString() << "\n";
      return kInvalidSettings;
    }
    if (arguments.count("check") > 0) return kStopped;
    return Run(std::get<Settings>(loaded));
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << error.what() << "\n" << options.help();
    return kInvalidSettings;
  }
}
