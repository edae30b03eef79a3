#include "lycheeplank/relays.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include "lycheeplank/core.h"

namespace lycheeplank::relays {

namespace {

// Hosts whose newest revisions differ by less than this usually compute the
// same order of claims.
constexpr std::uint64_t kRevisionsPerOrder = 64;

// Returns the number of relays of each data centre.
std::size_t
CountRelays(const entry_hosts::Hosts& aHosts)
{
  absl::btree_set<absl::string_view> dataCentres;
  for (const auto& [name, host] : aHosts) {
    dataCentres.insert(host.entry_.dataCentre_);
  }
  return dataCentres.size() * kRelaysPerDataCentre <= kMaxRelays
           ? kRelaysPerDataCentre
           : 1;
}

// Returns up to aCount hosts of a data centre in the order in which all hosts
// choose relays and forwarders: those with the most cores first, without
// leaving ones.
std::vector<std::string>
Ranked(const entry_hosts::Hosts& aHosts,
       absl::string_view aDataCentre,
       std::size_t aCount)
{
  std::vector<std::tuple<double, std::uint64_t, absl::string_view>> ranks;
  for (const auto& [name, host] : aHosts) {
    const auto& entry = host.entry_;
    if (entry.dataCentre_ == aDataCentre && !entry.leaving_) {
      ranks.emplace_back(
        -entry.cores_, core::RendezvousScore(aDataCentre, name), name);
    }
  }
  const auto end = std::min(aCount, ranks.size());
  std::partial_sort(ranks.begin(),
                    ranks.begin() + static_cast<std::ptrdiff_t>(end),
                    ranks.end());
  std::vector<std::string> names;
  for (std::size_t i = 0; i < end; ++i) {
    names.emplace_back(std::get<2>(ranks[i]));
  }
  return names;
}

bool
Contains(const std::vector<std::string>& aNames, const std::string& aName)
{
  return std::find(aNames.begin(), aNames.end(), aName) != aNames.end();
}

// Returns the forwarder of a host that isn't a relay.
std::string
Pick(const std::vector<std::string>& aForwarders,
     const entry_hosts::Hosts& aHosts,
     const std::string& aHost)
{
  const auto own = aHosts.find(aHost);
  const bool isEarlier = own != aHosts.end() && !own->second.entry_.canForward_;
  if (isEarlier || Contains(aForwarders, aHost)) {
    return {};
  }
  std::pair<std::uint64_t, std::string> best;
  for (const auto& name : aForwarders) {
    best = std::max(best, { core::RendezvousScore(aHost, name), name });
  }
  return best.second;
}

const Row&
RowAt(const Feed& aFeed, std::uint64_t aNumber)
{
  return aFeed.rows_[aNumber - aFeed.first_];
}

// Empties a row of a feed.
void
Remove(Feed& aFeed, Row& aRow, std::uint64_t aNumber)
{
  aFeed.bytes_ -= aRow.text_.size();
  aFeed.urgent_.erase(aNumber);
  aRow = {};
}

// Returns whether a host lacks a row that isn't before its position.
bool
IsDue(const Feed& aFeed, const Position& aPosition, std::uint64_t aNumber)
{
  const auto& row = RowAt(aFeed, aNumber);
  const bool isReceived = row.urgency_ == Urgency::Urgent &&
                          aPosition.urgent_ && aNumber < *aPosition.urgent_;
  return !row.text_.empty() && !isReceived;
}

} // namespace

std::vector<std::string>
RelaysOf(const entry_hosts::Hosts& aHosts, absl::string_view aDataCentre)
{
  return Ranked(aHosts, aDataCentre, CountRelays(aHosts));
}

std::vector<std::string>
ForwardersOf(const entry_hosts::Hosts& aHosts, absl::string_view aDataCentre)
{
  std::size_t hosts = 0;
  for (const auto& [name, host] : aHosts) {
    hosts += host.entry_.dataCentre_ == aDataCentre ? 1 : 0;
  }
  const auto relays = CountRelays(aHosts);
  if (hosts <= relays + kMaxServedHosts) {
    return {};
  }
  const auto count = static_cast<std::size_t>(
    std::ceil(std::sqrt(static_cast<double>(hosts - relays))));
  std::vector<std::string> forwarders;
  const auto ranked = Ranked(aHosts, aDataCentre, hosts);
  for (std::size_t i = relays; i < ranked.size() && forwarders.size() < count;
       ++i) {
    if (aHosts.at(ranked[i]).entry_.canForward_) {
      forwarders.push_back(ranked[i]);
    }
  }
  return forwarders;
}

bool
IsForwarder(const entry_hosts::Hosts& aHosts, const std::string& aHost)
{
  const auto own = aHosts.find(aHost);
  if (own == aHosts.end()) {
    return false;
  }
  return Contains(ForwardersOf(aHosts, own->second.entry_.dataCentre_), aHost);
}

std::string
ForwarderOf(const entry_hosts::Hosts& aHosts,
            absl::string_view aDataCentre,
            const std::string& aHost)
{
  const auto relays = RelaysOf(aHosts, aDataCentre);
  return Contains(relays, aHost)
           ? std::string()
           : Pick(ForwardersOf(aHosts, aDataCentre), aHosts, aHost);
}

std::string
CollectorOf(const entry_hosts::Hosts& aHosts,
            absl::string_view aDataCentre,
            const std::string& aHost)
{
  const auto relays = RelaysOf(aHosts, aDataCentre);
  if (relays.empty() || relays.front() == aHost) {
    return {};
  }
  if (!aHosts.at(relays.front()).entry_.canForward_) {
    return relays.front();
  }
  auto forwarder = ForwarderOf(aHosts, aDataCentre, aHost);
  return forwarder.empty() ? relays.front() : forwarder;
}

std::vector<std::string>
CollectedBy(const entry_hosts::Hosts& aHosts,
            absl::string_view aDataCentre,
            const std::string& aHost)
{
  const auto relays = RelaysOf(aHosts, aDataCentre);
  std::vector<std::string> forwarders;
  if (!relays.empty() && aHosts.at(relays.front()).entry_.canForward_) {
    forwarders = ForwardersOf(aHosts, aDataCentre);
  }
  std::vector<std::string> names;
  for (const auto& [name, host] : aHosts) {
    if (relays.empty() || host.entry_.dataCentre_ != aDataCentre ||
        name == relays.front()) {
      continue;
    }
    const auto forwarder =
      Contains(relays, name) ? std::string() : Pick(forwarders, aHosts, name);
    if (aHost == (forwarder.empty() ? relays.front() : forwarder)) {
      names.push_back(name);
    }
  }
  return names;
}

bool
IsRelay(const entry_hosts::Hosts& aHosts, const std::string& aHost)
{
  const auto own = aHosts.find(aHost);
  if (own == aHosts.end()) {
    return true;
  }
  const auto relays = RelaysOf(aHosts, own->second.entry_.dataCentre_);
  return relays.empty() ||
         std::find(relays.begin(), relays.end(), aHost) != relays.end();
}

std::vector<std::string>
SourcesOf(const entry_hosts::Hosts& aHosts,
          absl::string_view aDataCentre,
          const std::string& aHost)
{
  auto sources = RelaysOf(aHosts, aDataCentre);
  std::vector<std::pair<std::uint64_t, std::string>> others;
  for (const auto& dataCentre : DataCentres(aHosts)) {
    if (const auto relays = RelaysOf(aHosts, dataCentre);
        dataCentre != aDataCentre && !relays.empty()) {
      others.emplace_back(core::RendezvousScore(aHost, relays.front()),
                          relays.front());
    }
  }
  std::sort(others.rbegin(), others.rend());
  for (auto& [score, name] : others) {
    sources.push_back(std::move(name));
  }
  sources.erase(std::remove(sources.begin(), sources.end(), aHost),
                sources.end());
  sources.resize(std::min(sources.size(), kMaxSources));
  if (auto forwarder = ForwarderOf(aHosts, aDataCentre, aHost);
      !forwarder.empty()) {
    sources.insert(sources.begin(), std::move(forwarder));
  }
  return sources;
}

absl::optional<std::size_t>
ClaimRank(const entry_hosts::Hosts& aHosts,
          const std::string& aHost,
          std::uint64_t aNewest)
{
  if (!aHosts.contains(aHost) || !IsRelay(aHosts, aHost)) {
    return absl::nullopt;
  }
  const auto vacancy = absl::StrCat("owner", aNewest / kRevisionsPerOrder);
  const auto own = core::RendezvousScore(vacancy, aHost);
  std::size_t turn = 0;
  for (const auto& dataCentre : DataCentres(aHosts)) {
    for (const auto& name : RelaysOf(aHosts, dataCentre)) {
      turn += core::RendezvousScore(vacancy, name) > own ? 1 : 0;
    }
  }
  return turn;
}

std::vector<std::string>
DataCentres(const entry_hosts::Hosts& aHosts)
{
  absl::btree_set<std::string> names;
  for (const auto& [name, host] : aHosts) {
    names.insert(host.entry_.dataCentre_);
  }
  return { names.begin(), names.end() };
}

bool
IsLargeDeployment(const entry_hosts::Hosts& aHosts)
{
  absl::flat_hash_map<absl::string_view, std::size_t> counts;
  for (const auto& [name, host] : aHosts) {
    if (++counts[host.entry_.dataCentre_] > kRelaysPerDataCentre) {
      return true;
    }
  }
  return false;
}

std::uint64_t
NextRow(const Feed& aFeed)
{
  return aFeed.first_ + aFeed.rows_.size();
}

void
Restart(Feed& aFeed, std::uint64_t aId)
{
  aFeed = Feed();
  aFeed.id_ = aId;
}

void
AddRow(Feed& aFeed, std::string aText, absl::string_view aKey, Urgency aUrgency)
{
  const auto number = NextRow(aFeed);
  if (!aKey.empty()) {
    auto [newest, isNew] = aFeed.newest_.try_emplace(aKey, number);
    if (!isNew) {
      Remove(aFeed, aFeed.rows_[newest->second - aFeed.first_], newest->second);
      newest->second = number;
    }
  }
  if (aUrgency == Urgency::Urgent) {
    aFeed.urgent_.insert(number);
  }
  aFeed.bytes_ += aText.size();
  aFeed.rows_.push_back({ std::move(aText), std::string(aKey), aUrgency });
  while (aFeed.rows_.size() > kMaxRows || aFeed.bytes_ > kMaxBytes) {
    auto& row = aFeed.rows_.front();
    if (!row.key_.empty()) {
      aFeed.newest_.erase(row.key_);
    }
    Remove(aFeed, row, aFeed.first_);
    aFeed.rows_.pop_front();
    ++aFeed.first_;
  }
}

absl::optional<Portion>
PortionFor(const Feed& aFeed, const Position& aPosition)
{
  const auto& [id, next, urgent] = aPosition;
  if (!IsKnown(aFeed, aPosition)) {
    return absl::nullopt;
  }
  Portion portion{ {}, aPosition };
  std::vector<absl::string_view> texts;
  if (urgent) {
    portion.position_.urgent_ = std::max(*urgent, NextRow(aFeed));
    for (auto at = aFeed.urgent_.lower_bound(std::max(next, *urgent));
         at != aFeed.urgent_.end();
         ++at) {
      texts.emplace_back(RowAt(aFeed, *at).text_);
    }
    if (!texts.empty()) {
      portion.rows_ = absl::StrJoin(texts, ",");
      return portion;
    }
  }
  std::size_t bytes = 0;
  auto& number = portion.position_.next_;
  for (; number < NextRow(aFeed); ++number) {
    if (!IsDue(aFeed, aPosition, number)) {
      continue;
    }
    const auto& text = RowAt(aFeed, number).text_;
    if (bytes > 0 && bytes + text.size() > kMaxPortionBytes) {
      break;
    }
    bytes += text.size();
    texts.emplace_back(text);
  }
  portion.rows_ = absl::StrJoin(texts, ",");
  return portion;
}

bool
IsKnown(const Feed& aFeed, const Position& aPosition)
{
  return aPosition.feed_ == aFeed.id_ && aPosition.next_ >= aFeed.first_ &&
         aPosition.next_ <= NextRow(aFeed);
}

bool
IsBehind(const Feed& aFeed, const Position& aPosition)
{
  if (!IsKnown(aFeed, aPosition)) {
    return true;
  }
  for (auto number = aPosition.next_; number < NextRow(aFeed); ++number) {
    if (IsDue(aFeed, aPosition, number)) {
      return true;
    }
  }
  return false;
}

} // namespace lycheeplank::relays
