#ifndef LYCHEEPLANK_SRC_GATEWAY_TARGET_ENTRIES_H
#define LYCHEEPLANK_SRC_GATEWAY_TARGET_ENTRIES_H

#include <string>

#include "gateway/host.h"

// The entries of targets. Whether an entry names a target to use is decided
// here and nowhere else: others get no place in Host::members_, which all
// counts, choices and rollouts are made from.
namespace lycheeplank::gateway {

// Applies a change of a target's entry.
void
ApplyTarget(Host& aHost,
            const std::string& aId,
            const replica::Item& aItem,
            absl::string_view aSource,
            absl::Time aNow);

// Judges the entries again by the present catalog, which may name other
// services than the one before.
void
ReapplyTargets(Host& aHost, absl::Time aNow);

} // namespace lycheeplank::gateway

#endif
