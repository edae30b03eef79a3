#include "gateway/event-ids.h"

namespace lycheeplank::gateway {

bool
RecordIds(EventIds& aIds, IdPattern aSeen)
{
  if (aSeen == IdPattern::Unknown) {
    return false;
  }
  if (aIds.pattern_ == IdPattern::Unknown) {
    aIds = { aSeen, 0 };
    return true;
  }
  aIds.opposed_ = aSeen == aIds.pattern_ ? 0 : aIds.opposed_ + 1;
  if (aIds.opposed_ < kOpposedStreams) {
    return false;
  }
  aIds = {};
  return true;
}

} // namespace lycheeplank::gateway
