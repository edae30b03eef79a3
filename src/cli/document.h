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

// Reads configuration documents from files. "config show" puts a comment before
// a document that records the base revision: the revision that an edit starts
// from.
namespace lycheeplank::cli {

// The base revision of a document, as its comment records it.
struct BaseRevision
{
  std::uint64_t revision_ = 0;
  // Shortened digests of the sections of the base revision by section name.
  absl::btree_map<std::string, std::string> digests_;
};

// Returns the comment for a document, e.g. "# revision: 7
// limits=0a1b2c3d4e5f6071".
std::string
FormatBaseComment(std::uint64_t aRevision,
                  const std::vector<config::Section>& aSections);

// Returns the base revision from the comment in a document, or nothing if there
// is no valid comment.
absl::optional<BaseRevision>
FindBaseComment(absl::string_view aText);

// Returns whether a section differs from the base revision; true if the base
// has no digest of the section.
bool
IsEdited(const BaseRevision& aBase, const config::Section& aSection);

// Returns the contents of a file, or of the standard input if aFile is "-".
core::Result<std::string>
ReadInput(const Console& aConsole, const std::string& aFile);

} // namespace lycheeplank::cli

#endif
