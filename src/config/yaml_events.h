#ifndef LYCHEEPLANK_SRC_CONFIG_YAML_EVENTS_H
#define LYCHEEPLANK_SRC_CONFIG_YAML_EVENTS_H

#include <string>

// Processes YAML as a stream of events, without building a tree of nodes.
namespace lycheeplank::config {

// Throws YAML::ParserException at the first alias, because aliases let a short
// text expand to a huge document.
void
RejectAliases(const std::string& aText);

} // namespace lycheeplank::config

#endif
