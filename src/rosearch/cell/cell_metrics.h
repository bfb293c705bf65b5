#ifndef ROSEARCH_CELL_CELL_METRICS_H_
#define ROSEARCH_CELL_CELL_METRICS_H_

#include <string>
#include <string_view>

#include "rosearch/metrics/metric_set.h"

namespace rosearch::cell {

/// Registers the help texts of the metrics of a cell's process.
void DescribeCellMetrics(metric_set& metrics);

/// @return a metric's name with one label.
[[nodiscard]] std::string Labelled(std::string_view name, std::string_view label,
                                   std::string_view value);

/// @return a metric's name with two labels.
[[nodiscard]] std::string Labelled(std::string_view name, std::string_view label,
                                   std::string_view value, std::string_view second,
                                   std::string_view second_value);

}  // namespace rosearch::cell

#endif  // ROSEARCH_CELL_CELL_METRICS_H_
