#ifndef LYCHEEPLANK_SRC_GATEWAY_OWNER_H
#define LYCHEEPLANK_SRC_GATEWAY_OWNER_H

#include <memory>
#include <string>

#include <absl/container/flat_hash_map.h>

#include "gateway/host.h"
#include "gateway/timer.h"
#include "lycheeplank/weights.h"

namespace lycheeplank::gateway {

// Holds, at one host at a time, the right to give orders to targets and to free
// what cache stores keep for old weights.
class Owner : public std::enable_shared_from_this<Owner>
{
public:
  explicit Owner(Host& aHost);

  void Start();
  // Looks whether the owner has gone, or whether there is something to do.
  void OnChange();
  // Gives up a right of an era of the key-value service that is over.
  void OnEra();
  // Gives the right back.
  void Leave();

private:
  enum class Phase
  {
    Waiting,
    Claiming,
    Owning,
  };

  // Getting and keeping the right.
  void ClaimLater();
  void Grant();
  void Claim();
  void TakeOffice(const core::Position& aClaimedAt);
  void Keep();
  void KeepLater();
  void Lose(absl::string_view aReason);
  bool IsValid() const;
  // When no order of an owner of the era before can follow any more.
  absl::Time OrdersFrom() const;

  // Using it.
  void Step();
  void StepModel(const std::string& aModel, weights::Rollout& aRollout);
  void SendOrder(const std::string& aModel, const std::string& aTarget);
  void OnOutcome(const std::string& aModel,
                 const std::string& aTarget,
                 OrderOutcome aOutcome);
  void ReadAccount(const std::string& aModel, const std::string& aTarget);
  void OnAccount(const std::string& aModel,
                 const std::string& aTarget,
                 const TargetReport& aReport);
  void FreeOldParts();
  void Free(const std::string& aStore,
            const cache_index::StoreState& aState,
            std::vector<cache_index::Change> aParts);
  weights::TargetProgress* Find(const std::string& aModel,
                                const std::string& aTarget);

  Host& host_;
  Timer claimTimer_;
  Timer keepTimer_;
  Timer stepTimer_;
  Phase phase_ = Phase::Waiting;
  // Differs for each claim; answers to calls for others don't count.
  std::uint64_t claim_ = 0;
  std::uint64_t lease_ = 0;
  std::uint64_t fence_ = 0;
  std::string value_;
  absl::Time validUntil_ = absl::InfinitePast();
  absl::flat_hash_map<std::string, weights::Rollout> rollouts_;
  absl::flat_hash_map<std::string, absl::Time> readAt_;
  // Oldest weights that targets have, by model, and since when.
  struct Oldest
  {
    std::uint64_t version_ = 0;
    absl::Time since_ = absl::InfinitePast();
  };
  absl::flat_hash_map<std::string, Oldest> oldest_;
  absl::Time freedAt_ = absl::InfinitePast();
  bool started_ = false;
};

} // namespace lycheeplank::gateway

#endif
