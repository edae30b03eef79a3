#ifndef LYCHEEPLANK_SRC_CONFIG_READER_H
#define LYCHEEPLANK_SRC_CONFIG_READER_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/string_view.h>
#include <absl/time/time.h>
#include <yaml-cpp/yaml.h>

#include "lycheeplank/config.h"

// Reads YAML nodes into structs. Tables list the fields of each struct.
namespace lycheeplank::config {

// Maximum number of problems recorded for one section.
inline constexpr std::size_t kMaxProblems = 200;

// The state of reading one section.
struct Reader
{
  std::string section_;
  std::uint32_t firstLine_ = 1;
  std::vector<Problem> problems_;
  // Maps the path of each field to its line, for checks after parsing.
  absl::flat_hash_map<std::string, std::uint32_t> lines_;
};

// Adds a problem unless there are kMaxProblems already.
void
AddProblem(Reader& aReader,
           std::uint32_t aLine,
           std::string aField,
           std::string aMessage);

// Adds a problem with a field that was read before, at the field's line.
void
AddFieldProblem(Reader& aReader,
                const std::string& aField,
                std::string aMessage);

// Returns the line of a node in the document.
std::uint32_t
LineOf(const Reader& aReader, const YAML::Node& aNode);

// Returns the path of a field within the mapping at aPath.
std::string
SubPath(const std::string& aPath, absl::string_view aField);

// A YAML node and its path in the section.
struct LocatedNode
{
  std::string path_;
  YAML::Node node_;
};

// The allowed values of a number, including both bounds.
struct Range
{
  double min_ = 0;
  double max_ = 0;
};

// Each of the following functions reads one value. If the value is invalid, it
// adds a problem and leaves aOut unchanged; a list keeps its valid items.
void
ReadNumber(Reader& aReader,
           const LocatedNode& aLocated,
           Range aRange,
           double& aOut);
void
ReadNumber(Reader& aReader,
           const LocatedNode& aLocated,
           Range aRange,
           std::uint32_t& aOut);
void
ReadSize(Reader& aReader,
         const LocatedNode& aLocated,
         Range aRange,
         double& aOut);
void
ReadSize(Reader& aReader,
         const LocatedNode& aLocated,
         Range aRange,
         std::uint64_t& aOut);
void
ReadDuration(Reader& aReader,
             const LocatedNode& aLocated,
             Range aSeconds,
             absl::Duration& aOut);
void
ReadFlag(Reader& aReader, const LocatedNode& aLocated, bool& aOut);
// Reads a value such as a policy name. aAssign stores the value and returns
// whether it is allowed; aAllowed lists the allowed values for the message.
void
ReadChoice(Reader& aReader,
           const LocatedNode& aLocated,
           const std::string& aAllowed,
           const std::function<bool(absl::string_view)>& aAssign);
// Reads a name, e.g. of a workspace or a target.
void
ReadName(Reader& aReader, const LocatedNode& aLocated, std::string& aOut);
void
ReadNames(Reader& aReader,
          const LocatedNode& aLocated,
          bool aStarAllowed,
          std::vector<std::string>& aOut);
// Reads an address like http://10.0.0.1:8000.
void
ReadUrl(Reader& aReader, const LocatedNode& aLocated, std::string& aOut);
void
ReadDigests(Reader& aReader,
            const LocatedNode& aLocated,
            std::vector<std::string>& aOut);

// Visits each pair of a mapping once. Adds a problem for each repeated or
// malformed key, or if the node is not a mapping.
void
ForEachPair(Reader& aReader,
            const LocatedNode& aLocated,
            const std::function<void(const std::string& aKey,
                                     const LocatedNode& aValue)>& aVisit);

// A field of a struct and the function that reads it.
template<typename Struct>
struct Field
{
  absl::string_view name_;
  std::function<void(Reader&, const LocatedNode&, Struct&)> read_;
  bool required_ = false;
};

template<typename Struct>
using Fields = std::vector<Field<Struct>>;

// Adds a problem for a field that is not in the table.
void
AddUnknownFieldProblem(Reader& aReader,
                       const LocatedNode& aLocated,
                       const std::vector<absl::string_view>& aAllowed);

// Reads a mapping into a struct according to the table of its fields.
template<typename Struct>
void
ReadFields(Reader& aReader,
           const LocatedNode& aLocated,
           const Fields<Struct>& aFields,
           Struct& aOut)
{
  absl::flat_hash_set<std::string> seen;
  ForEachPair(
    aReader, aLocated, [&](const std::string& aKey, const LocatedNode& aValue) {
      seen.insert(aKey);
      for (const auto& field : aFields) {
        if (field.name_ == aKey) {
          field.read_(aReader, aValue, aOut);
          return;
        }
      }
      std::vector<absl::string_view> allowed;
      for (const auto& field : aFields) {
        allowed.push_back(field.name_);
      }
      AddUnknownFieldProblem(aReader, aValue, allowed);
    });
  for (const auto& field : aFields) {
    if (field.required_ && !seen.contains(field.name_)) {
      AddProblem(aReader,
                 LineOf(aReader, aLocated.node_),
                 SubPath(aLocated.path_, field.name_),
                 "is missing");
    }
  }
}

// Reads a mapping of names to structs.
template<typename Struct, typename Map>
void
ReadEntries(Reader& aReader,
            const LocatedNode& aLocated,
            const Fields<Struct>& aFields,
            Map& aOut)
{
  ForEachPair(
    aReader, aLocated, [&](const std::string& aKey, const LocatedNode& aValue) {
      ReadFields(aReader, aValue, aFields, aOut[aKey]);
    });
}

} // namespace lycheeplank::config

#endif
