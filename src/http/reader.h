#ifndef LYCHEEPLANK_SRC_HTTP_READER_H
#define LYCHEEPLANK_SRC_HTTP_READER_H

#include <cstdint>
#include <memory>
#include <string>

#include <absl/strings/string_view.h>

#include "http/message.h"

// Incremental readers of HTTP/1.1 messages over Boost.Beast's parser.
namespace lycheeplank::http {

// Why a message can't be read on.
enum class ReadError
{
  None,
  // Not a message of the protocol, or one that could be framed in two ways.
  Malformed,
  HeaderTooLarge,
  BodyTooLarge,
};

struct ReadLimits
{
  std::uint32_t headerBytes_ = 64U << 10U;
  std::uint64_t bodyBytes_ = std::uint64_t{ 1 } << 40U;
};

// Reads one request. Body bytes are collected in body_.
class RequestReader
{
public:
  explicit RequestReader(const ReadLimits& aLimits);
  ~RequestReader();
  RequestReader(RequestReader&&) noexcept;
  RequestReader& operator=(RequestReader&&) noexcept;

  // Takes bytes of the message off the front of aData; the rest stays there.
  ReadError Feed(std::string& aData);
  // Some byte of the message has been taken.
  bool Started() const;
  bool HeadDone() const;
  bool Done() const;
  RequestHead& Head();
  const RequestHead& Head() const;
  std::string& Body();

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

// Reads one answer. Body bytes are collected in Body(), from which the owner
// takes them as they come.
class ResponseReader
{
public:
  // aNoBody: the request's method has answers without a body (HEAD).
  explicit ResponseReader(bool aNoBody);
  ~ResponseReader();
  ResponseReader(ResponseReader&&) noexcept;
  ResponseReader& operator=(ResponseReader&&) noexcept;

  ReadError Feed(std::string& aData);
  // Tells that the peer has closed its side in the regular way; returns true
  // if that completes the message.
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
