#ifndef LYCHEEPLANK_SRC_CLI_TABLE_H
#define LYCHEEPLANK_SRC_CLI_TABLE_H

#include <string>
#include <vector>

#include <absl/strings/string_view.h>

// Formats tables and line differences for display on a terminal.
namespace lycheeplank::cli {

// The cells of a table row.
using Row = std::vector<std::string>;

// Returns the rows as text with aligned columns. The first row is the heading.
std::string
FormatTable(const std::vector<Row>& aRows);

// Returns aText with each control character except tab replaced by "?", so that
// it can't change the terminal's state.
std::string
MakePrintable(absl::string_view aText);

// Returns the lines that differ, old lines after "-" and new lines after "+".
// Each hunk starts with its line numbers, "@@ -OLD +NEW @@". Returns an empty
// string for equal texts.
std::string
DiffLines(absl::string_view aOld, absl::string_view aNew);

} // namespace lycheeplank::cli

#endif
