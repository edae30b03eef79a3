#ifndef LYCHEEPLANK_SRC_HTTP_READER_H
#define LYCHEEPLANK_SRC_HTTP_READER_H

#include <cstdint>
#include <memory>
#include <string>

#include <absl/strings/string_view.h>
#include <absl/types/optional.h>

#include "http/message.h"

// Incremental readers of HTTP/1.1 messages over Boost.Beast's parser.
namespace lycheeplank::http {

// The reason why a message can't be read further.
enum class ReadError
{
  None,
  // Not an HTTP message, or one with ambiguous framing.
  Malformed,
  HeaderTooLarge,
  BodyTooLarge,
};

// Limit of the extensions of all chunks of a body together, and of a line with
// the size of a chunk. Bodies whose chunks of 64 KiB are signed have 100 bytes
// a chunk.
inline constexpr std::size_t kMaxExtensionBytes = 16U << 10U;

struct ReadLimits
{
  // Limit of the fields of the head and the trailer together.
  std::uint32_t headerBytes_ = 64U << 10U;
  std::uint64_t bodyBytes_ = std::uint64_t{ 1 } << 40U;
};

// Reads one request. Body bytes are collected in Body().
class RequestReader
{
public:
  explicit RequestReader(const ReadLimits& aLimits);
  ~RequestReader();
  RequestReader(RequestReader&&) noexcept;
  RequestReader& operator=(RequestReader&&) noexcept;

  // Replaces the limits; only before the first call of Feed.
  void SetLimits(const ReadLimits& aLimits);
  // Consumes the bytes of the message from the front of aData and leaves the
  // rest.
  ReadError Feed(std::string& aData);
  // Returns whether any byte of the message was consumed.
  bool Started() const;
  bool HeadDone() const;
  bool Done() const;
  RequestHead& Head();
  const RequestHead& Head() const;
  // Returns the length of the body that the head states; no value if the body
  // comes in chunks.
  absl::optional<std::uint64_t> BodyLength() const;
  std::string& Body();
  const std::string& Body() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

// Reads one answer. Body bytes are collected in Body(), from which the owner
// takes them as they arrive.
class ResponseReader
{
public:
  // aNoBody: answers to the request's method have no body (HEAD).
  explicit ResponseReader(bool aNoBody);
  ~ResponseReader();
  ResponseReader(ResponseReader&&) noexcept;
  ResponseReader& operator=(ResponseReader&&) noexcept;

  ReadError Feed(std::string& aData);
  // Records that the peer has closed its side regularly; returns true if that
  // completes the message.
  bool Finish();
  bool HeadDone() const;
  bool Done() const;
  const ResponseHead& Head() const;
  std::string& Body();

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace lycheeplank::http

#endif
