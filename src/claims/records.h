#ifndef LYCHEEPLANK_CLAIMS_RECORDS_H
#define LYCHEEPLANK_CLAIMS_RECORDS_H

#include <cstdint>
#include <string>
#include <vector>

#include <absl/strings/string_view.h>
#include <absl/types/optional.h>

#include "lycheeplank/claims.h"
#include "lycheeplank/core.h"

namespace lycheeplank::claims {

// First 128 bits of a SHA-256 digest.
struct Fingerprint
{
  std::uint64_t high_ = 0;
  std::uint64_t low_ = 0;

  friend bool operator==(const Fingerprint& aLeft,
                         const Fingerprint& aRight) = default;
  template<typename State>
  friend State AbslHashValue(State aState, const Fingerprint& aValue)
  {
    return State::combine(std::move(aState), aValue.high_, aValue.low_);
  }
};

// Returns the fingerprint of a text.
Fingerprint
FingerprintOf(absl::string_view aText);

// Returns the fingerprint of a key within its workspace.
Fingerprint
KeyFingerprint(absl::string_view aWorkspace, absl::string_view aKey);

enum class RecordKind : std::uint8_t
{
  Claim,
  Done,
  Withdrawn,
  Unknown,
};

// One entry of a shard's log.
struct Record
{
  RecordKind kind_ = RecordKind::Claim;
  Fingerprint key_;
  Fingerprint attempt_;
  std::uint64_t request_ = 0;
  std::int64_t unixMs_ = 0;
  std::string holder_;
  StoredAnswer answer_;
  std::string answerObject_;

  friend bool operator==(const Record& aLeft, const Record& aRight) = default;
};

// Returns about how many bytes a record takes when encoded.
std::size_t
EncodedSize(const Record& aRecord);

// Returns how many bytes the records take together.
std::size_t
EncodedSize(const std::vector<Record>& aRecords);

// Where an immutable run of records is stored.
struct SegmentRef
{
  // Within the shard's objects.
  std::string name_;
  std::uint64_t first_ = 0;
  std::uint32_t count_ = 0;
  std::uint32_t bytes_ = 0;
  std::int64_t lastUnixMs_ = 0;

  friend bool operator==(const SegmentRef& aLeft,
                         const SegmentRef& aRight) = default;
};

// Returns the position after the last record of a segment.
std::uint64_t
EndOf(const SegmentRef& aSegment);

// A run of records as stored under a segment's name.
struct Segment
{
  std::uint64_t first_ = 0;
  std::vector<Record> records_;
};

// The value of a shard's register: the whole log, its old part by name.
struct Tail
{
  std::vector<SegmentRef> segments_;
  std::uint64_t openFirst_ = 0;
  std::vector<Record> open_;
};

// Returns the position of the oldest record that is kept.
std::uint64_t
FirstOf(const Tail& aTail);

// Returns the position that the next record gets.
std::uint64_t
EndOf(const Tail& aTail);

// Returns the segment that holds a position, or null.
const SegmentRef*
FindSegment(const Tail& aTail, std::uint64_t aPosition);

// Encoded values start with a checksum, so that a damaged one is found out.
std::string
Encode(const Tail& aTail);
std::string
Encode(const Segment& aSegment);
std::string
EncodeLayout(std::uint32_t aShards);

core::Result<Tail>
DecodeTail(absl::string_view aValue);
core::Result<Segment>
DecodeSegment(absl::string_view aValue);
core::Result<std::uint32_t>
DecodeLayout(absl::string_view aValue);

// Returns what a decoder makes of a value, or nothing if it is damaged.
template<typename T>
absl::optional<T>
ValueOrNothing(core::Result<T> (*aDecode)(absl::string_view),
               absl::string_view aValue)
{
  return core::HandleError(
    [&]() -> core::Result<absl::optional<T>> {
      BOOST_LEAF_AUTO(value, aDecode(aValue));
      return absl::optional<T>(std::move(value));
    },
    [](const core::Error&) { return absl::optional<T>(); });
}

} // namespace lycheeplank::claims

#endif
