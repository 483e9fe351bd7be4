// Stand-in for the platform: a log with offsets and a list of VMs, both in
// memory. Requests to /control/ change the list of VMs, inject faults and
// return the number of appends.
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
  asio::awaitable<HttpResponse> HandleRequest(HttpRequest request) {
    const Query query = basilspur::standins::ParseQuery(request.target);
    if (query.path.rfind("/control/", 0) == 0) co_return HandleControl(query);
    if (response_delay_ms_ > 0)
      co_await basilspur::net::Sleep(Millis(response_delay_ms_));
    const bool lists_vms = query.path == "/vms";
    const bool down = lists_vms ? vm_list_down_ : store_.Faults().down;
    if (down) co_return ErrorResponse(kHttpUnavailable);
    if (lists_vms) co_return EncodedResponse(ListVms());
    const std::string stream = query.path.substr(std::string("/log/").size());
    if (request.method == "POST") {
      ++append_count_;
      const auto offset = store_.Append(
          stream, Bytes(request.body.begin(), request.body.end()));
      if (store_.Faults().lose_responses)
        co_return ErrorResponse(kHttpUnavailable);
      co_return EncodedResponse(offset);
    }
    const std::int64_t first_offset = query.IntegerParameter("from", 0);
    std::int64_t wait_ms = query.IntegerParameter("wait_ms", 0);
    auto slice = store_.Read(stream, first_offset);
    while (slice.entries.empty() && wait_ms > 0 && !store_.Faults().down) {
      co_await basilspur::net::Sleep(kReadPollInterval);
      wait_ms -= kReadPollInterval.count;
      slice = store_.Read(stream, first_offset);
    }
    co_return EncodedResponse(slice);
  }

 private:
  static HttpResponse ErrorResponse(unsigned status) {
    HttpResponse response;
    response.status = status;
    return response;
  }

  template <class T>
  static HttpResponse EncodedResponse(const T& value) {
    const Bytes bytes = records::Encode(value);
    HttpResponse response;
    response.body.assign(bytes.begin(), bytes.end());
    return response;
  }

  std::vector<ListedVm> ListVms() const {
    std::vector<ListedVm> vms;
    for (const auto& [name, vm] : vms_) vms.push_back(vm);
    return vms;
  }

  HttpResponse HandleControl(const Query& query) {
    HttpResponse response;
    response.body = "ok\n";
    if (query.path == "/control/log") {
      auto faults = store_.Faults();
      faults.down = query.IntegerParameter("down", faults.down) != 0;
      faults.lose_responses =
          query.IntegerParameter("lose", faults.lose_responses) != 0;
      faults.max_entries_per_stream =
          query.IntegerParameter("retention", faults.max_entries_per_stream);
      store_.SetFaults(faults);
      response_delay_ms_ =
          query.IntegerParameter("delay_ms", response_delay_ms_);
    } else if (query.path == "/control/list") {
      vm_list_down_ = query.IntegerParameter("down", vm_list_down_) != 0;
    } else if (query.path == "/control/appends") {
      response.body = std::to_string(append_count_) + "\n";
    } else if (query.path == "/control/vm") {
      PutVm(query);
    } else if (query.path == "/control/gone") {
      vms_.erase(query.TextParameter("name"));
    } else {
      return ErrorResponse(kHttpNotFound);
    }
    return response;
  }

  void PutVm(const Query& query) {
    ListedVm& vm = vms_[query.TextParameter("name")];
    vm.spec.name = query.TextParameter("name");
    vm.spec.worker_address = query.TextParameter("worker");
    vm.spec.rack = query.TextParameter("rack");
    vm.spec.data_center = query.TextParameter("dc");
    vm.spec.capacity = {query.IntegerParameter("cpu", 0),
                        query.IntegerParameter("memory", 0),
                        query.IntegerParameter("accelerators", 0)};
    vm.leaving = query.IntegerParameter("leaving", 0) != 0;
  }

  FakeLogStore store_;
  std::map<std::string, ListedVm> vms_;
  bool vm_list_down_ = false;
  std::int64_t response_delay_ms_ = 0;
  std::int64_t append_count_ = 0;
};

int main(int argc, char** argv) {
  asio::io_context context(1);
  StandinPlatform platform;
  return basilspur::standins::RunStandin(
      {argv, static_cast<std::size_t>(argc)}, context,
      [&](HttpRequest request) {
        return platform.HandleRequest(std::move(request));
      });
}
