#ifndef LYCHEEPLANK_TEST_HOST_GROUP_H
#define LYCHEEPLANK_TEST_HOST_GROUP_H

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include <unistd.h>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include "gateway-world.h"
#include "gateway/gossip.h"

// Runs many hosts in one thread, each at its own loopback address, with shared
// targets and the datagrams between the hosts.
namespace lycheeplank::test {

class HostGroup
{
public:
  explicit HostGroup(std::size_t aHosts)
    : adapter_(platform::MakeAdapter())
  {
    catalog::Catalog catalog;
    catalog::Route route;
    route.name_ = "r";
    route.host_ = "h";
    route.prefix_ = "/again/";
    route.repeatPolicy_ = catalog::RepeatPolicy::Idempotent;
    route.attempts_ = 2;
    route.isPublic_ = true;
    route.goal_ = absl::Milliseconds(500);
    route.timeout_ = absl::Seconds(3);
    route.shares_ = { { "s", 1.0 } };
    catalog.routes_["h"].push_back(route);
    catalog::BuildIndexes(catalog);
    catalog_ = std::make_shared<const catalog::Catalog>(std::move(catalog));
    entry_hosts::Hosts entries;
    for (std::size_t i = 0; i < aHosts; ++i) {
      const auto name = NameOf(i);
      entries[name] = { { name,
                          absl::StrCat("dc", i % 3),
                          AddressOf(i),
                          AddressOf(i),
                          0.25,
                          false } };
    }
    for (std::size_t i = 0; i < aHosts; ++i) {
      nodes_.push_back(std::make_unique<Node>(*this, i, entries));
    }
  }

  // Adds a target of data centre "dc0" that all hosts know.
  FakeTarget& AddTarget(FakeTarget::Answer aAnswer)
  {
    targets_.push_back(std::make_unique<FakeTarget>(loop_, std::move(aAnswer)));
    fleet::Target target;
    target.id_ = absl::StrCat("t", targets_.size());
    target.service_ = "s";
    target.address_ = targets_.back()->Address();
    target.dataCentre_ = "dc0";
    for (const auto& node : nodes_) {
      fleet::UpdateTarget(
        node->host_.members_, target, { 0, 1 }, absl::InfinitePast());
    }
    return *targets_.back();
  }

  // Gives a target a new start, as all hosts learn from its entry.
  void RestartTarget(std::size_t aTarget)
  {
    for (const auto& node : nodes_) {
      auto target =
        node->host_.members_.at(absl::StrCat("t", aTarget + 1)).target_;
      ++target.bornMs_;
      fleet::UpdateTarget(node->host_.members_,
                          target,
                          { 0, static_cast<std::uint64_t>(target.bornMs_) + 1 },
                          gateway::Now());
    }
  }

  // Sends one request to a host; its answer is added to answers_.
  void Call(std::size_t aHost,
            const std::string& aRequest = World::Request("/again/x"))
  {
    const auto answer = std::make_shared<std::string>();
    gateway::Connect(
      loop_,
      gateway::Tcp::endpoint(boost::asio::ip::make_address(IpOf(aHost)),
                             nodes_.at(aHost)->server_.Port()),
      absl::Seconds(5),
      [this, answer, aRequest](std::shared_ptr<gateway::Socket> aSocket, auto) {
        if (!aSocket) {
          answers_.emplace_back("not connected");
          return;
        }
        callers_.push_back(aSocket);
        aSocket->Open({ [this, answer](std::string& aData) {
                         *answer += aData;
                         aData.clear();
                         if (absl::StrContains(*answer, "\r\n\r\n")) {
                           answers_.push_back(std::move(*answer));
                           answer->clear();
                         }
                       },
                        [](gateway::PeerEnd) {},
                        {} });
        aSocket->Send(aRequest);
      });
  }

  void RunFor(std::chrono::milliseconds aTime)
  {
    loop_.restart();
    loop_.run_for(aTime);
  }

  std::size_t Size() const { return nodes_.size(); }
  gateway::Host& HostAt(std::size_t aHost) { return nodes_.at(aHost)->host_; }

  gateway::Loop loop_{ 1 };
  std::vector<std::unique_ptr<FakeTarget>> targets_;
  // Heads of the answers to all callers so far.
  std::vector<std::string> answers_;

private:
  struct Node
  {
    Node(HostGroup& aGroup,
         std::size_t aIndex,
         const entry_hosts::Hosts& aEntries)
      : host_(aGroup.loop_,
              SettingsOf(aIndex),
              aGroup.adapter_,
              open("/dev/null", O_WRONLY))
      , server_(
          aGroup.loop_,
          gateway::Tcp::endpoint(boost::asio::ip::make_address(IpOf(aIndex)),
                                 0),
          [this] { return host_.catalog_->limits_; },
          [this](const gateway::ServerConnectionPtr& aCaller) {
            std::make_shared<gateway::Exchange>(host_, aCaller)->Start();
          })
      , gossip_(host_, absl::StrCat(IpOf(aIndex), ":", GossipPort()))
    {
      host_.catalog_ = aGroup.catalog_;
      host_.hosts_ = aEntries;
      host_.onLoad_ = [this] { gossip_.ScheduleSend(); };
    }

    gateway::Host host_;
    gateway::Server server_;
    gateway::Gossip gossip_;
  };

  static std::uint16_t GossipPort()
  {
    return static_cast<std::uint16_t>(20000 + getpid() % 20000);
  }

  static std::string IpOf(std::size_t aIndex)
  {
    return absl::StrCat("127.9.", aIndex / 200, ".", aIndex % 200 + 1);
  }

  static std::string AddressOf(std::size_t aIndex)
  {
    return absl::StrCat(IpOf(aIndex), ":1");
  }

  static std::string NameOf(std::size_t aIndex)
  {
    return absl::StrCat("host-", aIndex);
  }

  static gateway::Settings SettingsOf(std::size_t aIndex)
  {
    gateway::Settings settings;
    settings.name_ = NameOf(aIndex);
    settings.dataCentre_ = absl::StrCat("dc", aIndex % 3);
    settings.gossipPort_ = GossipPort();
    settings.resendSlack_ = 100.0;
    return settings;
  }

  gateway::Adapter adapter_;
  catalog::CatalogPtr catalog_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<std::shared_ptr<gateway::Socket>> callers_;
};

} // namespace lycheeplank::test

#endif
