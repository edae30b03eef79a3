#ifndef LYCHEEPLANK_SRC_CONFIG_YAML_EVENTS_H
#define LYCHEEPLANK_SRC_CONFIG_YAML_EVENTS_H

#include <string>

// Reads YAML as a stream of events, without building its tree.
namespace lycheeplank::config {

// Throws YAML::ParserException at the first alias: aliases let a short text
// stand for a huge one.
void
RefuseAliases(const std::string& aText);

} // namespace lycheeplank::config

#endif
