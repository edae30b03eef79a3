#include "http/reader.h"

#include <algorithm>
#include <utility>

#include <absl/strings/match.h>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

namespace lycheeplank::http {

namespace {

namespace bh = boost::beast::http;
using boost::beast::error_code;
using boost::beast::string_view;

// Maximum size of an answer's head, the longest that any target sends.
constexpr std::uint32_t kAnswerHeaderBytes = 64U << 10U;
// HTTP defines statuses of five classes; callers can't interpret others.
constexpr int kLeastStatus = 100;
constexpr int kGreatestStatus = 599;
// Bytes of a line of the head beside its name and value.
constexpr std::size_t kLineBytes = 4;
// Size up to which a body grows as strings do, or gets its memory at once if
// its whole length is within it.
constexpr std::size_t kSmallBodyBytes = 64U << 10U;

std::string
Text(string_view aText)
{
  return { aText.data(), aText.size() };
}

template<bool IsRequest>
class Parser : public bh::basic_parser<IsRequest>
{
public:
  std::string method_;
  std::string target_;
  std::string reason_;
  int status_ = 0;
  int version_ = 11;
  Fields fields_;
  std::string body_;
  // Limit of headBytes_: basic_parser's own limit holds only for bytes that it
  // gets in one call.
  std::size_t maxHeadBytes_ = 0;
  // Limit of the body of a request.
  std::uint64_t maxBodyBytes_ = 0;
  // Bytes of the start line and of the fields of the head and the trailer.
  std::size_t headBytes_ = 0;
  // Bytes of the extensions of all chunks.
  std::size_t extensionBytes_ = 0;

private:
  void on_request_impl(bh::verb,
                       string_view aMethod,
                       string_view aTarget,
                       int aVersion,
                       error_code& aError) override
  {
    CountHead(aMethod.size() + aTarget.size(), aError);
    method_ = Text(aMethod);
    target_ = Text(aTarget);
    version_ = aVersion;
  }
  void on_response_impl(int aCode,
                        string_view aReason,
                        int aVersion,
                        error_code& aError) override
  {
    if (aCode < kLeastStatus || aCode > kGreatestStatus) {
      aError = bh::error::bad_status;
    }
    status_ = aCode;
    reason_ = Text(aReason);
    version_ = aVersion;
  }
  void on_field_impl(bh::field,
                     string_view aName,
                     string_view aValue,
                     error_code& aError) override
  {
    CountHead(aName.size() + aValue.size(), aError);
    // Fields in the trailer aren't fields of the head.
    if (!this->is_header_done()) {
      fields_.push_back({ Text(aName), Text(aValue) });
    }
  }
  void on_header_impl(error_code&) override {}
  void on_body_init_impl(const boost::optional<std::uint64_t>&,
                         error_code&) override
  {
  }
  std::size_t on_body_impl(string_view aData, error_code&) override
  {
    Append(aData);
    return aData.size();
  }
  void on_chunk_header_impl(std::uint64_t,
                            string_view aExtensions,
                            error_code& aError) override
  {
    extensionBytes_ += aExtensions.size();
    if (extensionBytes_ > kMaxExtensionBytes) {
      aError = bh::error::header_limit;
    }
  }
  std::size_t on_chunk_body_impl(std::uint64_t,
                                 string_view aData,
                                 error_code&) override
  {
    Append(aData);
    return aData.size();
  }
  void on_finish_impl(error_code&) override {}

  void CountHead(std::size_t aBytes, error_code& aError)
  {
    headBytes_ += aBytes + kLineBytes;
    if (headBytes_ > maxHeadBytes_) {
      aError = bh::error::header_limit;
    }
  }

  // Appends to the body. That of a request gets the memory for its stated
  // length at once, or twice the memory up to its limit, when more than a small
  // part of it is there; a string itself would exceed both.
  void Append(string_view aData)
  {
    const std::uint64_t needed = body_.size() + aData.size();
    const std::uint64_t length = this->content_length().value_or(2 * needed);
    if (IsRequest && needed > body_.capacity() &&
        (needed > kSmallBodyBytes || length <= kSmallBodyBytes)) {
      std::string grown;
      grown.reserve(std::max(needed, std::min(length, maxBodyBytes_)));
      grown.append(body_);
      body_ = std::move(grown);
    }
    body_.append(aData.data(), aData.size());
  }
};

// Returns whether the bytes start with the header of the last chunk, which the
// trailer follows.
bool
StartsTrailer(string_view aText)
{
  if (aText.substr(0, 2) == "\r\n") {
    aText.remove_prefix(2);
  }
  const auto end = aText.find_first_not_of('0');
  return end != 0 && end != string_view::npos &&
         (aText[end] == ';' || aText[end] == '\r');
}

template<bool IsRequest>
ReadError
FeedParser(Parser<IsRequest>& aParser, std::string& aData)
{
  std::size_t used = 0;
  ReadError result = ReadError::None;
  bool waits = false;
  while (used < aData.size() && !aParser.is_done()) {
    error_code error;
    const auto taken = aParser.put(
      boost::asio::const_buffer(aData.data() + used, aData.size() - used),
      error);
    used += taken;
    if (error == bh::error::need_more) {
      waits = true;
      break;
    }
    if (error) {
      result = error == bh::error::header_limit ? ReadError::HeaderTooLarge
               : error == bh::error::body_limit ? ReadError::BodyTooLarge
                                                : ReadError::Malformed;
      break;
    }
    if (taken == 0) {
      break;
    }
  }
  aData.erase(0, used);
  // The parser takes the header of a chunk, and the last one with the trailer,
  // only as a whole.
  if (waits && aParser.is_header_done()) {
    const auto limit = StartsTrailer(aData)
                         ? aParser.maxHeadBytes_ - aParser.headBytes_
                         : kMaxExtensionBytes;
    return aData.size() > limit ? ReadError::HeaderTooLarge : result;
  }
  return result;
}

// Returns whether another reader could frame the message differently.
bool
HasUnclearFraming(const Fields& aFields)
{
  const auto* encoding = FindField(aFields, "transfer-encoding");
  if (encoding != nullptr && (!absl::EqualsIgnoreCase(*encoding, "chunked") ||
                              CountFields(aFields, "transfer-encoding") > 1 ||
                              CountFields(aFields, "content-length") > 0)) {
    return true;
  }
  return CountFields(aFields, "content-length") > 1;
}

} // namespace

struct RequestReader::Impl
{
  Parser<true> parser_;
  RequestHead head_;
  bool headTaken_ = false;
};

RequestReader::RequestReader(const ReadLimits& aLimits)
  : impl_(std::make_unique<Impl>())
{
  impl_->parser_.eager(true);
  SetLimits(aLimits);
}

RequestReader::~RequestReader() = default;
RequestReader::RequestReader(RequestReader&&) noexcept = default;
RequestReader&
RequestReader::operator=(RequestReader&&) noexcept = default;

void
RequestReader::SetLimits(const ReadLimits& aLimits)
{
  auto& parser = impl_->parser_;
  parser.header_limit(aLimits.headerBytes_);
  parser.body_limit(aLimits.bodyBytes_);
  parser.maxHeadBytes_ = aLimits.headerBytes_;
  parser.maxBodyBytes_ = aLimits.bodyBytes_;
}

ReadError
RequestReader::Feed(std::string& aData)
{
  auto& parser = impl_->parser_;
  const auto error = FeedParser(parser, aData);
  if (parser.is_header_done() && !impl_->headTaken_) {
    impl_->headTaken_ = true;
    auto& head = impl_->head_;
    head.method_ = std::move(parser.method_);
    head.target_ = std::move(parser.target_);
    head.fields_ = std::move(parser.fields_);
    head.version_ = parser.version_;
    head.keepAlive_ = parser.keep_alive();
    if (HasUnclearFraming(head.fields_) ||
        CountFields(head.fields_, "host") > 1) {
      return ReadError::Malformed;
    }
  }
  return error;
}

bool
RequestReader::Started() const
{
  return impl_->parser_.got_some();
}

bool
RequestReader::HeadDone() const
{
  return impl_->headTaken_;
}

bool
RequestReader::Done() const
{
  return impl_->parser_.is_done();
}

RequestHead&
RequestReader::Head()
{
  return impl_->head_;
}

const RequestHead&
RequestReader::Head() const
{
  return impl_->head_;
}

absl::optional<std::uint64_t>
RequestReader::BodyLength() const
{
  const auto length = impl_->parser_.content_length();
  return length ? absl::make_optional(*length) : absl::nullopt;
}

std::string&
RequestReader::Body()
{
  return impl_->parser_.body_;
}

const std::string&
RequestReader::Body() const
{
  return impl_->parser_.body_;
}

struct ResponseReader::Impl
{
  Parser<false> parser_;
  ResponseHead head_;
  bool headTaken_ = false;
};

ResponseReader::ResponseReader(bool aNoBody)
  : impl_(std::make_unique<Impl>())
{
  impl_->parser_.eager(true);
  impl_->parser_.skip(aNoBody);
  impl_->parser_.header_limit(kAnswerHeaderBytes);
  impl_->parser_.body_limit(boost::none);
  impl_->parser_.maxHeadBytes_ = kAnswerHeaderBytes;
}

ResponseReader::~ResponseReader() = default;
ResponseReader::ResponseReader(ResponseReader&&) noexcept = default;
ResponseReader&
ResponseReader::operator=(ResponseReader&&) noexcept = default;

ReadError
ResponseReader::Feed(std::string& aData)
{
  auto& parser = impl_->parser_;
  const auto error = FeedParser(parser, aData);
  if (parser.is_header_done() && !impl_->headTaken_) {
    // The body is unknown as well then.
    if (HasUnclearFraming(parser.fields_)) {
      parser.body_.clear();
      return ReadError::Malformed;
    }
    impl_->headTaken_ = true;
    auto& head = impl_->head_;
    head.status_ = parser.status_;
    head.reason_ = std::move(parser.reason_);
    head.fields_ = std::move(parser.fields_);
    head.keepAlive_ = parser.keep_alive() && !parser.need_eof();
    head.isChunked_ = parser.chunked();
    if (const auto length = parser.content_length()) {
      head.length_ = *length;
    }
  }
  return error;
}

bool
ResponseReader::Finish()
{
  auto& parser = impl_->parser_;
  if (!parser.is_header_done() || parser.is_done()) {
    return parser.is_done();
  }
  error_code error;
  parser.put_eof(error);
  return !error && parser.is_done();
}

bool
ResponseReader::HeadDone() const
{
  return impl_->headTaken_;
}

bool
ResponseReader::Done() const
{
  return impl_->parser_.is_done();
}

const ResponseHead&
ResponseReader::Head() const
{
  return impl_->head_;
}

std::string&
ResponseReader::Body()
{
  return impl_->parser_.body_;
}

} // namespace lycheeplank::http
