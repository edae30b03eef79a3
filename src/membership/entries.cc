#include "lycheeplank/membership.h"

#include <algorithm>

namespace lycheeplank::membership {

namespace {

// A live host with its rendezvous score for a workspace.
struct Candidate
{
  bool overloaded_ = false;
  std::uint64_t score_ = 0;
  const HostState* host_ = nullptr;
};

// Orders candidates: overloaded hosts come last, else the higher score comes
// first.
bool
IsPreferred(const Candidate& aLeft, const Candidate& aRight)
{
  if (aLeft.overloaded_ != aRight.overloaded_) {
    return aRight.overloaded_;
  }
  return aLeft.score_ != aRight.score_
           ? aLeft.score_ > aRight.score_
           : aLeft.host_->name_ < aRight.host_->name_;
}

std::vector<Candidate>
MakeCandidates(const State& aState, absl::string_view aWorkspace)
{
  std::vector<Candidate> candidates;
  const auto add = [&](const HostState& aHost, bool aOverloaded) {
    if (aHost.status_ == Status::Alive) {
      candidates.push_back({ aOverloaded,
                             core::RendezvousScore(aWorkspace, aHost.name_),
                             &aHost });
    }
  };
  add(aState.self_, aState.selfOverloaded_);
  for (const auto& [name, member] : aState.members_) {
    add(member.state_, member.overloaded_);
  }
  return candidates;
}

bool
HasSmallerName(const HostState& aLeft, const HostState& aRight)
{
  return aLeft.name_ < aRight.name_;
}

} // namespace

Entries
EntriesFor(const State& aState,
           absl::string_view aWorkspace,
           std::size_t aCount)
{
  auto candidates = MakeCandidates(aState, aWorkspace);
  const std::size_t count = std::min(aCount, candidates.size());
  std::partial_sort(candidates.begin(),
                    candidates.begin() + static_cast<std::ptrdiff_t>(count),
                    candidates.end(),
                    IsPreferred);
  Entries entries;
  entries.ttl_ = aState.settings_.entriesTtl_;
  for (std::size_t i = 0; i < count; ++i) {
    entries.hosts_.push_back(*candidates[i].host_);
  }
  return entries;
}

std::vector<HostState>
AllHosts(const State& aState)
{
  std::vector<HostState> hosts{ aState.self_ };
  for (const auto& [name, member] : aState.members_) {
    hosts.push_back(member.state_);
  }
  std::sort(hosts.begin(), hosts.end(), HasSmallerName);
  return hosts;
}

std::vector<HostState>
LiveHosts(const State& aState)
{
  auto hosts = AllHosts(aState);
  hosts.erase(std::remove_if(hosts.begin(),
                             hosts.end(),
                             [](const HostState& aHost) {
                               return aHost.status_ != Status::Alive;
                             }),
              hosts.end());
  return hosts;
}

} // namespace lycheeplank::membership
