#include "rosearch/journal/author_window.h"

#include <algorithm>

namespace rosearch::journal {

bool author_window::Insert(const std::string& id) {
  ++reads_;
  const auto parsed = ParseRecordId(id);
  return parsed ? InsertCounter(*parsed) : InsertText(id);
}

bool author_window::InsertCounter(const record_id& id) {
  const auto [known, is_new] =
      authors_.try_emplace({id.entry, id.incarnation}, last_record{id.counter, reads_});
  if (is_new) {
    ForgetOldestAuthor();
    return true;
  }
  known->second.seen = reads_;
  if (id.counter <= known->second.counter) {
    return false;
  }
  known->second.counter = id.counter;
  return true;
}

void author_window::ForgetOldestAuthor() {
  if (authors_.size() <= capacity_) {
    return;
  }
  authors_.erase(
      std::ranges::min_element(authors_, {}, [](const auto& each) { return each.second.seen; }));
}

bool author_window::InsertText(const std::string& id) {
  if (!texts_.insert(id).second) {
    return false;
  }
  text_order_.push_back(id);
  if (text_order_.size() > capacity_) {
    texts_.erase(text_order_.front());
    text_order_.pop_front();
  }
  return true;
}

}  // namespace rosearch::journal
