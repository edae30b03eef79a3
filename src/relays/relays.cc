#include "lycheeplank/relays.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include "lycheeplank/core.h"

namespace lycheeplank::relays {

namespace {

// Hosts whose newest revisions differ by less than this usually compute the
// same order of claims.
constexpr std::uint64_t kRevisionsPerOrder = 64;

} // namespace

std::vector<std::string>
RelaysOf(const entry_hosts::Hosts& aHosts, absl::string_view aDataCentre)
{
  std::vector<std::tuple<double, std::uint64_t, std::string>> ranks;
  for (const auto& [name, host] : aHosts) {
    const auto& entry = host.entry_;
    if (entry.dataCentre_ == aDataCentre && !entry.leaving_) {
      ranks.emplace_back(
        -entry.cores_, core::RendezvousScore(aDataCentre, name), name);
    }
  }
  std::sort(ranks.begin(), ranks.end());
  const std::size_t count =
    DataCentres(aHosts).size() * kRelaysPerDataCentre <= kMaxRelays
      ? kRelaysPerDataCentre
      : 1;
  std::vector<std::string> names;
  for (std::size_t i = 0; i < std::min(count, ranks.size()); ++i) {
    names.push_back(std::get<2>(ranks[i]));
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
AddRow(Feed& aFeed, std::string aText, absl::string_view aKey)
{
  if (!aKey.empty()) {
    for (auto& row : aFeed.rows_) {
      if (row.key_ == aKey) {
        aFeed.bytes_ -= row.text_.size();
        row = {};
      }
    }
  }
  aFeed.bytes_ += aText.size();
  aFeed.rows_.push_back({ std::move(aText), std::string(aKey) });
  while (aFeed.rows_.size() > kMaxRows || aFeed.bytes_ > kMaxBytes) {
    aFeed.bytes_ -= aFeed.rows_.front().text_.size();
    aFeed.rows_.pop_front();
    ++aFeed.first_;
  }
}

absl::optional<std::string>
RowsFrom(const Feed& aFeed, std::uint64_t aId, std::uint64_t aFirst)
{
  if (aId != aFeed.id_ || aFirst < aFeed.first_ || aFirst > NextRow(aFeed)) {
    return absl::nullopt;
  }
  std::vector<absl::string_view> texts;
  for (auto at = aFeed.rows_.begin() +
                 static_cast<std::ptrdiff_t>(aFirst - aFeed.first_);
       at != aFeed.rows_.end();
       ++at) {
    if (!at->text_.empty()) {
      texts.emplace_back(at->text_);
    }
  }
  return absl::StrJoin(texts, ",");
}

} // namespace lycheeplank::relays
