#ifndef ROSEARCH_SCHED_JOB_SCOPE_H_
#define ROSEARCH_SCHED_JOB_SCOPE_H_

#include <string_view>

namespace rosearch::sched {

/// The jobs that a caller may see and cancel.
struct job_scope {
  std::string_view queue{};
  std::string_view customer{};  ///< empty: of any customer, as the queue is open to anybody

  /// @return whether a job of this queue and customer is among them. A job without a customer was
  ///         accepted before its queue required keys.
  [[nodiscard]] bool Covers(std::string_view job_queue, std::string_view job_customer) const {
    return job_queue == queue &&
           (customer.empty() || job_customer.empty() || job_customer == customer);
  }

  friend bool operator==(const job_scope&, const job_scope&) = default;
};

}  // namespace rosearch::sched

#endif  // ROSEARCH_SCHED_JOB_SCOPE_H_
