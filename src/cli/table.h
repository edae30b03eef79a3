#ifndef LYCHEEPLANK_SRC_CLI_TABLE_H
#define LYCHEEPLANK_SRC_CLI_TABLE_H

#include <string>
#include <vector>

#include <absl/strings/string_view.h>

// Text for people: aligned tables and differences between texts.
namespace lycheeplank::cli {

using Row = std::vector<std::string>;

// Returns rows with aligned columns; the first one is the heading.
std::string
FormatTable(const std::vector<Row>& aRows);

// Returns a text whose control characters can't change the terminal's state.
std::string
MakePrintable(absl::string_view aText);

// Returns the lines that differ, "-" before the old and "+" before the new
// ones, each run of them under the line numbers "@@ -OLD +NEW @@"; empty for
// equal texts.
std::string
DiffLines(absl::string_view aOld, absl::string_view aNew);

} // namespace lycheeplank::cli

#endif
