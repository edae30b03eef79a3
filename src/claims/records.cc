#include "claims/records.h"

#include <absl/strings/str_cat.h>

#include "claims.pb.h"

namespace lycheeplank::claims {

namespace {

constexpr std::size_t kChecksumBytes = 8;
// Size of the tags and fixed fields of an encoded record.
constexpr std::size_t kRecordOverheadBytes = 64;
constexpr std::uint32_t kMaxShards = 65536;

core::Error
CorruptValueError(absl::string_view aWhat)
{
  return { core::ErrorKind::Internal,
           absl::StrCat("a stored value of the claims is damaged: ", aWhat),
           "Restore the key from the platform service's own backup.",
           core::RunState::Unknown };
}

std::string
EncodeWithChecksum(const google::protobuf::MessageLite& aMessage)
{
  std::string value(kChecksumBytes, '\0');
  aMessage.AppendToString(&value);
  const auto body = absl::string_view(value).substr(kChecksumBytes);
  const std::uint64_t checksum = core::StableHash(body);
  for (std::size_t i = 0; i < kChecksumBytes; ++i) {
    value[i] = static_cast<char>((checksum >> (8 * i)) & 0xffU);
  }
  return value;
}

bool
DecodeWithChecksum(absl::string_view aValue,
                   google::protobuf::MessageLite& aMessage)
{
  if (aValue.size() < kChecksumBytes) {
    return false;
  }
  std::uint64_t checksum = 0;
  for (std::size_t i = 0; i < kChecksumBytes; ++i) {
    const auto byte = static_cast<unsigned char>(aValue[i]);
    checksum |= static_cast<std::uint64_t>(byte) << (8 * i);
  }
  const auto body = aValue.substr(kChecksumBytes);
  return checksum == core::StableHash(body) &&
         aMessage.ParseFromArray(body.data(), static_cast<int>(body.size()));
}

void
ToWire(const Record& aRecord, wire::Record& aWire)
{
  aWire.set_kind(
    static_cast<wire::RecordKind>(static_cast<int>(aRecord.kind_) + 1));
  aWire.set_key_high(aRecord.key_.high_);
  aWire.set_key_low(aRecord.key_.low_);
  aWire.set_attempt_high(aRecord.attempt_.high_);
  aWire.set_attempt_low(aRecord.attempt_.low_);
  aWire.set_request(aRecord.requestHash_);
  aWire.set_unix_ms(aRecord.unixMs_);
  aWire.set_holder(aRecord.holder_);
  aWire.set_answer_status(aRecord.answer_.status_);
  aWire.set_answer_content_type(aRecord.answer_.contentType_);
  aWire.set_answer(aRecord.answer_.body_);
  aWire.set_answer_object(aRecord.answerObject_);
}

bool
FromWire(const wire::Record& aWire, Record& aRecord)
{
  if (aWire.kind() < wire::RECORD_KIND_CLAIM ||
      aWire.kind() > wire::RECORD_KIND_UNKNOWN) {
    return false;
  }
  aRecord.kind_ = static_cast<RecordKind>(aWire.kind() - 1);
  aRecord.key_ = { aWire.key_high(), aWire.key_low() };
  aRecord.attempt_ = { aWire.attempt_high(), aWire.attempt_low() };
  aRecord.requestHash_ = aWire.request();
  aRecord.unixMs_ = aWire.unix_ms();
  aRecord.holder_ = aWire.holder();
  aRecord.answer_ = { aWire.answer_status(),
                      aWire.answer_content_type(),
                      aWire.answer() };
  aRecord.answerObject_ = aWire.answer_object();
  return true;
}

template<typename WireRecords>
bool
RecordsFromWire(const WireRecords& aWire, std::vector<Record>& aRecords)
{
  aRecords.resize(static_cast<std::size_t>(aWire.size()));
  for (int i = 0; i < aWire.size(); ++i) {
    if (!FromWire(aWire.Get(i), aRecords[static_cast<std::size_t>(i)])) {
      return false;
    }
  }
  return true;
}

// Returns whether the segments and the open records are contiguous.
bool
IsContiguous(const Tail& aTail)
{
  std::uint64_t next = FirstPosition(aTail);
  for (const auto& segment : aTail.segments_) {
    if (segment.first_ != next || segment.count_ == 0) {
      return false;
    }
    next = EndPosition(segment);
  }
  return next == aTail.openFirst_;
}

} // namespace

Fingerprint
FingerprintOf(absl::string_view aText)
{
  constexpr std::size_t kHexDigits = 32;
  const std::string digest = core::Sha256Hex(aText);
  const auto bits =
    core::BlockKeyFromHex(absl::string_view(digest).substr(0, kHexDigits));
  return { bits->high_, bits->low_ };
}

Fingerprint
KeyFingerprint(absl::string_view aWorkspace, absl::string_view aKey)
{
  // The length prefix distinguishes "ab"+"c" from "a"+"bc".
  return FingerprintOf(
    absl::StrCat(aWorkspace.size(), ":", aWorkspace, ":", aKey));
}

std::size_t
EncodedSize(const Record& aRecord)
{
  return kRecordOverheadBytes + aRecord.holder_.size() +
         aRecord.answer_.contentType_.size() + aRecord.answer_.body_.size() +
         aRecord.answerObject_.size();
}

std::size_t
EncodedSize(const std::vector<Record>& aRecords)
{
  std::size_t bytes = 0;
  for (const auto& record : aRecords) {
    bytes += EncodedSize(record);
  }
  return bytes;
}

std::uint64_t
EndPosition(const SegmentRef& aSegment)
{
  return aSegment.first_ + aSegment.count_;
}

std::uint64_t
FirstPosition(const Tail& aTail)
{
  return aTail.segments_.empty() ? aTail.openFirst_
                                 : aTail.segments_.front().first_;
}

std::uint64_t
EndPosition(const Tail& aTail)
{
  return aTail.openFirst_ + aTail.open_.size();
}

const SegmentRef*
FindSegment(const Tail& aTail, std::uint64_t aPosition)
{
  for (const auto& segment : aTail.segments_) {
    if (segment.first_ <= aPosition && aPosition < EndPosition(segment)) {
      return &segment;
    }
  }
  return nullptr;
}

std::string
Encode(const Tail& aTail)
{
  wire::Tail message;
  for (const auto& segment : aTail.segments_) {
    auto& ref = *message.add_segments();
    ref.set_name(segment.name_);
    ref.set_first_position(segment.first_);
    ref.set_count(segment.count_);
    ref.set_bytes(segment.bytes_);
    ref.set_last_unix_ms(segment.latestUnixMs_);
  }
  message.set_open_position(aTail.openFirst_);
  for (const auto& record : aTail.open_) {
    ToWire(record, *message.add_open());
  }
  return EncodeWithChecksum(message);
}

std::string
Encode(const Segment& aSegment)
{
  wire::Segment message;
  message.set_first_position(aSegment.first_);
  for (const auto& record : aSegment.records_) {
    ToWire(record, *message.add_records());
  }
  return EncodeWithChecksum(message);
}

std::string
EncodeLayout(std::uint32_t aShards)
{
  wire::Layout message;
  message.set_shards(aShards);
  return EncodeWithChecksum(message);
}

core::Result<Tail>
DecodeTail(absl::string_view aValue)
{
  wire::Tail message;
  if (!DecodeWithChecksum(aValue, message)) {
    return core::Fail(CorruptValueError("register of a shard"));
  }
  Tail tail;
  for (const auto& ref : message.segments()) {
    tail.segments_.push_back({ ref.name(),
                               ref.first_position(),
                               ref.count(),
                               ref.bytes(),
                               ref.last_unix_ms() });
  }
  tail.openFirst_ = message.open_position();
  if (!RecordsFromWire(message.open(), tail.open_)) {
    return core::Fail(CorruptValueError("open record of a shard"));
  }
  if (!IsContiguous(tail)) {
    return core::Fail(CorruptValueError("segments of a shard have gaps"));
  }
  return tail;
}

core::Result<Segment>
DecodeSegment(absl::string_view aValue)
{
  wire::Segment message;
  Segment segment;
  if (!DecodeWithChecksum(aValue, message) ||
      !RecordsFromWire(message.records(), segment.records_)) {
    return core::Fail(CorruptValueError("segment"));
  }
  segment.first_ = message.first_position();
  return segment;
}

core::Result<std::uint32_t>
DecodeLayout(absl::string_view aValue)
{
  wire::Layout message;
  if (!DecodeWithChecksum(aValue, message) || message.shards() == 0 ||
      message.shards() > kMaxShards) {
    return core::Fail(CorruptValueError("number of shards"));
  }
  return message.shards();
}

} // namespace lycheeplank::claims
