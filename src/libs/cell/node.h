#ifndef BASILSPUR_CELL_NODE_H_
#define BASILSPUR_CELL_NODE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "cell/cell_balancer.h"
#include "cell/cell_member.h"
#include "cell/directory.h"
#include "cell/lag_watch.h"
#include "cell/layout.h"
#include "cell/peer_messages.h"
#include "net/http_client.h"

namespace basilspur::cell {

struct NodeSettings {
  CellMember::Identity identity;
  ElectionSettings election;
  CellOwnerSettings owner;
  int vms_per_cell = 80;
  int most_cells = 24;
  Millis layout_wait{1'500};  ///< After the first VMs were listed.
  Millis tick{100};
  LagSettings lag;
  Millis yield_pause{15'000};  ///< Before it runs for a cell that it yielded.
  Millis owner_patience{700};  ///< For an owner, if nothing is in doubt.
  Millis owner_retry{60};
  Millis answer_margin{150};  ///< Left of a caller's time for the answer.
};

/// One entry: answers callers' questions about jobs, itself or through the
/// owner of the job's cell, and owns cells while elected.
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
  /// Can answer callers.
  bool IsReady() const;
  /// How the cells stand that this node owns, by cell.
  std::map<int, jobs::CellSummary> Summaries() const;
  /// Answers within the request's patience. The request's cell is filled in.
  net::asio::awaitable<JobReply> Handle(JobRequest request);
  /// Answers a peer: only for cells that this node owns.
  net::asio::awaitable<JobReply> HandlePeer(JobRequest request);
  /// Hands over all cells; callers are answered on.
  net::asio::awaitable<void> Leave();

 private:
  net::asio::awaitable<void> Run();
  /// Asks the owner of the request's cell, and of that which took the job.
  net::asio::awaitable<JobReply> Ask(JobRequest request);
  net::asio::awaitable<JobReply> AskOnce(JobRequest request, Millis patience);
  net::asio::awaitable<JobReply> AskPeer(std::string address,
                                         JobRequest request, Millis patience);
  net::asio::awaitable<JobReply> CountAll(JobRequest request);
  net::asio::awaitable<void> WriteLayout();
  void OnLayout(const KeyedRecord& record);
  CellMember::Surroundings MakeSurroundings(int cell);
  /// Tells a new owner of the cell `owned` what owners have learned of tails.
  void TeachTails(CellOwner& owner, int owned);
  void OnTails(int cell, const records::Bytes& record);
  void OnListed(const jobs::VmListing& listing);
  void OnGone(const std::string& id);
  void FollowDirectory();
  int OwnedCells() const;
  /// Gives one cell away if the processor can't keep up.
  void CheckLag(Millis took);
  std::shared_ptr<CellOwner> MakeOwner(CellOwner::Ownership ownership,
                                       std::function<bool()> is_fresh,
                                       std::function<void()> on_deposed);

  net::asio::io_context& context_;
  Store& store_;
  VmClient& vm_client_;
  Directory& directory_;
  const Clock& clock_;
  NodeSettings settings_;
  net::HttpClient peers_;
  jobs::Catalog catalog_;
  Layout layout_;
  std::int64_t layout_end_ = -1;
  std::shared_ptr<TopicWatcher> layout_watcher_;
  std::map<std::string, jobs::VmListing> vms_;
  Millis newest_vm_;  ///< When the last one was listed for the first time.
  bool directory_started_ = false;
  bool writing_layout_ = false;
  bool leaving_ = false;
  std::vector<std::shared_ptr<CellMember>> members_;
  /// What the cells' owners have learned of tails, encoded, by cell.
  std::map<int, records::Bytes> tails_;
  LagWatch lag_;
  std::optional<CellBalancer> balancer_;  ///< Once the layout is known.
};

}  // namespace basilspur::cell

#endif  // BASILSPUR_CELL_NODE_H_
