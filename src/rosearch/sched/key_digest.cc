#include "rosearch/sched/key_digest.h"

#include <boost/uuid/name_generator_sha1.hpp>
#include <boost/uuid/uuid.hpp>

namespace rosearch::sched {

key_digest key_digest::Of(std::string_view key) {
  const boost::uuids::name_generator_sha1 generate{boost::uuids::ns::oid()};
  const auto digest = generate(key.data(), key.size());
  return key_digest{std::string{digest.begin(), digest.end()}};
}

std::optional<key_digest> key_digest::FromBytes(std::string_view bytes) {
  if (bytes.size() != boost::uuids::uuid::static_size()) {
    return std::nullopt;
  }
  return key_digest{std::string{bytes}};
}

}  // namespace rosearch::sched
