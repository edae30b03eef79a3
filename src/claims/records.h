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

// The first 128 bits of a SHA-256 digest.
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

// Returns the fingerprint of an idempotency key within its workspace.
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
  // Hash of the request digest, set in claims only.
  std::uint64_t requestHash_ = 0;
  std::int64_t unixMs_ = 0;
  std::string holder_;
  StoredAnswer answer_;
  // Name of the object with the answer's body; empty if the body is inline.
  std::string answerObject_;

  friend bool operator==(const Record& aLeft, const Record& aRight) = default;
};

// Returns the approximate size of an encoded record in bytes.
std::size_t
EncodedSize(const Record& aRecord);

// Returns the approximate size of all encoded records in bytes.
std::size_t
EncodedSize(const std::vector<Record>& aRecords);

// Reference to a stored segment, an immutable sequence of records.
struct SegmentRef
{
  // Object name, without the prefix of the shard's objects.
  std::string name_;
  // Position of the first record.
  std::uint64_t first_ = 0;
  std::uint32_t count_ = 0;
  std::uint32_t bytes_ = 0;
  std::int64_t latestUnixMs_ = 0;

  friend bool operator==(const SegmentRef& aLeft,
                         const SegmentRef& aRight) = default;
};

// Returns the position after the last record of a segment.
std::uint64_t
EndPosition(const SegmentRef& aSegment);

// A sequence of records, stored as an immutable object.
struct Segment
{
  std::uint64_t first_ = 0;
  std::vector<Record> records_;
};

// The value of a shard's register: references to the segments with the older
// records of the log, and the open records that follow them.
struct Tail
{
  std::vector<SegmentRef> segments_;
  std::uint64_t openFirst_ = 0;
  std::vector<Record> open_;
};

// Returns the position of the oldest record of the log.
std::uint64_t
FirstPosition(const Tail& aTail);

// Returns the position of the next record to be appended.
std::uint64_t
EndPosition(const Tail& aTail);

// Returns the segment that contains a position, or null. The tail owns it.
const SegmentRef*
FindSegment(const Tail& aTail, std::uint64_t aPosition);

// Encoded values start with a checksum, so that damage is detected.
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

// Returns the decoded value, or nullopt if the value is damaged.
template<typename T>
absl::optional<T>
DecodeOrNullopt(core::Result<T> (*aDecode)(absl::string_view),
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
