#include "link/peer_mesh.h"

#include <mutex>
#include <optional>
#include <span>
#include <thread>
#include <utility>
#include <vector>

#include "base/logging.h"
#include "link/websocket_mesh.h"
#include "net/address.h"
#include "records/codec.h"

namespace basilspur::link {

using internal::ConnectionId;
using records::EntryRef;

static constexpr LogCategory kLog("link");
static constexpr Millis kHeartbeatInterval(300);
static constexpr Millis kReplyTimeout(2'000);
static constexpr Millis kReconnectInterval(300);

class PeerMesh::Private {
 public:
  Private(EntryRef self, const Clock& clock, Handler handler)
      : self_(std::move(self)),
        clock_(clock),
        handler_(std::move(handler)),
        mesh_(MakeCallbacks()) {}

  Status Start(const std::string& listen_address) {
    const Result<net::Address> address = net::ParseAddress(listen_address);
    if (!IsOk(address)) return ErrorOf(address);
    const std::string failure =
        mesh_.Listen(ValueOf(address).ip, ValueOf(address).port);
    if (!failure.empty()) {
      return Error{ErrorCode::kUnavailable, "listen", listen_address, failure};
    }
    thread_ = std::thread([this] { mesh_.Run(); });
    return {};
  }

  void Stop() {
    mesh_.Stop();
    if (thread_.joinable()) thread_.join();
  }

  void SetPeers(std::map<std::string, std::string> addresses) {
    const std::lock_guard lock(mutex_);
    std::vector<ConnectionId> obsolete;
    for (auto& [name, link] : outbound_links_) {
      const auto wanted = addresses.find(name);
      if (wanted == addresses.end() || wanted->second != link.address) {
        obsolete.push_back(link.connection);
      }
    }
    addresses_ = std::move(addresses);
    for (const ConnectionId id : obsolete) mesh_.Close(id);
  }

  void AnnounceStop() {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    for (const auto& [name, link] : outbound_links_) {
      if (link.open) EncodeAndSend(link.connection, Heartbeat{stopping_});
    }
  }

  bool Send(const std::string& peer, const Message& message) {
    const std::lock_guard lock(mutex_);
    const auto found = outbound_links_.find(peer);
    if (found == outbound_links_.end() || !found->second.open) return false;
    EncodeAndSend(found->second.connection, message);
    return true;
  }

  std::set<std::string> ActivePeers(Millis window) const {
    const Millis now = clock_.Monotonic();
    const std::lock_guard lock(mutex_);
    std::set<std::string> names;
    for (const auto& [name, activity] : peer_activity_) {
      if (!activity.stopping && activity.last_received + window >= now)
        names.insert(name);
    }
    return names;
  }

  std::set<EntryRef> SeenIncarnations() const {
    const std::lock_guard lock(mutex_);
    return seen_incarnations_;
  }

  std::set<EntryRef> AcknowledgingIncarnations() const {
    const std::lock_guard lock(mutex_);
    return acknowledging_incarnations_;
  }

 private:
  /// A connection that this entry has opened; open after the peer's Hello.
  struct OutboundLink {
    std::string address;
    ConnectionId connection = 0;
    bool open = false;
    Millis last_reply;
    Millis last_heartbeat;
  };
  struct PeerActivity {
    Millis last_received;
    bool stopping = false;
  };

  internal::MeshCallbacks MakeCallbacks() {
    internal::MeshCallbacks callbacks;
    callbacks.on_opened = [this](ConnectionId id, bool outbound) {
      OnOpened(id, outbound);
    };
    callbacks.on_received = [this](ConnectionId id,
                                   const std::string& message) {
      OnReceived(id, message);
    };
    callbacks.on_closed = [this](ConnectionId id) { OnClosed(id); };
    callbacks.on_tick = [this] { OnTick(); };
    return callbacks;
  }

  void EncodeAndSend(ConnectionId id, const Message& message) {
    const records::Bytes bytes = records::Encode(message);
    mesh_.Send(id, std::string(bytes.begin(), bytes.end()));
  }

  void OnOpened(ConnectionId id, bool outbound) {
    const std::lock_guard lock(mutex_);
    EncodeAndSend(id, Hello{self_});
    if (!outbound) return;
    for (auto& [name, link] : outbound_links_) {
      if (link.connection == id) link.last_reply = clock_.Monotonic();
    }
  }

  void OnReceived(ConnectionId id, const std::string& bytes) {
    const std::span<const std::uint8_t> view(
        reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
    const Result<Message> decoded = records::Decode<Message>(view);
    if (!IsOk(decoded)) {
      kLog.Warning(
          "Message of a peer can't be decoded; its connection is closed, and "
          "the end that opened it connects again.");
      mesh_.Close(id);
      return;
    }
    const Message& message = ValueOf(decoded);
    std::optional<EntryRef> sender;
    {
      const std::lock_guard lock(mutex_);
      sender = ProcessControlMessage(id, message);
    }
    if (sender) handler_(*sender, message);
  }

  /// Processes messages that maintain the link itself. Returns the sender if
  /// the message has to be passed to the handler.
  std::optional<EntryRef> ProcessControlMessage(ConnectionId id,
                                                const Message& message) {
    if (const auto* hello = std::get_if<Hello>(&message)) {
      OnHello(id, hello->sender);
      return std::nullopt;
    }
    const auto sender = senders_by_connection_.find(id);
    if (sender == senders_by_connection_.end()) {
      mesh_.Close(id);
      return std::nullopt;
    }
    peer_activity_[sender->second.name].last_received = clock_.Monotonic();
    if (const auto* heartbeat = std::get_if<Heartbeat>(&message)) {
      peer_activity_[sender->second.name].stopping = heartbeat->stopping;
      EncodeAndSend(id, HeartbeatReply{});
      return std::nullopt;
    }
    if (std::holds_alternative<HeartbeatReply>(message)) {
      acknowledging_incarnations_.insert(sender->second);
      const auto link = outbound_links_.find(sender->second.name);
      if (link != outbound_links_.end()) {
        link->second.last_reply = clock_.Monotonic();
      }
      return std::nullopt;
    }
    return sender->second;
  }

  void OnHello(ConnectionId id, const EntryRef& sender) {
    senders_by_connection_[id] = sender;
    seen_incarnations_.insert(sender);
    peer_activity_[sender.name] = {clock_.Monotonic(), false};
    const auto link = outbound_links_.find(sender.name);
    if (link != outbound_links_.end() && link->second.connection == id) {
      link->second.open = true;
      link->second.last_reply = clock_.Monotonic();
    }
  }

  void OnClosed(ConnectionId id) {
    const std::lock_guard lock(mutex_);
    senders_by_connection_.erase(id);
    std::erase_if(outbound_links_, [&](const auto& item) {
      return item.second.connection == id;
    });
  }

  void OnTick() {
    const std::lock_guard lock(mutex_);
    const Millis now = clock_.Monotonic();
    for (const auto& [name, address] : addresses_) {
      if (outbound_links_.contains(name)) continue;
      Millis& last_attempt = last_connect_attempts_[name];
      if (last_attempt + kReconnectInterval > now) continue;
      last_attempt = now;
      outbound_links_[name] = {address, mesh_.Connect(address), false, now, {}};
    }
    for (auto& [name, link] : outbound_links_) SendHeartbeat(link, now);
  }

  void SendHeartbeat(OutboundLink& link, Millis now) {
    if (link.last_reply + kReplyTimeout < now) {
      mesh_.Close(link.connection);
      return;
    }
    if (!link.open) return;
    if (link.last_heartbeat + kHeartbeatInterval > now) return;
    link.last_heartbeat = now;
    EncodeAndSend(link.connection, Heartbeat{stopping_});
  }

  const EntryRef self_;
  const Clock& clock_;
  const Handler handler_;

  mutable std::mutex mutex_;
  bool stopping_ = false;
  std::map<std::string, std::string> addresses_;
  std::map<std::string, OutboundLink> outbound_links_;
  std::map<std::string, Millis> last_connect_attempts_;
  std::map<ConnectionId, EntryRef> senders_by_connection_;
  std::map<std::string, PeerActivity> peer_activity_;
  std::set<EntryRef> seen_incarnations_;
  std::set<EntryRef> acknowledging_incarnations_;

  internal::WebsocketMesh mesh_;
  std::thread thread_;
};

PeerMesh::PeerMesh(EntryRef self, const Clock& clock, Handler handler)
    : d_(std::make_unique<Private>(std::move(self), clock,
                                   std::move(handler))) {}

PeerMesh::~PeerMesh() { Stop(); }

Status PeerMesh::Start(const std::string& listen_address) {
  return d_->Start(listen_address);
}

void PeerMesh::Stop() { d_->Stop(); }

void PeerMesh::SetPeers(std::map<std::string, std::string> addresses) {
  d_->SetPeers(std::move(addresses));
}

void PeerMesh::AnnounceStop() { d_->AnnounceStop(); }

bool PeerMesh::Send(const std::string& peer, const Message& message) {
  return d_->Send(peer, message);
}

std::set<std::string> PeerMesh::ActivePeers(Millis window) const {
  return d_->ActivePeers(window);
}

std::set<EntryRef> PeerMesh::SeenIncarnations() const {
  return d_->SeenIncarnations();
}

std::set<EntryRef> PeerMesh::AcknowledgingIncarnations() const {
  return d_->AcknowledgingIncarnations();
}

}  // namespace basilspur::link
