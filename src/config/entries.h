#ifndef LYCHEEPLANK_SRC_CONFIG_ENTRIES_H
#define LYCHEEPLANK_SRC_CONFIG_ENTRIES_H

#include <vector>

#include <absl/strings/string_view.h>
#include <absl/types/optional.h>

#include "lycheeplank/config.h"

// Splits the text of a section into its entries without parsing the YAML.
namespace lycheeplank::config {

// The text of one entry. The views refer to the section's text.
struct EntryText
{
  absl::string_view name_;
  // The lines from the entry's key up to the next entry's key.
  absl::string_view text_;
};

// The parts of a section that is written in this form:
//
//     models:
//       owner: serving
//       entries:
//         wording:
//           max_tokens: 4096
struct SectionText
{
  // The lines up to and including "entries:".
  absl::string_view head_;
  std::vector<EntryText> entries_;
};

// Splits a section's text into its entries, or returns nothing if it has
// another form. Some YAML, such as a scalar of several lines, is split wrongly,
// so the caller must compare the names with those of the parsed entries.
absl::optional<SectionText>
SplitEntries(absl::string_view aText);

} // namespace lycheeplank::config

#endif
