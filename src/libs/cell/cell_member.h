#ifndef BASILSPUR_CELL_CELL_MEMBER_H_
#define BASILSPUR_CELL_CELL_MEMBER_H_

#include <functional>
#include <memory>
#include <string>

#include "cell/cell_owner.h"
#include "cell/election.h"
#include "cell/store.h"
#include "cell/topic_watcher.h"

namespace basilspur::cell {

/// This node's part in one cell: follows who owns it, runs for it, and owns
/// it while elected.
///
/// Thread safety: only from the thread of its io_context.
class CellMember : public std::enable_shared_from_this<CellMember> {
 public:
  struct Identity {
    std::string node;
    std::string incarnation;
    std::string peer_address;
  };
  /// What a member asks of the entry that it is part of, and tells it.
  struct Surroundings {
    /// Makes the owner of an ownership that has begun, with the catalog and
    /// the VMs known.
    std::function<std::shared_ptr<CellOwner>(CellOwner::Ownership ownership,
                                             std::function<bool()> is_fresh,
                                             std::function<void()> on_deposed)>
        make_owner;
    /// Sends a request to the entry at an address.
    std::function<net::asio::awaitable<JobReply>(
        std::string address, JobRequest request, Millis patience)>
        ask_peer;
    /// The cell's owner has told how full the cell is.
    std::function<void(const CellLoad& load)> on_load;
    /// The cell's owner has told what it learned of tails, encoded.
    std::function<void(const records::Bytes& record)> on_tails;
  };

  /// Precondition: the references outlive the object.
  CellMember(net::asio::io_context& context, Store& store, const Clock& clock,
             Identity identity, ElectionSettings settings, int cell,
             std::uint64_t seed, Surroundings surroundings);

  void Start();
  /// Looks at what time alone changes. `owned`: cells this node owns.
  void Tick(int owned);
  /// Null while another node owns the cell, or none.
  CellOwner* Owner() const { return owner_.get(); }
  bool Owns() const { return election_.Owns(); }
  /// The owner as last read; empty if there is none.
  const std::optional<OwnerRecord>& KnownOwner() const {
    return election_.Owner();
  }
  /// A peer owns the cell by `token`: ends an older ownership of this node.
  void OnStandDown(std::int64_t token);
  void OnOwnerDead(const std::string& incarnation);
  /// Hands the cell over, if this node owns it. It does not run again.
  net::asio::awaitable<void> Leave();
  /// Hands the cell over to another node, and does not run for a while.
  net::asio::awaitable<void> Yield(Millis pause);

 private:
  void OnRecord(const KeyedRecord& record);
  void OnOwnerRecord(const KeyedRecord& record);
  void NoteSilentVms(const OwnerRecord& record);
  void Follow();
  net::asio::awaitable<void> HandOver();
  net::asio::awaitable<void> AppendRecord(OwnerRecord record);
  net::asio::awaitable<void> LookAgain(Millis sent);
  void DropOwner();
  net::asio::awaitable<void> Dismiss(FormerOwner former, std::int64_t token);

  net::asio::io_context& context_;
  Store& store_;
  const Clock& clock_;
  Identity identity_;
  int cell_;
  Partition partition_;
  Election election_;
  Surroundings surroundings_;
  Millis tails_told_;
  bool load_told_ = false;  ///< By this ownership.
  std::shared_ptr<TopicWatcher> watcher_;
  std::shared_ptr<CellOwner> owner_;
  std::int64_t owner_token_ = -1;
  /// Named by the last record of another ownership.
  std::vector<jobs::UnreachableVm> silent_;
  bool appending_ = false;
  bool leaving_ = false;
  bool yielding_ = false;
  Millis runs_from_;  ///< After a yield.
};

}  // namespace basilspur::cell

#endif  // BASILSPUR_CELL_CELL_MEMBER_H_
