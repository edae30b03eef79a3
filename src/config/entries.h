#ifndef LYCHEEPLANK_SRC_CONFIG_ENTRIES_H
#define LYCHEEPLANK_SRC_CONFIG_ENTRIES_H

#include <vector>

#include <absl/strings/string_view.h>
#include <absl/types/optional.h>

#include "lycheeplank/config.h"

// Takes the text of a section apart by its lines, without parsing its YAML.
namespace lycheeplank::config {

// One entry of a section. The views point into the section's text.
struct EntryText
{
  absl::string_view name_;
  // The lines from the entry's key to the next one.
  absl::string_view text_;
};

// A section of the plain form
//
//     models:
//       owner: serving
//       entries:
//         wording:
//           max_tokens: 4096
struct SectionText
{
  // The lines up to "entries:".
  absl::string_view head_;
  std::vector<EntryText> entries_;
};

// Takes a section's text apart, or returns nothing if it has another form.
// Lines alone can't tell all of YAML: compare the names with what was read.
absl::optional<SectionText>
TakeApart(absl::string_view aText);

} // namespace lycheeplank::config

#endif
