#include "lycheeplank/claims.h"

#include <glog/logging.h>

namespace lycheeplank::claims {

namespace {

// The error that a caller gets for a verdict.
struct VerdictError
{
  Verdict verdict_;
  core::ErrorKind kind_;
  core::RunState run_;
  absl::string_view detail_;
};

constexpr std::array<VerdictError, 5> kVerdictErrors{ {
  { Verdict::InProgress,
    core::ErrorKind::InProgress,
    core::RunState::Unknown,
    "an earlier request with this key was running a moment ago" },
  { Verdict::Unknown,
    core::ErrorKind::OutcomeUnknown,
    core::RunState::Unknown,
    "an earlier request with this key has no known outcome" },
  { Verdict::Mismatch,
    core::ErrorKind::IdempotencyKeyMismatch,
    core::RunState::No,
    "an earlier request with this key had different content" },
  { Verdict::Expired,
    core::ErrorKind::IdempotencyKeyExpired,
    core::RunState::Unknown,
    "the key is older than the retention, so an earlier request with it may no "
    "longer be recorded" },
  { Verdict::Unavailable,
    core::ErrorKind::PlatformUnavailable,
    core::RunState::No,
    "the claim could not be recorded, so this request was not run" },
} };

} // namespace

core::Error
ToError(const ClaimResponse& aResponse)
{
  for (const auto& row : kVerdictErrors) {
    if (row.verdict_ == aResponse.verdict_) {
      return { row.kind_,
               std::string(row.detail_.data(), row.detail_.size()),
               "",
               row.run_,
               aResponse.retryAfter_ };
    }
  }
  LOG(FATAL) << "verdict " << core::NameOf(kVerdicts, aResponse.verdict_)
             << " has no error";
}

} // namespace lycheeplank::claims
