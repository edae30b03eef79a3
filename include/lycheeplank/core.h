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

// Names, times, hashes and errors that all other folders share.
namespace lycheeplank::core {

// One row of a table that gives each value of an enum its written name.
template<typename Enum>
struct Named
{
  Enum value_;
  absl::string_view name_;
};

// Returns the written name of a value, e.g. NameOf(kRunStates, RunState::No).
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

// Returns the value with the written name, or nothing if there is none.
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

// A moment in the history of a key-value service. A service that comes back
// from a copy of its data starts a new era and gives out revisions again.
struct Position
{
  // 0 for a service that doesn't count its eras.
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

// Whether a request was executed, as far as the answer can say.
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

// Kinds of error that a caller or an operator can meet.
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

// What the table of error kinds says of one kind.
struct ErrorTraits
{
  ErrorKind kind_;
  // Last part of the problem type, and the label of the refusal counter.
  absl::string_view name_;
  int httpStatus_;
  absl::string_view title_;
  absl::string_view remedy_;
};

// Returns the traits of a kind.
const ErrorTraits&
TraitsOf(ErrorKind aKind);

// Returns all error kinds, in the order of the enum.
const std::vector<ErrorTraits>&
AllErrorKinds();

// An error whose message names the remedy.
struct Error
{
  ErrorKind kind_ = ErrorKind::Internal;
  // What went wrong this time.
  std::string detail_;
  // What to do about it; empty takes the remedy of the kind.
  std::string remedy_;
  RunState run_ = RunState::No;
  // When coming back helps; zero if it doesn't.
  absl::Duration retryAfter_ = absl::ZeroDuration();
};

// Returns "kind: detail; remedy" for logs and terminals.
std::string
Describe(const Error& aError);

// A value, or an error that travels by Boost.LEAF.
template<typename T>
using Result = boost::leaf::result<T>;

// Starts the way of an error: `return Fail({ ErrorKind::NotFound, "..." });`
inline boost::leaf::error_id
Fail(Error aError)
{
  return boost::leaf::new_error(std::move(aError));
}

// Runs a function that returns a Result; gives its error, if any, to aOnError.
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

// Key of one cache block: a hash over workspace, model, weight version,
// adapter and all tokens up to the end of the block.
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

// Reads 32 hexadecimal digits.
absl::optional<BlockKey>
BlockKeyFromHex(absl::string_view aText);

// What a cache block belongs to beside its tokens.
struct CacheScope
{
  std::string workspace_;
  std::string model_;
  std::string weightVersion_;
  std::string adapter_;
};

// Bytes of text that count as one token where no tokenizer is at hand.
inline constexpr std::size_t kBytesPerToken = 4;

// Returns the number of tokens of a text.
std::size_t
CountTokens(absl::string_view aText);

// Returns the hash of the tokens of each full block of a prompt, whatever
// they belong to.
std::vector<BlockKey>
BlockContents(absl::string_view aPrompt, std::size_t aBlockTokens);

// Returns the keys of blocks with these contents, each chained to the one
// before it, so that equal prefixes of one scope have equal keys.
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

// Compares two texts in time that depends on their lengths only.
bool
EqualConstantTime(absl::string_view aLeft, absl::string_view aRight);

// Returns 128 random bits as 32 hexadecimal digits.
std::string
RandomId();

} // namespace lycheeplank::core

#endif
