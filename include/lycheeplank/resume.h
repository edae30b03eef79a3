#ifndef LYCHEEPLANK_RESUME_H
#define LYCHEEPLANK_RESUME_H

#include <cstdint>
#include <memory>
#include <string>

#include <absl/strings/string_view.h>
#include <absl/types/optional.h>

// Tokens with which any entry host can go on with a stream.
namespace lycheeplank::resume {

// Which run a stream shows and how far it has come.
struct Position
{
  std::string workspace_;
  std::string target_;
  std::string runId_;
  std::string requestId_;
  // Index of the last token that the caller has received.
  std::uint64_t index_ = 0;
};

// Signs the positions of one stream with a secret that all entry hosts share.
class Signer
{
public:
  Signer(absl::string_view aSecret, const Position& aStart);

  // Returns the token for a position in this stream; on one thread at a time.
  std::string TokenAt(std::uint64_t aIndex) const;

  // Signs the indices of one stream.
  struct Key;

private:
  std::string prefix_;
  std::shared_ptr<const Key> key_;
};

// Returns the position that a token stands for, or nothing if the token was
// altered or belongs to another workspace.
absl::optional<Position>
Verify(absl::string_view aSecret,
       absl::string_view aWorkspace,
       absl::string_view aToken);

} // namespace lycheeplank::resume

#endif
