#ifndef ROSEARCH_CELL_FWD_H_
#define ROSEARCH_CELL_FWD_H_

namespace rosearch::cell {

class advice_dispatcher;
class call_intake;
class election;
class former_leaders;
class leadership_proof;
class peer_link;
class predecessor_watch;
class relayed_client;
class settling_period;
struct cell_settings;
struct leader_fitness;

}  // namespace rosearch::cell

#endif  // ROSEARCH_CELL_FWD_H_
