#include "wire.h"

#include <catch2/catch.hpp>
#include <string>

using namespace basilspur;           // NOLINT(google-build-using-namespace)
using namespace basilspur::adapter;  // NOLINT(google-build-using-namespace)

TEST_CASE("a task reference is parsed completely or rejected") {
  const auto task = ParseTaskRef("5c0e7a21d94b36f8.0.1.17");
  REQUIRE(task);
  CHECK(task->job == "5c0e7a21d94b36f8");
  CHECK(task->step == 1);
  CHECK(task->index == 17);
  CHECK(task->ToString() == "5c0e7a21d94b36f8.0.1.17");
  for (const char* text : {"", "a", "a.1.2", "a.1.2.3.4", "a.1.2.x", "a.1.2.-3",
                           "a.1.2.", "a...", "a.99999999999.0.0"}) {
    CAPTURE(text);
    CHECK(!ParseTaskRef(text));
  }
}

TEST_CASE("a job id is exactly 16 hexadecimal digits") {
  CHECK(IsJobId("5c0e7a21d94b36f8"));
  CHECK(!IsJobId("5c0e7a21d94b36f"));
  CHECK(!IsJobId("5c0e7a21d94b36fg"));
  CHECK(!IsJobId("5c0e7a21d94b36f8/"));
}

TEST_CASE("a job is decoded into typed fields") {
  const auto job = DecodeJobSpec(R"({"spec":"x","steps":[
    {"count":4,"cpu":500,"mem_mb":256,"est_ms":900,"data_rack":"r1-3"},
    {"count":20,"cpu":2000,"mem_mb":1024,"est_ms":7000,"deps":[0],
     "saves_progress":true,"fills":true,"image":"i"}],
    "start_ms":5,"interval_ms":6,"repeats":7})");
  REQUIRE(IsOk(job));
  const jobs::JobSpec& spec = ValueOf(job);
  REQUIRE(spec.steps.size() == 2);
  CHECK(spec.steps[0].data_rack == "r1-3");
  CHECK(spec.steps[1].dependencies == std::vector<int>{0});
  CHECK(spec.steps[1].best_effort);
  CHECK(spec.steps[1].Charge().cpu_millis == 0);
  CHECK(spec.Occurrences() == 7);
}

TEST_CASE("an invalid job is rejected with an error message") {
  const std::string step = R"({"count":1,"cpu":1})";
  const std::string long_payload(4'001, 'x');
  for (const std::string& text :
       {std::string("not JSON"), std::string("[]"), std::string("{}"),
        std::string(R"({"spec":1,"steps":[)") + step + "]}",
        std::string(R"({"spec":"x","steps":[]})"),
        std::string(R"({"spec":"x","steps":[{"count":0}]})"),
        std::string(R"({"spec":"x","steps":[{"count":-1}]})"),
        std::string(R"({"spec":"x","steps":[{"count":1,"deps":[0]}]})"),
        std::string(R"({"spec":"x","steps":[{"count":"1"}]})"),
        std::string(R"({"spec":"x","steps":[{"count":100000}]})"),
        R"({"spec":")" + long_payload + R"(","steps":[)" + step + "]}"}) {
    CAPTURE(text.substr(0, 80));
    const auto job = DecodeJobSpec(text);
    REQUIRE(!IsOk(job));
    CHECK(ErrorOf(job).code == ErrorCode::kInvalid);
    CHECK(!ErrorOf(job).message.empty());
  }
}

/// Its record could not be written, and held up all others of the cell.
TEST_CASE("a job that is too long for a record is rejected") {
  const std::string label(200'000, 'x');
  const auto job =
      DecodeJobSpec(R"({"spec":"x","steps":[{"count":1,"required_label":")" +
                    label + R"("}]})");
  REQUIRE(!IsOk(job));
  CHECK(ErrorOf(job).message == "the job is too long to be stored");
}

TEST_CASE("the time of a job's last occurrence does not overflow") {
  const std::string start =
      R"({"spec":"x","steps":[{"count":1}],"repeats":10000,"interval_ms":)";
  CHECK(!IsOk(DecodeJobSpec(start + "1000000000000000}")));
  CHECK(IsOk(DecodeJobSpec(start + "86400000}")));
}

TEST_CASE("a VM entry in another program's format is rejected") {
  const std::string valid_entry =
      R"({"service":"s","address":"1.2.3.4:5","zone":"z","state":"ready",
          "room":{"cpu":16000,"mem_mb":32768,"gpu":0},"labels":["a","r1-3"]})";
  const auto vm = DecodeVmListing("i-1", valid_entry);
  REQUIRE(IsOk(vm));
  CHECK(ValueOf(vm).rack == "r1-3");
  CHECK(!ValueOf(vm).draining);
  for (const char* text : {"", "\xff\xfe", "3", "{}",
                           R"({"service":"s","address":"a","state":"asleep",
            "room":{},"labels":["a","r"]})",
                           R"({"service":1,"address":"a","state":"ready",
            "room":{},"labels":["a","r"]})",
                           R"({"service":"s","address":"a","state":"ready",
            "room":7,"labels":["a","r"]})",
                           R"({"service":"s","address":"a","state":"ready",
            "room":{},"labels":["a"]})"}) {
    CAPTURE(text);
    CHECK(!IsOk(DecodeVmListing("i-1", text)));
  }
}

TEST_CASE(
    "a configuration is decoded and the longest path prefix selects the "
    "queue") {
  const auto decoded = DecodeCatalog(R"({"version":7,"routes":[
    {"name":"a","host":"h","path_prefix":"/x/","service":"s","attempts":3,
     "priority":2,"stretch":2.2,"slo_ms":250},
    {"name":"b","host":"h","path_prefix":"/x/y/","service":"s"}],
    "services":[{"name":"s","enforces_capacity":true}],
    "limits":{"max_body_bytes":5}})");
  REQUIRE(IsOk(decoded));
  const jobs::Catalog& catalog = ValueOf(decoded);
  CHECK(catalog.version == 7);
  CHECK(catalog.max_body_bytes == 5);
  REQUIRE(catalog.Route("h", "/x/y/1"));
  CHECK(catalog.Route("h", "/x/y/1")->name == "b");
  CHECK(catalog.Route("h", "/x/1")->name == "a");
  CHECK(!catalog.Route("other", "/x/1"));
  CHECK(!IsOk(DecodeCatalog(R"({"version":"x"})")));
}

TEST_CASE("a VM's report is decoded into running and ended runs") {
  const auto report = DecodeVmReport(R"({"clock_ms":482113,
    "running":[["5c0e7a21d94b36f8.0.1.17",2,"ab",41,12]],
    "finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""],
                [59,"5c0e7a21d94b36f8.0.1.8",1,"lapsed","cd"]]})");
  REQUIRE(IsOk(report));
  CHECK(ValueOf(report).clock_ms == 482113);
  REQUIRE(ValueOf(report).running.size() == 1);
  CHECK(ValueOf(report).running[0].measurement == 12);
  REQUIRE(ValueOf(report).ended.size() == 2);
  CHECK(ValueOf(report).ended[1].end == jobs::RunEnd::kLapsed);
  CHECK(!IsOk(DecodeVmReport("{}")));
}

TEST_CASE("a worker's start is read from its report") {
  const auto report = DecodeVmReport(
      R"({"clock_ms":5,"born":1790000000123,"running":[],"finished":[]})");
  REQUIRE(IsOk(report));
  CHECK(ValueOf(report).worker_start_ms == 1'790'000'000'123);
}

// An entry could not be told to be of another lifetime than the last report.
TEST_CASE("a worker's start is read from its VM entry") {
  const auto vm =
      DecodeVmListing("i-1", R"({"service":"s","address":"1.2.3.4:5","zone":"z",
          "state":"ready","room":{"cpu":16000},"labels":["a","r1-3"],
          "born":1790000000123})");
  REQUIRE(IsOk(vm));
  CHECK(ValueOf(vm).worker_start_ms == 1'790'000'000'123);
}

TEST_CASE("answers to run commands are decoded into outcomes") {
  const auto outcome = [](unsigned status, const char* body) {
    return DecodeCommandAnswer(status, body).outcome;
  };
  CHECK(outcome(200, R"({"clock_ms":1})") == jobs::RunCommandOutcome::kDone);
  CHECK(outcome(409, R"({"reason":"fence"})") ==
        jobs::RunCommandOutcome::kStaleToken);
  CHECK(outcome(409, R"({"reason":"old"})") ==
        jobs::RunCommandOutcome::kSuperseded);
  CHECK(outcome(409, R"({"reason":"late"})") ==
        jobs::RunCommandOutcome::kExpired);
  CHECK(outcome(409, R"({"reason":"room"})") ==
        jobs::RunCommandOutcome::kNoRoom);
  CHECK(outcome(421, "") == jobs::RunCommandOutcome::kRestarted);
  CHECK(outcome(429, "") == jobs::RunCommandOutcome::kRefused);
  CHECK(outcome(400, "no JSON") == jobs::RunCommandOutcome::kRefused);
  CHECK(outcome(503, "") == jobs::RunCommandOutcome::kRefused);
}

// Guards against a run that is released although its start may have been
// carried out.
TEST_CASE("an answer that does not say that nothing was done is in doubt") {
  const unsigned status =
      GENERATE(201u, 204u, 302u, 404u, 408u, 409u, 500u, 502u, 504u);
  const char* body = GENERATE("", "no JSON", R"({"clock_ms":1})");
  CHECK(DecodeCommandAnswer(status, body).outcome ==
        jobs::RunCommandOutcome::kUnknown);
}

TEST_CASE("a full list of run ends says that there may be more") {
  const int count = GENERATE(499, 500);
  std::string ends;
  for (int number = 1; number <= count; ++number) {
    if (number > 1) ends += ",";
    ends += "[" + std::to_string(number) +
            R"(,"5c0e7a21d94b36f8.0.0.0",1,"done",""])";
  }
  const auto report = DecodeVmReport(
      R"({"clock_ms":1,"running":[],"finished":[)" + ends + "]}");
  REQUIRE(IsOk(report));
  CHECK(ValueOf(report).may_have_more_ends == (count == 500));
}
