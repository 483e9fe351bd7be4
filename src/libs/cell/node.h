#ifndef BASILSPUR_CELL_NODE_H_
#define BASILSPUR_CELL_NODE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "cell/cell_balancer.h"
#include "cell/cell_member.h"
#include "cell/directory.h"
#include "cell/lag_watch.h"
#include "cell/layout.h"
#include "cell/member_starts.h"
#include "cell/peer_contacts.h"
#include "cell/peer_messages.h"
#include "cell/request_forwarder.h"
#include "net/http_client.h"

namespace basilspur::cell {

struct Fleet;

struct NodeSettings {
  CellMember::Identity identity;
  ElectionSettings election;
  CellOwnerSettings owner;
  int vms_per_cell = 80;
  int max_cells = 24;
  /// Gives each cell a part of each data center, so that closing one does not
  /// take a cell's VMs all at once. Used when the layout is written.
  bool spread_data_centers = false;
  /// The layout is written once no new VM was listed for this long.
  Millis layout_delay{1'500};
  Millis tick_interval{100};
  LagSettings lag;
  /// How long the node does not campaign for a cell that it yielded.
  Millis yield_cooldown{15'000};
  ForwardSettings forward;
  /// Whether starts may be sent, by how old the knowledge is that they depend
  /// on; empty: always.
  std::function<bool()> may_start;
  /// How old that knowledge is, as log fields with leading spaces.
  std::function<std::string()> knowledge_age;
};

/// The node of one entry: serves callers' requests about jobs, itself or
/// through the owner of the job's cell, and owns cells while it is elected.
///
/// Thread safety: only from the thread of its io_context.
class Node {
 public:
  /// Precondition: the references outlive the object.
  Node(net::asio::io_context& context, Store& store, VmClient& vms,
       Directory& directory, const Clock& clock, NodeSettings settings);
  ~Node();

  void Start();
  /// A newer configuration is in force.
  void OnCatalog(jobs::Catalog catalog);
  const jobs::Catalog& Catalog() const { return catalog_; }
  /// Operators have closed or opened data centers. Call before the first
  /// OnCatalog, without which no cell is owned.
  void OnClosures(const jobs::DataCenterClosures& closures);
  /// Returns whether callers can be served.
  bool IsReady() const;
  /// Summaries of the cells that this node owns, by cell.
  std::map<int, jobs::CellSummary> Summaries() const;
  /// Counts of the cells that this node owns.
  std::map<int, jobs::DelegationCounts> Delegations() const;
  /// Serves a caller's request within its time limit. Sets the request's cell
  /// itself.
  net::asio::awaitable<JobReply> Handle(JobRequest request);
  /// Serves another entry's call. Answers 400 if it is not understood.
  net::asio::awaitable<net::HttpResponse> HandlePeerCall(
      net::HttpRequest request);
  /// Another entry has given its call up after `age`, before it was handled.
  void OnPeerCallAbandoned(Millis age);
  /// Hands over all cells, and returns after `limit` at the latest. Callers are
  /// still served. Returns whether no cell is left.
  net::asio::awaitable<bool> Leave(Millis limit);
  /// Answers all requests of callers by this time, also later ones.
  void LimitReplies(Millis reply_by) { forwarder_.LimitReplies(reply_by); }
  const RequestForwarder::Counters& ForwardCounts() const {
    return forwarder_.Counts();
  }
  const jobs::AdmissionPolicy::Counters& AdmissionCounts() const {
    return admission_.Counts();
  }
  /// Whether the entry reports itself not ready because it reaches no owner.
  bool IsCutOff() const;

 private:
  RequestForwarder::Callbacks MakeForwarderCallbacks();
  void StartTicks();
  net::asio::awaitable<void> Run();
  /// Serves a peer's request, but only for cells that this node owns.
  net::asio::awaitable<JobReply> HandlePeerRequest(JobRequest request,
                                                   Millis age);
  OwnerProbeReply HandleProbe(const OwnerProbe& probe, Millis age);
  net::asio::awaitable<DelegationReply> HandleDelegation(
      DelegationRequest request);
  /// A request of another entry to the cell was read after it had waited for
  /// `age` on this machine.
  void NoteRead(int cell, Millis age);
  /// Sends a delegation to the known owner of its cell, once.
  net::asio::awaitable<DelegationReply> SendDelegation(
      DelegationRequest request);
  net::asio::awaitable<Result<OwnerProbeReply>> ProbePeer(std::string address,
                                                          OwnerProbe probe);
  /// Returns the reply's body; empty if the call is not understood. `age` is
  /// how long the call had waited on this machine when it was read.
  net::asio::awaitable<std::optional<std::string>> ServePeerCall(
      std::string path, std::string body, Millis age);
  net::asio::awaitable<Result<net::HttpResponse>> Post(std::string address,
                                                       const char* path,
                                                       std::string body,
                                                       Millis timeout);
  template <class Reply>
  net::asio::awaitable<Result<Reply>> PostToPeer(std::string address,
                                                 const char* path,
                                                 std::string body,
                                                 Millis timeout);
  void NoteCall(const std::string& address, const Error& error, Millis timeout);
  /// Asks another entry whether it reaches an owner, while this one does not.
  void CheckPeers();
  void LogReachability();
  net::asio::awaitable<JobReply> CallPeer(std::string address,
                                          JobRequest request, Millis timeout);
  net::asio::awaitable<JobReply> CountAllCells(JobRequest request);
  net::asio::awaitable<void> WriteLayout();
  void OnLayout(const KeyedRecord& record);
  CellMember::Callbacks MakeMemberCallbacks(int cell);
  void StartDueMembers();
  /// Returns the member of the cell, which begins to follow it if it has not.
  const std::shared_ptr<CellMember>& MemberFor(int cell);
  /// Passes the owners' published tail-latency estimates to a new owner of the
  /// cell `owned`.
  void InitializeTails(CellOwner& owner, int owned);
  void OnTailRecord(int cell, const jobs::TailRecord& record);
  void OnVmListed(const jobs::VmListing& listing);
  void OnVmUnlisted(const std::string& id);
  /// Reads the list of VMs only while this node owns a cell or is about to:
  /// each VM rewrites its entry all the time.
  void UpdateDirectory();
  bool NeedsDirectory() const;
  void StartDirectory();
  int OwnedCells() const;
  /// Yields one cell if ticks show that the processor is overloaded.
  void CheckLag(Millis took);
  /// The VMs as far as this entry has read their list.
  Fleet MakeFleet() const;
  CellOwner::Callbacks MakeOwnerCallbacks();
  std::shared_ptr<CellOwner> MakeOwner(CellOwner::Ownership ownership,
                                       CellOwner::Standing standing);

  net::asio::io_context& context_;
  Store& store_;
  VmClient& vm_client_;
  Directory& directory_;
  const Clock& clock_;
  NodeSettings settings_;
  net::HttpClient peers_;
  jobs::Catalog catalog_;
  jobs::DataCenterClosures closures_;
  Layout layout_;
  std::optional<MemberStarts> member_starts_;  ///< Once the layout is known.
  std::int64_t layout_end_ = -1;
  std::shared_ptr<TopicWatcher> layout_watcher_;
  std::map<std::string, jobs::VmListing> vms_;
  Millis last_new_vm_;  ///< When a VM was last listed for the first time.
  bool directory_started_ = false;
  Millis directory_needed_at_;  ///< Last time.
  bool writing_layout_ = false;
  bool leaving_ = false;
  std::vector<std::shared_ptr<CellMember>> members_;
  /// Tail-latency estimates that the cells' owners published, by cell.
  std::map<int, jobs::TailRecord> tail_records_;
  LagWatch lag_watch_;
  jobs::AdmissionPolicy admission_;
  PeerContacts contacts_;
  RequestForwarder forwarder_;
  bool logged_cut_off_ = false;
  std::optional<CellBalancer> balancer_;  ///< Set once the layout is known.
};

}  // namespace basilspur::cell

#endif  // BASILSPUR_CELL_NODE_H_
