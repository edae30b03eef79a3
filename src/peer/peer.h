#ifndef LYCHEEPLANK_PEER_PEER_H
#define LYCHEEPLANK_PEER_PEER_H

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "lycheeplank/reducer.h"

namespace lycheeplank::peer {

using Post = std::function<void(reducer::Event)>;

// Answers the calls of other entry hosts: each becomes an event, and the
// effect that answers it ends the call.
class Server
{
public:
  // Listens on an address such as "127.0.0.1:0"; throws std::runtime_error if
  // it is taken.
  Server(const std::string& aAddress, Post aPost);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  std::uint16_t Port() const;

  void Perform(const reducer::ReplyClaim& aReply);
  void Perform(const reducer::ReplyOutcomeReport& aReply);
  void Perform(const reducer::ReplyHolders& aReply);
  void Perform(const reducer::ReplyConfig& aReply);
  void Perform(const membership::AnswerProbe& aReply);
  void Perform(const membership::AnswerIndirectProbe& aReply);

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

// Calls other entry hosts by name.
class Client
{
public:
  explicit Client(Post aPost);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  // Sets the address of a host.
  void SetAddress(const std::string& aHost, const std::string& aAddress);

  void Perform(const reducer::RequestClaim& aEffect);
  void Perform(const reducer::ReportOutcome& aEffect);
  void Perform(const reducer::SendClaimHeartbeat& aEffect);
  void Perform(const reducer::QueryHomes& aEffect);
  void Perform(const reducer::ReportBlocksToHome& aEffect);
  void Perform(const config::FetchFromPeer& aEffect);
  void Perform(const config::RequestRevision& aEffect);
  void Perform(const membership::SendProbe& aEffect);
  void Perform(const membership::RequestIndirectProbe& aEffect);

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace lycheeplank::peer

#endif
