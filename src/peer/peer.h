#ifndef LYCHEEPLANK_PEER_PEER_H
#define LYCHEEPLANK_PEER_PEER_H

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "lycheeplank/reducer.h"

namespace lycheeplank::peer {

// Passes an event to the reducer; called on gRPC threads.
using PostEvent = std::function<void(reducer::Event)>;

// A gRPC server for other entry hosts. Each call is posted as an event; the
// Perform overload for the effect that answers the call ends it.
class Server
{
public:
  // Listens on an address such as "127.0.0.1:0" (port 0 takes any free port);
  // throws std::runtime_error if the address is in use.
  Server(const std::string& aAddress, PostEvent aPostEvent);
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

// A gRPC client of other entry hosts. Each Perform overload starts the call for
// an effect and returns at once; an answer that the reducer needs is posted as
// an event.
class Client
{
public:
  explicit Client(PostEvent aPostEvent);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  // Sets the address of a host; effects that name the host use it.
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
