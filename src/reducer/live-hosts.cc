#include "reducer/internal.h"

#include <algorithm>

namespace lycheeplank::reducer::detail {

namespace {

// Number of hosts that poll the platform for the configuration. The other hosts
// get it from them.
constexpr std::size_t kConfigPollers = 3;

std::vector<std::string>
NamesOf(const std::vector<membership::HostState>& aHosts)
{
  std::vector<std::string> names;
  names.reserve(aHosts.size());
  for (const auto& host : aHosts) {
    names.push_back(host.name_);
  }
  return names;
}

// Reassigns the homes of prompts after a change of the live hosts: reports
// blocks to their new homes, forgets blocks that have moved away, and fetches
// all inventories if the directory has to be rebuilt.
void
UpdateHomes(Context& aContext, std::vector<std::string> aNames)
{
  State& state = aContext.state_;
  const directory::HostSet after = directory::MakeHostSet(std::move(aNames));
  const directory::HomeChange change = directory::PlanHomeChange(
    state.directory_, state.self_.name_, state.homeHosts_, after);
  state.homeHosts_ = after;
  for (const auto& handOver : change.handOvers_) {
    aContext.effects_.emplace_back(ReportBlocksToHome{
      handOver.host_, handOver.holder_, false, handOver.sightings_ });
  }
  directory::ForgetPrompts(state.directory_, change.forget_);
  if (change.rebuild_) {
    for (auto& [name, target] : state.targets_) {
      target.cursor_ = {};
      aContext.effects_.emplace_back(FetchInventory{ name });
    }
    for (const auto& [name, store] : state.stores_) {
      aContext.effects_.emplace_back(FetchStoreInventory{ name });
    }
  }
}

// Chooses the hosts that poll for the configuration and passes them to the
// configuration module.
void
ChooseConfigPollers(Context& aContext,
                    const std::vector<membership::HostState>& aLive)
{
  config::PollersChanged change;
  for (const auto& name :
       core::RendezvousPick("config-pollers", NamesOf(aLive), kConfigPollers)) {
    if (name == aContext.state_.self_.name_) {
      change.self_ = true;
      continue;
    }
    for (const auto& host : aLive) {
      if (host.name_ == name) {
        change.others_.push_back({ name, host.peerAddress_ });
      }
    }
  }
  StepConfig(aContext, std::move(change));
}

// Adapts to a change of the live hosts; does nothing if they are unchanged.
void
UpdateLiveHosts(Context& aContext)
{
  State& state = aContext.state_;
  const auto live = membership::LiveHosts(state.membership_);
  std::vector<placement::Follower> followers;
  followers.reserve(live.size());
  for (const auto& host : live) {
    followers.push_back({ host.name_, host.dataCentre_ });
  }
  const auto same = [](const placement::Follower& aLeft,
                       const placement::Follower& aRight) {
    return aLeft.name_ == aRight.name_;
  };
  if (std::equal(followers.begin(),
                 followers.end(),
                 state.liveHosts_.begin(),
                 state.liveHosts_.end(),
                 same)) {
    return;
  }
  state.liveHosts_ = std::move(followers);
  UpdateHomes(aContext, NamesOf(live));
  ChooseConfigPollers(aContext, live);
  RankFollowers(aContext);
  for (auto& [key, pool] : state.pools_) {
    UpdateSlots(aContext, pool);
  }
  aContext.effects_.emplace_back(PublishHosts{ live });
}

// Publishes a change in whether this host serves requests.
void
UpdateServing(Context& aContext)
{
  State& state = aContext.state_;
  PublishServing now;
  now.isolated_ = !membership::MayServe(state.membership_, aContext.now_);
  now.drainedAfter_ = membership::DrainedAfter(state.membership_);
  now.draining_ = now.drainedAfter_ != absl::InfiniteFuture();
  const PublishServing& before = state.serving_;
  if (now.isolated_ == before.isolated_ && now.draining_ == before.draining_ &&
      now.drainedAfter_ == before.drainedAfter_) {
    return;
  }
  state.serving_ = now;
  aContext.effects_.emplace_back(now);
}

// Forwards the effects of the membership module.
struct EffectForwarder
{
  Context& context_;

  void operator()(const membership::ReadHostList&)
  {
    platform::Command command;
    command.operation_ = platform::Operation::ListHosts;
    context_.effects_.emplace_back(
      SendCommand{ Module::Membership, std::move(command) });
  }
  void operator()(const membership::NewerConfigFound& aEffect)
  {
    StepConfig(
      context_,
      config::PeerRevisionReceived{
        { aEffect.peerAddress_, aEffect.peerAddress_ }, aEffect.revision_ });
  }
  void operator()(const membership::DrainRequired&)
  {
    StepMembership(context_, membership::DrainStarted{});
  }
  void operator()(const membership::TargetChanged& aEffect)
  {
    const auto found = context_.state_.targets_.find(aEffect.name_);
    if (found != context_.state_.targets_.end()) {
      found->second.listedAsLeaving_ = aEffect.leaving_;
    }
  }
  void operator()(const membership::Log& aEffect)
  {
    context_.effects_.emplace_back(LogLine{ aEffect.line_ });
  }
  template<typename Other>
  void operator()(const Other& aEffect)
  {
    context_.effects_.emplace_back(aEffect);
  }
};

} // namespace

void
StepMembership(Context& aContext, decltype(membership::Event::body_) aBody)
{
  State& state = aContext.state_;
  const membership::Event event{ aContext.now_, std::move(aBody) };
  for (const auto& effect : membership::Step(state.membership_, event)) {
    absl::visit(EffectForwarder{ aContext }, effect);
  }
  UpdateLiveHosts(aContext);
  UpdateServing(aContext);
}

} // namespace lycheeplank::reducer::detail
