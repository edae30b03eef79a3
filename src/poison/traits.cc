#include <algorithm>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include "poison/evidence.h"

namespace lycheeplank::poison {

namespace {

// Ids of requests begin with this.
constexpr absl::string_view kRequestMark = "#";

} // namespace

std::string
RequestTrait(absl::string_view aFingerprint)
{
  return absl::StrCat(kRequestMark, aFingerprint);
}

TraitKind
KindOf(absl::string_view aTrait)
{
  // Ids of parts begin with a model, a caller's text, and a slash.
  return absl::StartsWith(aTrait, kRequestMark) &&
             !absl::StrContains(aTrait, '/')
           ? TraitKind::Request
           : TraitKind::Part;
}

const KindLimits&
LimitsOf(absl::string_view aTrait)
{
  return *std::find_if(kKindLimits.begin(),
                       kKindLimits.end(),
                       [kind = KindOf(aTrait)](const KindLimits& aLimits) {
                         return aLimits.kind_ == kind;
                       });
}

} // namespace lycheeplank::poison
