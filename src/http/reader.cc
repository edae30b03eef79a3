#include "http/reader.h"

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

private:
  void on_request_impl(bh::verb,
                       string_view aMethod,
                       string_view aTarget,
                       int aVersion,
                       error_code&) override
  {
    method_ = Text(aMethod);
    target_ = Text(aTarget);
    version_ = aVersion;
  }
  void on_response_impl(int aCode,
                        string_view aReason,
                        int aVersion,
                        error_code&) override
  {
    status_ = aCode;
    reason_ = Text(aReason);
    version_ = aVersion;
  }
  void on_field_impl(bh::field,
                     string_view aName,
                     string_view aValue,
                     error_code&) override
  {
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
    body_.append(aData.data(), aData.size());
    return aData.size();
  }
  void on_chunk_header_impl(std::uint64_t, string_view, error_code&) override {}
  std::size_t on_chunk_body_impl(std::uint64_t,
                                 string_view aData,
                                 error_code&) override
  {
    body_.append(aData.data(), aData.size());
    return aData.size();
  }
  void on_finish_impl(error_code&) override {}
};

template<bool IsRequest>
ReadError
FeedParser(Parser<IsRequest>& aParser, std::string& aData)
{
  std::size_t used = 0;
  ReadError result = ReadError::None;
  while (used < aData.size() && !aParser.is_done()) {
    error_code error;
    const auto taken = aParser.put(
      boost::asio::const_buffer(aData.data() + used, aData.size() - used),
      error);
    used += taken;
    if (error == bh::error::need_more) {
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
  impl_->parser_.header_limit(aLimits.headerBytes_);
  impl_->parser_.body_limit(aLimits.bodyBytes_);
}

RequestReader::~RequestReader() = default;
RequestReader::RequestReader(RequestReader&&) noexcept = default;
RequestReader&
RequestReader::operator=(RequestReader&&) noexcept = default;

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

std::string&
RequestReader::Body()
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
