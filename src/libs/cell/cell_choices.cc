#include "cell/cell_choices.h"

#include <utility>

#include "cell/cell_balancer.h"
#include "cell/eligible_cells.h"

namespace basilspur::cell {

void AddCellChoices(CellOwner::Callbacks& callbacks, CellBalancer& balancer,
                    std::function<Fleet()> make_fleet) {
  callbacks.choose_cell = [&balancer, make_fleet](int home_cell,
                                                  const std::string& job,
                                                  const std::string& service,
                                                  const jobs::JobSpec& spec) {
    return balancer.ChooseCell(home_cell, job, spec,
                               EligibleCells(make_fleet(), service, spec));
  };
  callbacks.choose_host =
      [&balancer](int home_cell, const records::Resources& need, int excluded) {
        return balancer.ChooseHost(home_cell, need, excluded);
      };
  callbacks.choose_host_with_label =
      [&balancer](int home_cell, const records::Resources& need,
                  const std::string& label, int excluded) {
        return balancer.ChooseHostWithLabel(home_cell, need, label, excluded);
      };
  callbacks.has_room_elsewhere = [&balancer](int home_cell) {
    return balancer.HasRoomElsewhere(home_cell);
  };
  callbacks.choose_host_of_short_task =
      [&balancer](int home_cell, const records::Resources& need, int excluded) {
        return balancer.ChooseHostOfShortTask(home_cell, need, excluded);
      };
  callbacks.choose_host_of_gang = [&balancer,
                                   make_fleet = std::move(make_fleet)](
                                      int home_cell, const std::string& service,
                                      const jobs::StepSpec& step,
                                      int excluded) {
    jobs::JobSpec gang;
    gang.steps = {step};
    return balancer.ChooseHostOfGang(
        home_cell, step, EligibleCells(make_fleet(), service, gang), excluded);
  };
}

}  // namespace basilspur::cell
