#ifndef BASILSPUR_REVIEW_JOBS_H_
#define BASILSPUR_REVIEW_JOBS_H_

#include <cstdlib>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

namespace review {

inline void Sleep(int ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/// False with TROUBLE=0.
inline bool HasTrouble() {
  const char* variable = std::getenv("TROUBLE");
  return !variable || std::string(variable) != "0";
}

/// A config with one queue, whose tasks the executors of `service` run.
inline std::string MakeConfig(int version, const std::string& service) {
  using Json = nlohmann::json;
  Json services = Json::array();
  for (const char* name : {"old", "new"}) {
    services.push_back({{"name", name},
                        {"health_path", "/health"},
                        {"max_conns", 64},
                        {"protocol", "h1"},
                        {"tls", false},
                        {"enforces_capacity", false},
                        {"standby", false}});
  }
  const Json route = {{"name", "r-1"},        {"host", "jobs.example"},
                      {"path_prefix", "/q/"}, {"type", "non_idempotent"},
                      {"timeout_ms", 3000},   {"slo_ms", 1000},
                      {"priority", 0},        {"service", service},
                      {"attempts", 3},        {"stretch", 2.0}};
  const Json config = {{"version", version},
                       {"routes", Json::array({route})},
                       {"services", services},
                       {"limits",
                        {{"max_header_bytes", 16384},
                         {"max_body_bytes", 262144},
                         {"header_timeout_ms", 3000},
                         {"idle_timeout_ms", 15000}}}};
  return config.dump();
}

}  // namespace review

#endif  // BASILSPUR_REVIEW_JOBS_H_
