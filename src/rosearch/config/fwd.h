#ifndef ROSEARCH_CONFIG_FWD_H_
#define ROSEARCH_CONFIG_FWD_H_

namespace rosearch::config {

class config_chain;
class configuration;
class rule_set;
class schema;
class text_pattern;
struct customer;
struct fault;
struct field;
struct limits;
struct quota;
struct rule;
struct rule_match;
struct settings;
struct treatment;
struct work_kind;
enum class work_class;

}  // namespace rosearch::config

#endif  // ROSEARCH_CONFIG_FWD_H_
