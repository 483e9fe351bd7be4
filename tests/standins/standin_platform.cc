// Stand-in for the platform: a log with offsets and a list of VMs, both in
// memory. /control calls make it fail.
#include <map>
#include <string>

#include "fakes/fake_log.h"
#include "infra/vm_directory.h"
#include "records/codec.h"
#include "standins/query.h"
#include "standins/run_standin.h"

using basilspur::Millis;
using basilspur::fakes::FakeLogStore;
using basilspur::infra::ListedVm;
using basilspur::net::HttpRequest;
using basilspur::net::HttpResponse;
using basilspur::records::Bytes;
using basilspur::standins::Query;
namespace asio = basilspur::net::asio;
namespace records = basilspur::records;

static constexpr Millis kReadPollInterval(2);
static constexpr unsigned kHttpUnavailable = 503;
static constexpr unsigned kHttpNotFound = 404;

class StandinPlatform {
 public:
  asio::awaitable<HttpResponse> Answer(HttpRequest request) {
    const Query query = basilspur::standins::ParseQuery(request.target);
    if (query.path.rfind("/control/", 0) == 0) co_return Control(query);
    if (delay_ms_ > 0) co_await basilspur::net::Sleep(Millis(delay_ms_));
    const bool is_list = query.path == "/vms";
    const bool down = is_list ? list_down_ : store_.Faults().down;
    if (down) co_return Failure(kHttpUnavailable);
    if (is_list) co_return Encoded(List());
    const std::string stream = query.path.substr(std::string("/log/").size());
    if (request.method == "POST") {
      ++appends_;
      const auto offset = store_.Append(
          stream, Bytes(request.body.begin(), request.body.end()));
      if (store_.Faults().lose_answers) co_return Failure(kHttpUnavailable);
      co_return Encoded(offset);
    }
    const std::int64_t from = query.Number("from", 0);
    std::int64_t wait_ms = query.Number("wait_ms", 0);
    auto slice = store_.Read(stream, from);
    while (slice.entries.empty() && wait_ms > 0 && !store_.Faults().down) {
      co_await basilspur::net::Sleep(kReadPollInterval);
      wait_ms -= kReadPollInterval.count;
      slice = store_.Read(stream, from);
    }
    co_return Encoded(slice);
  }

 private:
  static HttpResponse Failure(unsigned status) {
    HttpResponse response;
    response.status = status;
    return response;
  }

  template <class T>
  static HttpResponse Encoded(const T& value) {
    const Bytes bytes = records::Encode(value);
    HttpResponse response;
    response.body.assign(bytes.begin(), bytes.end());
    return response;
  }

  std::vector<ListedVm> List() const {
    std::vector<ListedVm> list;
    for (const auto& [name, vm] : vms_) list.push_back(vm);
    return list;
  }

  HttpResponse Control(const Query& query) {
    HttpResponse response;
    response.body = "ok\n";
    if (query.path == "/control/log") {
      auto faults = store_.Faults();
      faults.down = query.Number("down", faults.down) != 0;
      faults.lose_answers = query.Number("lose", faults.lose_answers) != 0;
      faults.retention = query.Number("retention", faults.retention);
      store_.SetFaults(faults);
      delay_ms_ = query.Number("delay_ms", delay_ms_);
    } else if (query.path == "/control/list") {
      list_down_ = query.Number("down", list_down_) != 0;
    } else if (query.path == "/control/appends") {
      response.body = std::to_string(appends_) + "\n";
    } else if (query.path == "/control/vm") {
      PutVm(query);
    } else if (query.path == "/control/gone") {
      vms_.erase(query.Text("name"));
    } else {
      return Failure(kHttpNotFound);
    }
    return response;
  }

  void PutVm(const Query& query) {
    ListedVm& vm = vms_[query.Text("name")];
    vm.spec.name = query.Text("name");
    vm.spec.worker_address = query.Text("worker");
    vm.spec.rack = query.Text("rack");
    vm.spec.data_center = query.Text("dc");
    vm.spec.capacity = {query.Number("cpu", 0), query.Number("memory", 0),
                        query.Number("accelerators", 0)};
    vm.leaving = query.Number("leaving", 0) != 0;
  }

  FakeLogStore store_;
  std::map<std::string, ListedVm> vms_;
  bool list_down_ = false;
  std::int64_t delay_ms_ = 0;
  std::int64_t appends_ = 0;
};

int main(int argc, char** argv) {
  asio::io_context context(1);
  StandinPlatform platform;
  return basilspur::standins::RunStandin(
      {argv, static_cast<std::size_t>(argc)}, context,
      [&](HttpRequest request) { return platform.Answer(std::move(request)); });
}
