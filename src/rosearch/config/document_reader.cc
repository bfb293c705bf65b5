#include "rosearch/config/document_reader.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <numeric>
#include <string>
#include <utility>

#include "rosearch/config/duplicate_keys.h"

namespace rosearch::config {
namespace {

namespace json = boost::json;

/// Longer values are cut in reports.
constexpr std::size_t kShownBytes = 60;

/// Further faults are not told: the list is kept with the verdict on a change.
constexpr std::size_t kMaxFaults = 200;

std::string Cut(std::string text) {
  if (text.size() > kShownBytes) {
    text.resize(kShownBytes);
    text += "...";
  }
  return text;
}

std::string MemberPath(std::string path, std::string_view key) {
  return path.append(path.empty() ? "" : ".").append(key);
}

std::string Show(const json::value& value) { return Cut(json::serialize(value)); }

std::string Range(const field& key, std::string_view what) {
  return std::string{what} + " from " + std::to_string(key.least) + " to " +
         std::to_string(key.most);
}

std::string Allowed(const field& key) {
  switch (key.type) {
    case field_type::kText:
      return Range(key, "text with a length");
    case field_type::kNumber:
      return Range(key, "a whole number");
    case field_type::kFlag:
      return "true or false";
    case field_type::kObject:
      return "an object";
    case field_type::kList:
      return Range(key, "a list of objects, their number");
    case field_type::kTextList:
      return Range(key, "a list of texts, their number");
    case field_type::kWord:
      break;
  }
  std::string all = "one of";
  for (const auto word : key.words) {
    all.append(" ").append(word);
  }
  return all;
}

bool InRange(const field& key, std::size_t size) {
  return std::cmp_greater_equal(size, key.least) && std::cmp_less_equal(size, key.most);
}

bool IsFilledText(const json::value& value) {
  return value.is_string() && !value.get_string().empty();
}

bool IsAllowed(const field& key, const json::value& value) {
  switch (key.type) {
    case field_type::kText:
      return value.is_string() && InRange(key, value.get_string().size());
    case field_type::kNumber:
      return value.is_int64() && value.get_int64() >= key.least && value.get_int64() <= key.most;
    case field_type::kFlag:
      return value.is_bool();
    case field_type::kWord:
      return value.is_string() &&
             std::ranges::find(key.words, std::string_view{value.get_string()}) != key.words.end();
    case field_type::kObject:
      return value.is_object();
    case field_type::kList:
      return value.is_array() && InRange(key, value.get_array().size());
    case field_type::kTextList:
      return value.is_array() && InRange(key, value.get_array().size()) &&
             std::ranges::all_of(value.get_array(), IsFilledText);
  }
  return false;
}

/// What stands in for a faulty value that has no fallback.
json::value Placeholder(const field& key) {
  switch (key.type) {
    case field_type::kText:
      return "";
    case field_type::kNumber:
      return key.least;
    case field_type::kFlag:
      return false;
    case field_type::kWord:
      return json::string{key.words.front()};
    case field_type::kObject:
      return json::object{};
    case field_type::kList:
    case field_type::kTextList:
      break;
  }
  return json::array{};
}

json::value Fallback(const field& key) {
  return key.fallback.empty() ? Placeholder(key) : json::parse(key.fallback);
}

std::size_t EditDistance(std::string_view left, std::string_view right) {
  std::vector<std::size_t> row(right.size() + 1);
  std::iota(row.begin(), row.end(), std::size_t{0});
  for (std::size_t i = 0; i < left.size(); ++i) {
    std::size_t diagonal = std::exchange(row[0], i + 1);
    for (std::size_t j = 0; j < right.size(); ++j) {
      const std::size_t replaced = diagonal + (left[i] == right[j] ? 0 : 1);
      diagonal = row[j + 1];
      row[j + 1] = std::min({replaced, diagonal + 1, row[j] + 1});
    }
  }
  return row.back();
}

class checker {
 public:
  json::object Complete(const json::object& given, const schema& keys, const std::string& path) {
    RefuseUnknown(given, keys, path);
    json::object all;
    for (const auto& key : keys.fields()) {
      const std::string at = MemberPath(path, key.key);
      json::value value = Take(given.if_contains(key.key), key, at);
      if (!value.is_null()) {
        all.emplace(key.key, std::move(value));
      }
    }
    return all;
  }

  void Add(std::string path, std::string found, std::string allowed) {
    if (faults_.size() < kMaxFaults) {
      faults_.push_back({std::move(path), std::move(found), std::move(allowed)});
    }
  }

  std::vector<fault> Release() { return std::move(faults_); }

 private:
  json::value Take(const json::value* given, const field& key, const std::string& path) {
    if (given == nullptr) {
      if (key.fallback == kRequired) {
        Add(path, "nothing", Allowed(key));
      }
      return Descend(Fallback(key), key, path, key.fallback != kRequired);
    }
    if (!IsAllowed(key, *given)) {
      Add(path, Show(*given), Allowed(key));
      return Descend(Fallback(key), key, path, false);
    }
    return Descend(*given, key, path, true);
  }

  /// @param report  false inside a stand-in: its missing keys are not the author's faults.
  json::value Descend(json::value value, const field& key, const std::string& path, bool report) {
    if (key.members == nullptr || value.is_null()) {
      return value;
    }
    const std::size_t before = faults_.size();
    if (auto* const one = value.if_object(); one != nullptr) {
      value = Complete(*one, *key.members, path);
    } else {
      CompleteAll(value.as_array(), key, path);
    }
    if (!report) {
      faults_.resize(before);
    }
    return value;
  }

  void CompleteAll(json::array& list, const field& key, const std::string& path) {
    std::size_t index = 0;
    for (auto& item : list) {
      const std::string at = path + "[" + std::to_string(index++) + "]";
      if (!item.is_object()) {
        Add(at, Show(item), "an object");
        item = json::object{};
        item = Descend(item,
                       {.key = key.key,
                        .type = field_type::kObject,
                        .fallback = {},
                        .unit = {},
                        .about = {},
                        .members = key.members},
                       at, false);
        continue;
      }
      item = Complete(item.get_object(), *key.members, at);
    }
  }

  void RefuseUnknown(const json::object& given, const schema& keys, const std::string& path) {
    for (const auto& member : given) {
      const std::string_view name = member.key();
      if (std::ranges::find(keys.fields(), name, &field::key) != keys.fields().end()) {
        continue;
      }
      const std::string_view near = NearestKey(name, keys);
      Add(MemberPath(path, Cut(std::string{name})), "an unknown key",
          near.empty() ? "no such key" : "did you mean " + std::string{near} + "?");
    }
  }

  std::vector<fault> faults_;
};

}  // namespace

std::string_view NearestKey(std::string_view word, const schema& keys) {
  std::string_view nearest;
  if (word.size() > kShownBytes) {
    return nearest;
  }
  std::size_t least = std::max<std::size_t>(2, word.size() / 2) + 1;
  for (const auto& key : keys.fields()) {
    const std::size_t distance = EditDistance(word, key.key);
    if (distance < least) {
      least = distance;
      nearest = key.key;
    }
  }
  return nearest;
}

document document_reader::Read(std::string_view text) const {
  boost::system::error_code failure;
  const json::value root = json::parse({text.data(), text.size()}, failure);
  checker check;
  for (auto& path : internal::FindDuplicateKeys(text)) {
    check.Add(std::move(path), "the key a second time", "a key that is given once");
  }
  if (failure || !root.is_object()) {
    check.Add("", failure ? failure.message() : Show(root), "a JSON object");
    return {{}, check.Release()};
  }
  json::object value = check.Complete(root.get_object(), *keys_, "");
  return {std::move(value), check.Release()};
}

}  // namespace rosearch::config
