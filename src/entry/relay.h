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

// Identity and format of the answer that a relay sends to the caller.
struct RelayOptions
{
  std::string requestId_;
  std::string model_;
  // True for server-sent events, false for one JSON body at the end.
  bool stream_ = true;
  // Index of the first token to relay; the caller already has those before.
  std::uint64_t firstIndex_ = 0;
  // Weight version that the run was ordered under. Absent if it isn't known, as
  // of a run that is resumed.
  absl::optional<std::string> weightVersion_;
};

// State of a relay after the data fed to it so far.
enum class RelayState
{
  Running,
  // The engine has reported the end of the run, and no token is missing.
  Finished,
  // The data is unreadable, tokens are missing, or the run is under another
  // weight version than the ordered one.
  Broken,
};

// Relays the events of one run to a caller, each token exactly once and in
// order.
class Relay
{
public:
  Relay(RelayOptions aOptions,
        std::shared_ptr<net::Exchange> aExchange,
        resume::Signer aSigner);

  // Parses data of the engine's stream and relays its tokens. Returns the start
  // event of the run if the data contains it.
  absl::optional<adapters::RunStart> Feed(absl::string_view aData);
  // Discards a partly received event and sets the state to Running. Called
  // before a new stream continues the run.
  void Restart();
  // Sends the end of the answer. The state has to be Finished.
  void SendEnd();
  // Ends an answer that has begun with an error event.
  void SendError(const core::Error& aError);

  RelayState State() const { return state_; }
  // Returns whether any part of the answer was sent to the caller.
  bool HasBegun() const { return begun_; }
  // Returns the index of the next token to relay.
  std::uint64_t NextIndex() const { return nextIndex_; }
  // Returns the number of tokens of the whole run; 0 until the engine has
  // reported its end.
  std::uint64_t TotalTokens() const { return finish_.tokens_; }

private:
  // Begins the response if it is streamed and hasn't begun.
  void EnsureStreamBegun();
  // Returns whether an event is of a run under the ordered weight version. An
  // event before the run's start isn't.
  bool IsOfOrderedVersion(const adapters::RunEvent& aEvent) const;
  void RelayToken(const adapters::RunToken& aToken);
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
  // Text received so far of an answer that isn't streamed.
  std::string text_;
  // JSON of a streamed chunk up to the token's text.
  std::string chunkPrefix_;
  // Formatted events that are not yet written to the caller.
  std::string pendingEvents_;
};

} // namespace lycheeplank::entry

#endif
