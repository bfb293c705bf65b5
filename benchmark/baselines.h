#ifndef ROSEARCH_BENCHMARK_BASELINES_H_
#define ROSEARCH_BENCHMARK_BASELINES_H_

#include <cstddef>
#include <iterator>
#include <limits>
#include <memory>
#include <optional>
#include <vector>

#include "rosearch/core/random_source.h"
#include "rosearch/placement/ledger.h"
#include "rosearch/placement/placement_request.h"
#include "rosearch/placement/search.h"

namespace rosearch::baseline {

/// Looks at every VM and takes the one with the least left over, each part relative to the VM.
struct full_scan {
  [[nodiscard]] std::optional<vm_id> Choose(const ledger& book,
                                            const placement_request& request) const {
    const vm_state* best = nullptr;
    auto least = std::numeric_limits<double>::max();
    for (const auto& [id, vm] : book) {
      if (!vm.open || !internal::CanTake(request, vm)) {
        continue;
      }
      const auto left = LeftOver(vm, request.needs);
      if (left < least) {
        least = left;
        best = &vm;
      }
    }
    return best == nullptr ? std::nullopt : std::optional{best->facts.vm};
  }

  [[nodiscard]] static double LeftOver(const vm_state& vm, const resources& needs) {
    const auto left = vm.Room() - needs;
    const auto share = [](std::int64_t part, std::int64_t held) {
      return held > 0 ? static_cast<double>(part) / static_cast<double>(held) : 0.0;
    };
    return share(left.processors_milli, vm.facts.holds.processors_milli) +
           share(left.memory_mb, vm.facts.holds.memory_mb) +
           share(left.accelerators, vm.facts.holds.accelerators);
  }
};

/// The VMs of a ledger by position, read once: a random choice needs no index.
class sampler {
 public:
  sampler(const ledger& book, std::uint64_t seed) : random_{std::make_shared<random_source>(seed)} {
    for (const auto& [id, vm] : book) {
      vms_.push_back(&vm);
    }
  }

  [[nodiscard]] const vm_state& Draw() const {
    return *vms_[static_cast<std::size_t>(
        random_->Between(0, static_cast<std::int64_t>(vms_.size()) - 1))];
  }

  /// @return the first VM with room from a random one on, or null: also a random choice has to find
  ///   room where there is some.
  [[nodiscard]] const vm_state* FirstFrom(const placement_request& request) const {
    const auto start =
        static_cast<std::size_t>(random_->Between(0, static_cast<std::int64_t>(vms_.size()) - 1));
    for (std::size_t step = 0; step < vms_.size(); ++step) {
      const auto* const vm = vms_[(start + step) % vms_.size()];
      if (vm->open && internal::CanTake(request, *vm)) {
        return vm;
      }
    }
    return nullptr;
  }

 private:
  std::vector<const vm_state*> vms_;
  std::shared_ptr<random_source> random_;
};

/// Takes the first VM with room from a random one on.
struct random_choice {
  sampler vms;

  [[nodiscard]] std::optional<vm_id> Choose(const ledger& /*book*/,
                                            const placement_request& request) const {
    const auto* const vm = vms.FirstFrom(request);
    return vm == nullptr ? std::nullopt : std::optional{vm->facts.vm};
  }
};

/// Draws two VMs and takes the less loaded one that has room.
struct two_choices {
  sampler vms;

  [[nodiscard]] std::optional<vm_id> Choose(const ledger& /*book*/,
                                            const placement_request& request) const {
    const auto* const a = Usable(vms.Draw(), request);
    const auto* const b = Usable(vms.Draw(), request);
    const auto* best = a == nullptr || (b != nullptr && b->Load() < a->Load()) ? b : a;
    best = best == nullptr ? vms.FirstFrom(request) : best;
    return best == nullptr ? std::nullopt : std::optional{best->facts.vm};
  }

  [[nodiscard]] static const vm_state* Usable(const vm_state& vm,
                                              const placement_request& request) {
    return vm.open && internal::CanTake(request, vm) ? &vm : nullptr;
  }
};

}  // namespace rosearch::baseline

#endif  // ROSEARCH_BENCHMARK_BASELINES_H_
