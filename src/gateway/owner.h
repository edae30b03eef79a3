#ifndef LYCHEEPLANK_SRC_GATEWAY_OWNER_H
#define LYCHEEPLANK_SRC_GATEWAY_OWNER_H

#include <functional>
#include <memory>
#include <string>

#include <absl/container/flat_hash_map.h>

#include "gateway/host.h"
#include "gateway/timer.h"
#include "lycheeplank/part_use.h"
#include "lycheeplank/weights.h"

namespace lycheeplank::gateway {

// Competes with the other hosts for ownership of the weights rollout. One host
// at a time owns it; only the owner orders targets to load weights and frees
// the parts of prompts that cache stores hold for old weights.
class Owner : public std::enable_shared_from_this<Owner>
{
public:
  explicit Owner(Host& aHost);

  void Start();
  // Claims ownership if no host has it. Runs after each change of the host's
  // state.
  void OnChange();
  // Steps down, since leases of the key-value service's previous era are void.
  void OnNewEra();
  // Steps down and ends the lease, so that another host can take over at once.
  void Resign();

private:
  enum class Phase
  {
    Waiting,
    Claiming,
    Owning,
  };

  // Ownership: claim, lease and its renewal.
  void ScheduleClaim();
  void AcquireLease();
  void CommitClaim();
  void BecomeOwner(const core::Position& aClaimedAt);
  void KeepAlive();
  void ScheduleKeepAlive();
  void StepDown(absl::string_view aReason);
  // Returns whether this host may send orders now.
  bool CanSendOrders() const;
  // Returns the time from which an owner of the previous era can't send orders
  // any more.
  absl::Time FirstOrderTime() const;

  // Work of the owner: rollouts, and freeing of old parts.
  void Step();
  void AdvanceRollout(const std::string& aModel, weights::Rollout& aRollout);
  // Frees the places of targets that have stopped answering.
  void ReleaseSilent(const std::string& aModel, weights::Rollout& aRollout);
  // Sends the order after the notice of aAnnouncedAt has reached all hosts.
  void OnAnnounced(const std::string& aModel,
                   const std::string& aTarget,
                   absl::Time aAnnouncedAt);
  void SendOrder(const std::string& aModel, const std::string& aTarget);
  // Calls a target. Its answer is ignored if the target has started again
  // meanwhile.
  void CallTarget(const fleet::Target& aTarget,
                  http::Call aCall,
                  absl::Duration aTimeout,
                  std::function<void(const http::Answer&)> aOnAnswer);
  // aVersion: the one that the order named.
  void OnOrderOutcome(const std::string& aModel,
                      const std::string& aTarget,
                      std::uint64_t aVersion,
                      OrderOutcome aOutcome);
  // Fetches a target's report, once a permit is issued if its requests need
  // one.
  void FetchReport(const std::string& aModel, const std::string& aTarget);
  void CallForReport(const std::string& aModel, const std::string& aTarget);
  void OnReport(const std::string& aModel,
                const std::string& aTarget,
                const TargetReport& aReport);
  // Frees parts that were computed with old weights, once no host reads them.
  void FreeOldParts();
  void UpdateOldestWeights(absl::Time aNow);
  void FreeOldParts(const std::string& aModel, const part_use::Unused& aUnused);
  void FreeParts(const std::string& aStore,
                 const cache_index::StoreState& aState,
                 std::vector<cache_index::Change> aParts);
  weights::TargetProgress* FindWork(const std::string& aModel,
                                    const std::string& aTarget);

  Host& host_;
  Timer claimTimer_;
  Timer keepAliveTimer_;
  Timer stepTimer_;
  Phase phase_ = Phase::Waiting;
  // Number of the present claim. Replies to calls that belong to earlier claims
  // are ignored.
  std::uint64_t claimId_ = 0;
  std::uint64_t lease_ = 0;
  // Fencing token of the orders; targets reject orders with a lower one.
  std::uint64_t fence_ = 0;
  // Value that the claim writes to the owner's key; unique for each claim, and
  // empty until the lease is granted that the key is bound to.
  std::string claimValue_;
  // End of the ownership unless the lease is renewed.
  absl::Time validUntil_ = absl::InfinitePast();
  absl::flat_hash_map<std::string, weights::Rollout> rollouts_;
  // By model.
  absl::flat_hash_map<std::string, part_use::Rises> oldestWeights_;
  absl::Time partsFreedAt_ = absl::InfinitePast();
  bool started_ = false;
};

} // namespace lycheeplank::gateway

#endif
