#include <utility>

#include "cell/cell_choices.h"
#include "cell/eligible_cells.h"
#include "cell/node.h"

namespace basilspur::cell {

Fleet Node::MakeFleet() const {
  return {vms_, closures_, [this](const jobs::VmListing& vm) {
            return layout_.CellOfRack(vm.rack);
          }};
}

CellOwner::Callbacks Node::MakeOwnerCallbacks() {
  CellOwner::Callbacks callbacks;
  AddCellChoices(callbacks, *balancer_, [this] { return MakeFleet(); });
  callbacks.forward_request = [this](JobRequest request) {
    return forwarder_.Forward(std::move(request));
  };
  callbacks.check_admission = [this](const std::string& service,
                                     const jobs::JobSpec& spec) {
    return admission_.Check(service, spec, vms_, clock_.Monotonic());
  };
  callbacks.send_delegation = [this](DelegationRequest request) {
    return SendDelegation(std::move(request));
  };
  callbacks.may_start = settings_.may_start;
  callbacks.knowledge_age = settings_.knowledge_age;
  return callbacks;
}

std::shared_ptr<CellOwner> Node::MakeOwner(CellOwner::Ownership ownership,
                                           CellOwner::Standing standing) {
  StartDirectory();
  auto owner = std::make_shared<CellOwner>(
      context_, store_, vm_client_, clock_, settings_.owner, ownership,
      MakeOwnerCallbacks(), std::move(standing));
  owner->OnCatalog(catalog_);
  owner->OnClosures(closures_);
  InitializeTails(*owner, ownership.cell);
  for (const auto& [id, listing] : vms_) {
    if (layout_.CellOfRack(listing.rack) == ownership.cell)
      owner->OnVmListed(listing);
  }
  return owner;
}

}  // namespace basilspur::cell
