#ifndef BASILSPUR_FRONT_SLOT_LOAN_MANAGER_H_
#define BASILSPUR_FRONT_SLOT_LOAN_MANAGER_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "front/request_router.h"
#include "link/messages.h"

namespace basilspur::front {

/// Lends free slots to peers on which requests wait, and borrows slots from
/// peers while requests wait here.
///
/// Thread safety: only the front's thread.
class SlotLoanManager {
 public:
  using Send = std::function<bool(const std::string& peer,
                                  const link::Message& message)>;

  /// Precondition: `router` and `clock` outlive the manager.
  SlotLoanManager(RequestRouter& router, const Clock& clock, Send send);

  void SetPeers(std::vector<std::string> peers) { peers_ = std::move(peers); }

  /// Handles LoadReport, SlotRequest and SlotLoan; ignores all other messages.
  void OnMessage(const std::string& peer, const link::Message& message);

  /// Reports this entry's load to the peers, and requests slots for services
  /// whose requests wait. Has to be called every few milliseconds.
  void ReportAndBorrow();

 private:
  /// The free slots of a service that a peer has last reported, less those that
  /// were requested since.
  struct Offer {
    std::int64_t free_slots = 0;
    Millis at;  ///< When the report arrived.
  };

  void ReportLoads(const std::vector<link::ServiceLoad>& loads, Millis now);
  void RequestSlots(const link::ServiceLoad& load, Millis now);

  RequestRouter& router_;
  const Clock& clock_;
  const Send send_;
  std::vector<std::string> peers_;
  std::map<std::string, std::map<std::string, Offer>> offers_;
  std::map<std::string, Millis> requested_at_;
  std::vector<link::ServiceLoad> last_reported_loads_;
  Millis last_report_at_;
};

}  // namespace basilspur::front

#endif  // BASILSPUR_FRONT_SLOT_LOAN_MANAGER_H_
