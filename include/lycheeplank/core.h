#ifndef LYCHEEPLANK_CORE_H
#define LYCHEEPLANK_CORE_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include <absl/strings/string_view.h>
#include <absl/time/time.h>
#include <absl/types/optional.h>
#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>

// Names, positions, hashes and errors that all other folders share.
namespace lycheeplank::core {

// One row of a table that maps each value of an enum to its external name.
template<typename Enum>
struct Named
{
  Enum value_;
  absl::string_view name_;
};

// Returns the external name of a value, e.g. NameOf(kRunStates, RunState::No).
template<typename Enum, std::size_t N>
constexpr absl::string_view
NameOf(const std::array<Named<Enum>, N>& aTable, Enum aValue)
{
  for (const auto& row : aTable) {
    if (row.value_ == aValue) {
      return row.name_;
    }
  }
  return "invalid";
}

// Returns the value with the external name, or nothing if there is none.
template<typename Enum, std::size_t N>
constexpr absl::optional<Enum>
ValueOf(const std::array<Named<Enum>, N>& aTable, absl::string_view aName)
{
  for (const auto& row : aTable) {
    if (row.name_ == aName) {
      return row.value_;
    }
  }
  return absl::nullopt;
}

// Returns all names of a table as "a, b, c", for error messages.
template<typename Enum, std::size_t N>
std::string
AllNames(const std::array<Named<Enum>, N>& aTable)
{
  std::string names;
  for (const auto& row : aTable) {
    names += names.empty() ? "" : ", ";
    names.append(row.name_.data(), row.name_.size());
  }
  return names;
}

// A position in the history of a key-value service. A service that is restored
// from a copy of its data starts a new era and assigns revisions again.
struct Position
{
  // 0 for a service that does not count eras.
  std::uint64_t era_ = 0;
  std::uint64_t revision_ = 0;

  friend bool operator==(const Position&, const Position&) = default;
  friend bool operator<(const Position& aLeft, const Position& aRight)
  {
    return aLeft.era_ != aRight.era_ ? aLeft.era_ < aRight.era_
                                     : aLeft.revision_ < aRight.revision_;
  }
  friend bool operator>(const Position& aLeft, const Position& aRight)
  {
    return aRight < aLeft;
  }
  friend bool operator<=(const Position& aLeft, const Position& aRight)
  {
    return !(aRight < aLeft);
  }
  friend bool operator>=(const Position& aLeft, const Position& aRight)
  {
    return !(aLeft < aRight);
  }
};

// Whether a request was executed, as far as the answer shows.
enum class RunState
{
  No,
  Yes,
  Unknown,
};

inline constexpr std::array<Named<RunState>, 3> kRunStates{ {
  { RunState::No, "no" },
  { RunState::Yes, "yes" },
  { RunState::Unknown, "unknown" },
} };

// Kinds of errors that callers or operators receive.
enum class ErrorKind
{
  MalformedRequest,
  BodyTooLarge,
  MissingKey,
  WrongKey,
  Forbidden,
  UnknownModel,
  UnknownService,
  UnknownPath,
  UnknownRun,
  BadResumeToken,
  IdempotencyKeyRequired,
  IdempotencyKeyExpired,
  IdempotencyKeyMismatch,
  InProgress,
  OutcomeUnknown,
  DeadlineExceeded,
  DeadlineUnreachable,
  QueueFull,
  WorkspaceLimit,
  NoTarget,
  TargetFailed,
  PlatformUnavailable,
  NotReady,
  Draining,
  ConfigInvalid,
  ConfigConflict,
  NotFound,
  Internal,
};

// One row of the table of error kinds.
struct ErrorTraits
{
  ErrorKind kind_;
  // Last part of the problem type, and the label value of the refusal counter.
  absl::string_view name_;
  int httpStatus_;
  absl::string_view title_;
  absl::string_view remedy_;
};

// Returns the row of a kind.
const ErrorTraits&
TraitsOf(ErrorKind aKind);

// Returns all error kinds, in the order of the enum.
const std::vector<ErrorTraits>&
AllErrorKinds();

// Returns whether an answer with this HTTP status promises the caller that its
// request has not run and will not run, so that the caller may send it again.
bool
PromisesNotRun(int aStatus);

// Returns whether the answer of a plain service with this HTTP status is passed
// on to the caller. Server errors aren't, and neither are statuses that the
// caller would take for the promise of this system.
bool
IsPassedOn(int aStatus);

// An error with a remedy in its message.
struct Error
{
  ErrorKind kind_ = ErrorKind::Internal;
  // The cause of this error.
  std::string detail_;
  // The remedy; empty for the default remedy of the kind.
  std::string remedy_;
  RunState run_ = RunState::No;
  // Time after which a retry may succeed; zero if none will.
  absl::Duration retryAfter_ = absl::ZeroDuration();
};

// Returns "kind: detail; remedy" for logs and terminals.
std::string
Describe(const Error& aError);

// A value, or an error that is passed through Boost.LEAF.
template<typename T>
using Result = boost::leaf::result<T>;

// Returns an error as a result: `return Fail({ ErrorKind::NotFound, "..." });`
inline boost::leaf::error_id
Fail(Error aError)
{
  return boost::leaf::new_error(std::move(aError));
}

// Runs a function that returns a Result and passes its error, if any, to
// aOnError.
template<typename Function, typename OnError>
auto
HandleError(Function aFunction, OnError aOnError)
{
  return boost::leaf::try_handle_all(
    aFunction,
    [&](const Error& aError) { return aOnError(aError); },
    [&] {
      return aOnError(
        Error{ ErrorKind::Internal, "an error without a description" });
    });
}

// The key of one KV cache block: a hash of the workspace, model, weight
// version, adapter and all tokens up to the end of the block.
struct BlockKey
{
  std::uint64_t high_ = 0;
  std::uint64_t low_ = 0;

  friend bool operator==(const BlockKey& aLeft, const BlockKey& aRight)
  {
    return aLeft.high_ == aRight.high_ && aLeft.low_ == aRight.low_;
  }
  friend bool operator!=(const BlockKey& aLeft, const BlockKey& aRight)
  {
    return !(aLeft == aRight);
  }
  friend bool operator<(const BlockKey& aLeft, const BlockKey& aRight)
  {
    return aLeft.high_ != aRight.high_ ? aLeft.high_ < aRight.high_
                                       : aLeft.low_ < aRight.low_;
  }
  template<typename State>
  friend State AbslHashValue(State aState, const BlockKey& aKey)
  {
    return State::combine(std::move(aState), aKey.high_, aKey.low_);
  }
};

// Returns a key as 32 hexadecimal digits.
std::string
ToHex(const BlockKey& aKey);

// Parses 32 hexadecimal digits; returns nothing if the text is not valid.
absl::optional<BlockKey>
BlockKeyFromHex(absl::string_view aText);

// The scope of a cache block: everything but the tokens that its key depends
// on.
struct CacheScope
{
  std::string workspace_;
  std::string model_;
  std::string weightVersion_;
  std::string adapter_;
};

// Bytes of text that count as one token where no tokenizer is available.
inline constexpr std::size_t kBytesPerToken = 4;

// Returns the estimated number of tokens of a text.
std::size_t
CountTokens(absl::string_view aText);

// Returns the hash of the tokens of each full block of a prompt, independent of
// the scope.
std::vector<BlockKey>
BlockContents(absl::string_view aPrompt, std::size_t aBlockTokens);

// Returns the keys of blocks with these contents. Each key is chained to the
// previous one, so that equal prefixes in one scope have equal keys.
std::vector<BlockKey>
ChainBlocks(const CacheScope& aScope, const std::vector<BlockKey>& aContents);

// Returns the keys of the full blocks of a prompt.
std::vector<BlockKey>
BlockChain(const CacheScope& aScope,
           absl::string_view aPrompt,
           std::size_t aBlockTokens);

// Returns a 64-bit hash of a text, equal on all hosts.
std::uint64_t
StableHash(absl::string_view aText, std::uint64_t aSeed = 0);

// Returns the score of a member for an item; the highest score wins
// (rendezvous hashing).
std::uint64_t
RendezvousScore(absl::string_view aItem, absl::string_view aMember);

// Returns the aCount members with the highest score, best first.
std::vector<std::string>
RendezvousPick(absl::string_view aItem,
               const std::vector<std::string>& aMembers,
               std::size_t aCount);

// Returns the SHA-256 digest as 64 hexadecimal digits.
std::string
Sha256Hex(absl::string_view aText);

// Returns HMAC-SHA-256 of a text as 64 hexadecimal digits.
std::string
HmacSha256Hex(absl::string_view aKey, absl::string_view aText);

// Compares two texts in a time that depends only on their lengths.
bool
EqualConstantTime(absl::string_view aLeft, absl::string_view aRight);

// Returns 128 random bits as 32 hexadecimal digits.
std::string
RandomId();

} // namespace lycheeplank::core

#endif
