#include "lycheeplank/claims.h"

#include <glog/logging.h>

namespace lycheeplank::claims {

namespace {

// What a verdict means to a caller.
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
    "an earlier request with this key had another content" },
  { Verdict::Expired,
    core::ErrorKind::IdempotencyKeyExpired,
    core::RunState::Unknown,
    "an earlier request with this key would be forgotten by now" },
  { Verdict::Unavailable,
    core::ErrorKind::PlatformUnavailable,
    core::RunState::No,
    "the claim could not be recorded, so this request was not run" },
} };

} // namespace

core::Error
ToError(const ClaimResponse& aAnswer)
{
  for (const auto& row : kVerdictErrors) {
    if (row.verdict_ == aAnswer.verdict_) {
      return { row.kind_,
               std::string(row.detail_.data(), row.detail_.size()),
               "",
               row.run_,
               aAnswer.retryAfter_ };
    }
  }
  LOG(FATAL) << "verdict " << core::NameOf(kVerdicts, aAnswer.verdict_)
             << " is no error";
}

} // namespace lycheeplank::claims
