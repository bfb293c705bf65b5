#include "testbed/stand_in.h"

namespace rosearch::testbed::internal {

void fault_gate::Set(const server_request& request, const respond_function& respond) {
  const auto fault = ParseFault(request.body);
  if (!fault) {
    respond(BadRequest("not a fault: " + request.body));
    return;
  }
  fault_ = *fault;
  respond({});
}

respond_function fault_gate::Wrap(respond_function respond) {
  return [this, respond = std::move(respond)](server_reply reply) {
    if (fault_.lose_answers > 0) {
      --fault_.lose_answers;
      reply.how = delivery::kDropped;
    } else if (fault_.cut_answers > 0) {
      --fault_.cut_answers;
      reply.how = delivery::kPartial;
    } else if (fault_.garbage_answers > 0) {
      --fault_.garbage_answers;
      reply.body = "{\"broken\": ";
    } else if (fault_.chunked) {
      reply.how = delivery::kChunked;
    } else if (fault_.interim) {
      reply.how = delivery::kAfterInterim;
    }
    if (fault_.slow_ms.count() == 0) {
      respond(std::move(reply));
      return;
    }
    After(io_, fault_.slow_ms, [respond, reply = std::move(reply)] { respond(reply); });
  };
}

}  // namespace rosearch::testbed::internal
