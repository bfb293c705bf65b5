#ifndef ROSEARCH_CORE_RESULT_H_
#define ROSEARCH_CORE_RESULT_H_

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/try.hpp>

#include "rosearch/core/error.h"

namespace rosearch {

/// A value or an `error`. Accessing the absent one terminates the process.
template <typename T>
using result = boost::outcome_v2::basic_result<T, error, boost::outcome_v2::policy::terminate>;

}  // namespace rosearch

#endif  // ROSEARCH_CORE_RESULT_H_
