#ifndef ROSEARCH_PLACEMENT_POLICY_H_
#define ROSEARCH_PLACEMENT_POLICY_H_

#include <concepts>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "rosearch/core/id.h"
#include "rosearch/core/result.h"
#include "rosearch/placement/ledger.h"
#include "rosearch/placement/placement_request.h"

namespace rosearch {

/// A way to choose a VM: the same ledger and request always give the same VM.
template <typename T>
concept placement_policy = std::copy_constructible<T> &&
    requires(const T& chooser, const ledger& book, const placement_request& request) {
  { chooser.Choose(book, request) } -> std::same_as<std::optional<vm_id>>;
};

/// Any `placement_policy` with the name that rules use for it.
class policy {
 public:
  /// @param name  the word in rules.
  /// @param chooser  decides.
  template <placement_policy T>
  policy(std::string name, T chooser)
      : name_{std::move(name)}, chooser_{std::make_unique<model<T>>(std::move(chooser))} {}

  /// @return the word in rules.
  [[nodiscard]] const std::string& name() const noexcept { return name_; }

  /// @return an open VM with room for the request and outside `avoid`; nothing where there is none.
  [[nodiscard]] std::optional<vm_id> Choose(const ledger& book,
                                            const placement_request& request) const {
    return chooser_->Choose(book, request);
  }

 private:
  struct base {
    base() = default;
    base(const base&) = delete;
    base& operator=(const base&) = delete;
    virtual ~base() = default;
    [[nodiscard]] virtual std::optional<vm_id> Choose(const ledger& book,
                                                      const placement_request& request) const = 0;
  };

  template <placement_policy T>
  struct model final : base {
    explicit model(T value) : chooser{std::move(value)} {}
    [[nodiscard]] std::optional<vm_id> Choose(const ledger& book,
                                              const placement_request& request) const override {
      return chooser.Choose(book, request);
    }
    T chooser;
  };

  std::string name_;
  std::unique_ptr<const base> chooser_;
};

/// Every policy that is linked in, by name. Filled before `main` and only read from then on.
class policy_registry {
 public:
  /// @param name  a word of a rule.
  /// @return the policy of that name, which lives as long as the process, or `kInvalidRequest`
  ///   with the names that there are.
  [[nodiscard]] static result<const policy*> Find(std::string_view name);

  /// @return the name of every policy, sorted.
  [[nodiscard]] static std::vector<std::string> Names();

  /// Adds a policy; ends the process where the name is taken.
  static void Add(policy added);
};

/// Registers a policy where an object of this type with static storage stands in its .cc file.
class policy_registrar {
 public:
  template <placement_policy T>
  policy_registrar(std::string name, T chooser) {
    policy_registry::Add(policy{std::move(name), std::move(chooser)});
  }
};

}  // namespace rosearch

#endif  // ROSEARCH_PLACEMENT_POLICY_H_
