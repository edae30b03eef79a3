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

// Reads YAML nodes into plain structs by tables of fields.
namespace lycheeplank::config {

// More problems than this are not listed.
inline constexpr std::size_t kMaxProblems = 200;

// State of reading one section.
struct Reader
{
  std::string section_;
  std::uint32_t firstLine_ = 1;
  std::vector<Problem> problems_;
  // Line of each field by its path, for checks that come later.
  absl::flat_hash_map<std::string, std::uint32_t> lines_;
};

// Notes a problem unless there are too many already.
void
Complain(Reader& aReader,
         std::uint32_t aLine,
         std::string aField,
         std::string aMessage);

// Notes a problem with a field that was read before.
void
ComplainAt(Reader& aReader, const std::string& aField, std::string aMessage);

// Returns the line of a node in the document.
std::uint32_t
LineOf(const Reader& aReader, const YAML::Node& aNode);

// Returns the path of a field below another.
std::string
SubPath(const std::string& aPath, absl::string_view aField);

// A node together with its path.
struct Place
{
  std::string path_;
  YAML::Node node_;
};

// Allowed values of a number, both ends included.
struct Range
{
  double min_ = 0;
  double max_ = 0;
};

// Each reads one value; on a problem it notes it and leaves aOut as it is.
void
ReadNumber(Reader& aReader, const Place& aPlace, Range aRange, double& aOut);
void
ReadNumber(Reader& aReader,
           const Place& aPlace,
           Range aRange,
           std::uint32_t& aOut);
void
ReadSize(Reader& aReader, const Place& aPlace, Range aRange, double& aOut);
void
ReadSize(Reader& aReader,
         const Place& aPlace,
         Range aRange,
         std::uint64_t& aOut);
void
ReadDuration(Reader& aReader,
             const Place& aPlace,
             Range aSeconds,
             absl::Duration& aOut);
void
ReadFlag(Reader& aReader, const Place& aPlace, bool& aOut);
// A name of a table, e.g. of a policy.
void
ReadChoice(Reader& aReader,
           const Place& aPlace,
           const std::string& aAllowed,
           const std::function<bool(absl::string_view)>& aTake);
// A name as of a workspace or target.
void
ReadName(Reader& aReader, const Place& aPlace, std::string& aOut);
void
ReadNames(Reader& aReader,
          const Place& aPlace,
          bool aStarAllowed,
          std::vector<std::string>& aOut);
// An address like http://10.0.0.1:8000.
void
ReadUrl(Reader& aReader, const Place& aPlace, std::string& aOut);
void
ReadDigests(Reader& aReader,
            const Place& aPlace,
            std::vector<std::string>& aOut);

// Visits each pair of a mapping once; complains about repeated and malformed
// keys and about nodes that are no mapping.
void
ForEachPair(Reader& aReader,
            const Place& aPlace,
            const std::function<void(const std::string& aKey,
                                     const Place& aValue)>& aVisit);

// One field of a struct and how it is read.
template<typename Struct>
struct Field
{
  absl::string_view name_;
  std::function<void(Reader&, const Place&, Struct&)> read_;
  bool required_ = false;
};

template<typename Struct>
using Fields = std::vector<Field<Struct>>;

// Notes a field that the table does not have.
void
ComplainUnknown(Reader& aReader,
                const Place& aPlace,
                const std::vector<absl::string_view>& aAllowed);

// Reads a mapping into a struct by the table of its fields.
template<typename Struct>
void
ReadFields(Reader& aReader,
           const Place& aPlace,
           const Fields<Struct>& aFields,
           Struct& aOut)
{
  absl::flat_hash_set<std::string> seen;
  ForEachPair(
    aReader, aPlace, [&](const std::string& aKey, const Place& aValue) {
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
      ComplainUnknown(aReader, aValue, allowed);
    });
  for (const auto& field : aFields) {
    if (field.required_ && !seen.contains(field.name_)) {
      Complain(aReader,
               LineOf(aReader, aPlace.node_),
               SubPath(aPlace.path_, field.name_),
               "is missing");
    }
  }
}

// Reads a mapping of names to structs.
template<typename Struct, typename Map>
void
ReadEntries(Reader& aReader,
            const Place& aPlace,
            const Fields<Struct>& aFields,
            Map& aOut)
{
  ForEachPair(
    aReader, aPlace, [&](const std::string& aKey, const Place& aValue) {
      ReadFields(aReader, aValue, aFields, aOut[aKey]);
    });
}

} // namespace lycheeplank::config

#endif
