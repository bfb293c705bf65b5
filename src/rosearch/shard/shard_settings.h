#ifndef ROSEARCH_SHARD_SHARD_SETTINGS_H_
#define ROSEARCH_SHARD_SHARD_SETTINGS_H_

#include "rosearch/capacity/pool_settings.h"
#include "rosearch/ownership/rights_settings.h"
#include "rosearch/shard/job_settings.h"
#include "rosearch/shard/request_table.h"

namespace rosearch {

/// Everything that a shard is told at its start.
struct shard_settings {
  rights_settings rights;
  pool_settings pool;
  job_settings jobs;
  request_settings requests;
};

}  // namespace rosearch

#endif  // ROSEARCH_SHARD_SHARD_SETTINGS_H_
