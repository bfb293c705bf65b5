#ifndef SOAK_CALLERS_H_
#define SOAK_CALLERS_H_

#include <cstdint>
#include <memory>
#include <string>

#include "soak/world.h"

namespace rosearch::soak {

/// Callers and operators: send requests and jobs, ask again, cancel, publish.
class callers {
 public:
  explicit callers(world& all) : world_{all} {}

  /// Does what callers do in one step.
  void Step();
  void Publish();
  void CancelWave();
  /// Asks how each accepted job stands that isn't over.
  void AskForJobs();
  /// @return how many accepted jobs are not yet as they should be, and open calls.
  [[nodiscard]] std::size_t Unfinished() const;
  [[nodiscard]] std::string UnfinishedNames() const;

 private:
  struct request_plan {
    std::string id;
    std::string body;
    bool idempotent{false};
    std::uint64_t issued_ms{0};
    moment patience{0};
    int tries_left{0};
  };

  void NewRequest();
  void Send(request_plan plan);
  void Retry(request_plan plan);
  void NewJob();
  void Submit(const std::string& name, int tries_left);
  void Cancel(const std::string& name, int tries_left);
  void Ask(const std::string& name);
  void OnStatus(const std::string& name, const wire::call_answer& answer);
  /// Makes a call at some entry. `done` gets null where the entry was lost with the call.
  void CallAt(std::size_t index, wire::call call, moment limit,
              std::function<void(const wire::call_answer*)> done);
  [[nodiscard]] bool ServiceStands(const job_facts& job) const;

  world& world_;
  std::uint64_t next_{0};
  std::size_t open_calls_{0};
  std::uint64_t changes_{0};
};

}  // namespace rosearch::soak

#endif  // SOAK_CALLERS_H_
