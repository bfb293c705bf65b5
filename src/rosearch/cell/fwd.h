#ifndef ROSEARCH_CELL_FWD_H_
#define ROSEARCH_CELL_FWD_H_

namespace rosearch::cell {

class advice_dispatcher;
class election;
class peer_link;
class queue_shedding;
class relayed_client;
class settling_period;
struct cell_settings;
struct leader_fitness;
struct shed_offer;

}  // namespace rosearch::cell

#endif  // ROSEARCH_CELL_FWD_H_
