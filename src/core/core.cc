#include "lycheeplank/core.h"

#include <algorithm>

#include <absl/random/random.h>
#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <openssl/crypto.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>
#include <xxhash.h>

namespace lycheeplank::core {

namespace {

// Ends each field of a scope, so that "ab"+"c" and "a"+"bc" differ.
constexpr char kPartEnd = '\0';
// Lowest HTTP status that reports a server error.
constexpr int kServerError = 500;

std::string
ToHexDigits(const unsigned char* aBytes, std::size_t aSize)
{
  return absl::BytesToHexString(
    absl::string_view(reinterpret_cast<const char*>(aBytes), aSize));
}

} // namespace

const std::vector<ErrorTraits>&
AllErrorKinds()
{
  using Kind = ErrorKind;
  static const auto* const table = new std::vector<ErrorTraits>{
    { Kind::MalformedRequest,
      "malformed_request",
      400,
      "The request could not be read",
      "Correct the request as the detail says." },
    { Kind::BodyTooLarge,
      "body_too_large",
      413,
      "The request body is too large",
      "Send a shorter prompt or split the request." },
    { Kind::MissingKey,
      "missing_key",
      401,
      "No caller key was given",
      "Send the workspace's key as 'Authorization: Bearer KEY'." },
    { Kind::WrongKey,
      "wrong_key",
      401,
      "The caller key is not known",
      "Check the key with the operator of the workspace." },
    { Kind::Forbidden,
      "forbidden",
      403,
      "The workspace may not use this",
      "Ask the operator for a serving rule that allows it." },
    { Kind::UnknownModel,
      "unknown_model",
      404,
      "The model is not configured",
      "Use a model that the configuration names." },
    { Kind::UnknownService,
      "unknown_service",
      404,
      "The service or call is not configured",
      "Use a service and call that the configuration names." },
    { Kind::UnknownPath,
      "unknown_path",
      404,
      "There is nothing at this path",
      "See the callers' page of the documentation for the paths." },
    { Kind::UnknownRun,
      "unknown_run",
      410,
      "The stream can no longer be resumed",
      "Send the request again." },
    { Kind::BadResumeToken,
      "bad_resume_token",
      400,
      "The resume token is not valid",
      "Send the id of the last event of your own stream unchanged." },
    { Kind::IdempotencyKeyRequired,
      "idempotency_key_required",
      400,
      "The call may not be repeated and needs an idempotency key",
      "Send a new 'Idempotency-Key' for each issuance, and the same one on "
      "each repeat." },
    { Kind::IdempotencyKeyExpired,
      "idempotency_key_expired",
      409,
      "The idempotency key is older than the retention",
      "Find out by other means whether the call was run, then use a new "
      "key." },
    { Kind::IdempotencyKeyMismatch,
      "idempotency_key_mismatch",
      422,
      "The idempotency key was used for another call",
      "Use a new key for each call." },
    { Kind::InProgress,
      "in_progress",
      409,
      "A call with this key is under way",
      "Repeat with the same key after the time given." },
    { Kind::OutcomeUnknown,
      "outcome_unknown",
      409,
      "It is not known whether the call was run",
      "Find out from the service itself; no second run is started under this "
      "key." },
    { Kind::DeadlineExceeded,
      "deadline_exceeded",
      504,
      "The deadline has passed",
      "Allow more time or come back after the time given." },
    { Kind::DeadlineUnreachable,
      "deadline_unreachable",
      503,
      "The deadline can't be met",
      "Come back after the time given or allow more time." },
    { Kind::QueueFull,
      "queue_full",
      503,
      "Too many requests are waiting",
      "Come back after the time given." },
    { Kind::WorkspaceLimit,
      "workspace_limit",
      429,
      "The workspace is over its limit",
      "Come back after the time given or ask the operator for a higher "
      "limit." },
    { Kind::NoTarget,
      "no_target",
      503,
      "No target can serve this now",
      "Come back after the time given." },
    { Kind::TargetFailed,
      "target_failed",
      502,
      "The target failed",
      "Send the request again after the time given." },
    { Kind::PlatformUnavailable,
      "platform_unavailable",
      503,
      "The platform service can't be reached",
      "Come back after the time given." },
    { Kind::NotReady,
      "not_ready",
      503,
      "This host has no configuration yet",
      "Use another host of GET /v1/entries." },
    { Kind::Draining,
      "draining",
      503,
      "This host is shutting down",
      "Use another host of GET /v1/entries." },
    { Kind::ConfigInvalid,
      "config_invalid",
      422,
      "The configuration is not valid",
      "Correct the fields that the detail names." },
    { Kind::ConfigConflict,
      "config_conflict",
      409,
      "The section was changed meanwhile",
      "Fetch the current document, edit it again and apply." },
    { Kind::NotFound,
      "not_found",
      404,
      "It does not exist",
      "Check the name." },
    { Kind::Internal,
      "internal",
      500,
      "An internal error",
      "Report it with the request id." },
  };
  return *table;
}

const ErrorTraits&
TraitsOf(ErrorKind aKind)
{
  return AllErrorKinds()[static_cast<std::size_t>(aKind)];
}

bool
PromisesNotRun(int aStatus)
{
  switch (aStatus) {
    case 408: // Request Timeout
    case 421: // Misdirected Request
    case 429: // Too Many Requests
    case 503: // Service Unavailable
      return true;
    default:
      return false;
  }
}

bool
IsPassedOn(int aStatus)
{
  return aStatus < kServerError && !PromisesNotRun(aStatus);
}

std::string
Describe(const Error& aError)
{
  const auto& traits = TraitsOf(aError.kind_);
  const absl::string_view remedy =
    aError.remedy_.empty() ? traits.remedy_ : aError.remedy_;
  return absl::StrCat(traits.name_, ": ", aError.detail_, "; ", remedy);
}

std::string
ToHex(const BlockKey& aKey)
{
  return absl::StrFormat("%016x%016x", aKey.high_, aKey.low_);
}

absl::optional<BlockKey>
BlockKeyFromHex(absl::string_view aText)
{
  constexpr std::size_t kHalf = 16;
  BlockKey key;
  if (aText.size() != 2 * kHalf ||
      !absl::SimpleHexAtoi(aText.substr(0, kHalf), &key.high_) ||
      !absl::SimpleHexAtoi(aText.substr(kHalf), &key.low_)) {
    return absl::nullopt;
  }
  return key;
}

std::size_t
CountTokens(absl::string_view aText)
{
  return (aText.size() + kBytesPerToken - 1) / kBytesPerToken;
}

std::vector<BlockKey>
BlockContents(absl::string_view aPrompt, std::size_t aBlockTokens)
{
  std::vector<BlockKey> contents;
  const std::size_t blockBytes = aBlockTokens * kBytesPerToken;
  for (std::size_t at = 0; blockBytes > 0 && at + blockBytes <= aPrompt.size();
       at += blockBytes) {
    const XXH128_hash_t hash = XXH3_128bits(aPrompt.data() + at, blockBytes);
    contents.push_back({ hash.high64, hash.low64 });
  }
  return contents;
}

std::vector<BlockKey>
ChainBlocks(const CacheScope& aScope, const std::vector<BlockKey>& aContents)
{
  std::string scope;
  for (const auto* part : { &aScope.workspace_,
                            &aScope.model_,
                            &aScope.weightVersion_,
                            &aScope.adapter_ }) {
    scope += *part;
    scope += kPartEnd;
  }
  XXH128_hash_t previous = XXH3_128bits(scope.data(), scope.size());
  std::vector<BlockKey> chain;
  chain.reserve(aContents.size());
  for (const auto& content : aContents) {
    const std::array<std::uint64_t, 4> link{
      previous.high64, previous.low64, content.high_, content.low_
    };
    previous = XXH3_128bits(link.data(), sizeof(link));
    chain.push_back({ previous.high64, previous.low64 });
  }
  return chain;
}

std::vector<BlockKey>
BlockChain(const CacheScope& aScope,
           absl::string_view aPrompt,
           std::size_t aBlockTokens)
{
  return ChainBlocks(aScope, BlockContents(aPrompt, aBlockTokens));
}

std::uint64_t
StableHash(absl::string_view aText, std::uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aText.data(), aText.size(), aSeed);
}

std::uint64_t
RendezvousScore(absl::string_view aItem, absl::string_view aMember)
{
  return StableHash(aItem, StableHash(aMember));
}

std::vector<std::string>
RendezvousPick(absl::string_view aItem,
               const std::vector<std::string>& aMembers,
               std::size_t aCount)
{
  struct Scored
  {
    std::uint64_t score_;
    const std::string* member_;
  };
  std::vector<Scored> scored;
  scored.reserve(aMembers.size());
  for (const auto& member : aMembers) {
    scored.push_back({ RendezvousScore(aItem, member), &member });
  }
  const std::size_t count = std::min(aCount, scored.size());
  std::partial_sort(scored.begin(),
                    scored.begin() + static_cast<std::ptrdiff_t>(count),
                    scored.end(),
                    [](const Scored& aLeft, const Scored& aRight) {
                      return aLeft.score_ != aRight.score_
                               ? aLeft.score_ > aRight.score_
                               : *aLeft.member_ < *aRight.member_;
                    });
  std::vector<std::string> picked;
  picked.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    picked.push_back(*scored[i].member_);
  }
  return picked;
}

std::string
Sha256Hex(absl::string_view aText)
{
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(aText.data()),
         aText.size(),
         digest.data());
  return ToHexDigits(digest.data(), digest.size());
}

std::string
HmacSha256Hex(absl::string_view aKey, absl::string_view aText)
{
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  HMAC(EVP_sha256(),
       aKey.data(),
       static_cast<int>(aKey.size()),
       reinterpret_cast<const unsigned char*>(aText.data()),
       aText.size(),
       digest.data(),
       nullptr);
  return ToHexDigits(digest.data(), digest.size());
}

bool
EqualConstantTime(absl::string_view aLeft, absl::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         CRYPTO_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

std::string
RandomId()
{
  thread_local absl::BitGen generator;
  return ToHex({ generator(), generator() });
}

} // namespace lycheeplank::core
