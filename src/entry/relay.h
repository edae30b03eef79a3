#ifndef LYCHEEPLANK_ENTRY_RELAY_H
#define LYCHEEPLANK_ENTRY_RELAY_H

#include <memory>
#include <string>

#include <absl/strings/string_view.h>
#include <absl/types/optional.h>

#include "adapters/engine.h"
#include "lycheeplank/net.h"
#include "lycheeplank/resume.h"

namespace lycheeplank::entry {

// How a relayed stream is shown to the caller.
struct RelayOptions
{
  std::string requestName_;
  std::string model_;
  // Sends server-sent events; else one JSON body at the end.
  bool stream_ = true;
  // Index of the first token to pass on.
  std::uint64_t firstIndex_ = 0;
};

// What became of the data that was fed to a relay.
enum class RelayState
{
  Running,
  // The engine has said that the answer is complete.
  Finished,
  // The data doesn't follow on from what was passed on before.
  Broken,
};

// Passes the events of one run on to a caller, each token once and in order.
class Relay
{
public:
  Relay(RelayOptions aOptions,
        std::shared_ptr<net::Exchange> aExchange,
        resume::Signer aSigner);

  // Takes data of the engine's stream; returns the run's start once it is
  // seen.
  absl::optional<adapters::RunStart> Feed(absl::string_view aData);
  // Forgets half an event, before a stream that continues the run.
  void Restart();
  // Sends the end of the answer; only after the state is Finished.
  void SendEnd();
  // Ends an answer that has begun with an error that the caller can see.
  void SendError(const core::Error& aError);

  RelayState State() const { return state_; }
  // Whether any part of the answer has gone to the caller.
  bool HasBegun() const { return begun_; }
  std::uint64_t NextIndex() const { return nextIndex_; }
  std::uint64_t Tokens() const { return finish_.tokens_; }

private:
  void Begin();
  void PassToken(const adapters::RunToken& aToken);
  void SendPending();

  RelayOptions options_;
  std::shared_ptr<net::Exchange> exchange_;
  resume::Signer signer_;
  net::SseParser parser_;
  RelayState state_ = RelayState::Running;
  bool begun_ = false;
  std::uint64_t nextIndex_ = 0;
  adapters::RunStart start_;
  adapters::RunFinish finish_;
  // The text so far, of an answer that isn't streamed.
  std::string text_;
  std::string chunkHead_;
  // Events that are to be written to the caller.
  std::string pending_;
};

} // namespace lycheeplank::entry

#endif
