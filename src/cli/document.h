#ifndef LYCHEEPLANK_SRC_CLI_DOCUMENT_H
#define LYCHEEPLANK_SRC_CLI_DOCUMENT_H

#include <cstdint>
#include <string>
#include <vector>

#include <absl/container/btree_map.h>
#include <absl/types/optional.h>

#include "cli/program.h"
#include "lycheeplank/config.h"
#include "lycheeplank/core.h"

// Documents in files, and the revision that they were made from.
namespace lycheeplank::cli {

// What the first comment of a shown document remembers.
struct BaseRevision
{
  std::uint64_t revision_ = 0;
  // Short digests of the sections as they were shown, by their names.
  absl::btree_map<std::string, std::string> digests_;
};

// Returns the comment, e.g. "# revision: 7 limits=0a1b2c3d4e5f6071".
std::string
FormatBaseComment(std::uint64_t aRevision,
                  const std::vector<config::Section>& aSections);

// Finds the comment in a document.
absl::optional<BaseRevision>
FindBaseComment(absl::string_view aText);

// Tells whether a section has been edited since it was shown; true if the
// document does not say how it was shown.
bool
IsEdited(const BaseRevision& aBase, const config::Section& aSection);

// Reads a file, or the standard input for "-".
core::Result<std::string>
ReadInput(const Console& aConsole, const std::string& aFile);

} // namespace lycheeplank::cli

#endif
