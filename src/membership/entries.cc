#include "lycheeplank/membership.h"

#include <algorithm>

namespace lycheeplank::membership {

namespace {

struct Candidate
{
  bool overloaded_ = false;
  std::uint64_t score_ = 0;
  const HostState* host_ = nullptr;
};

bool
GoesBefore(const Candidate& aLeft, const Candidate& aRight)
{
  if (aLeft.overloaded_ != aRight.overloaded_) {
    return aRight.overloaded_;
  }
  return aLeft.score_ != aRight.score_
           ? aLeft.score_ > aRight.score_
           : aLeft.host_->name_ < aRight.host_->name_;
}

std::vector<Candidate>
Candidates(const State& aState, absl::string_view aWorkspace)
{
  std::vector<Candidate> candidates;
  const auto add = [&](const HostState& aHost, bool aOverloaded) {
    if (aHost.status_ == Status::Alive) {
      candidates.push_back({ aOverloaded,
                             core::RendezvousScore(aWorkspace, aHost.name_),
                             &aHost });
    }
  };
  add(aState.self_, aState.ownOverloaded_);
  for (const auto& [name, member] : aState.members_) {
    add(member.state_, member.overloaded_);
  }
  return candidates;
}

bool
NameBefore(const HostState& aLeft, const HostState& aRight)
{
  return aLeft.name_ < aRight.name_;
}

} // namespace

Entries
EntriesFor(const State& aState,
           absl::string_view aWorkspace,
           std::size_t aCount)
{
  auto candidates = Candidates(aState, aWorkspace);
  const std::size_t count = std::min(aCount, candidates.size());
  std::partial_sort(candidates.begin(),
                    candidates.begin() + static_cast<std::ptrdiff_t>(count),
                    candidates.end(),
                    GoesBefore);
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
  std::sort(hosts.begin(), hosts.end(), NameBefore);
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
