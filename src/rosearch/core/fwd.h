#ifndef ROSEARCH_CORE_FWD_H_
#define ROSEARCH_CORE_FWD_H_

namespace rosearch {

enum class error_kind;
enum class outcome;
struct error;
struct resources;
class random_source;

}  // namespace rosearch

#endif  // ROSEARCH_CORE_FWD_H_
