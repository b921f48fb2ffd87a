#include "request_parser.h"

#include <boost/beast/http/error.hpp>

namespace bamboostile::http {

namespace {

namespace beast_http = boost::beast::http;

constexpr std::size_t kMaxFields = 200;
constexpr std::size_t kMaxTarget = 8192;
/** Bytes of a head besides the target and the fields' names and values: method,
 * version, separators and blanks. */
constexpr std::size_t kHeadOverhead = 4096;

} // namespace

RequestParser::RequestParser(RequestLimits aLimits)
  : m_limits(aLimits)
{
  eager(true);
  body_limit(m_limits.m_bodyBytes);
  header_limit(static_cast<std::uint32_t>(kMaxTarget + m_limits.m_fieldBytes +
                                          kHeadOverhead));
}

std::size_t
RequestParser::Read(std::string_view aBytes)
{
  ErrorCode error;
  const std::size_t used =
    put(boost::asio::const_buffer(aBytes.data(), aBytes.size()), error);
  const bool isIncomplete = error == beast_http::error::need_more;
  // What precedes a chunk, and all trailers, are read as a whole.
  const bool isTooLong =
    isIncomplete &&
    aBytes.size() - used > kHeadOverhead + m_limits.m_fieldBytes;
  if (!m_failure && HasHead() && isTooLong) {
    m_failure = ParseFailure::kHeadTooLarge;
  } else if (!m_failure && error && !isIncomplete) {
    m_failure =
      error == beast_http::error::body_limit     ? ParseFailure::kBodyTooLarge
      : error == beast_http::error::header_limit ? ParseFailure::kHeadTooLarge
                                                 : ParseFailure::kMalformed;
  }
  return used;
}

std::size_t
RequestParser::Bytes() const
{
  return sizeof(RequestParser) + m_request.m_target.capacity() + m_fieldBytes +
         m_request.m_headers.capacity() * sizeof(Header) +
         m_request.m_body.capacity();
}

void
RequestParser::on_request_impl(beast_http::verb /*aMethod*/,
                               Text aMethodName,
                               Text aTarget,
                               int /*aVersion*/,
                               ErrorCode& aError)
{
  m_request.m_method.assign(aMethodName.data(), aMethodName.size());
  m_request.m_target.assign(aTarget.data(), aTarget.size());
  if (aTarget.size() > kMaxTarget) {
    Fail(ParseFailure::kTargetTooLong, aError);
  }
}

void
RequestParser::on_response_impl(int /*aCode*/,
                                Text /*aReason*/,
                                int /*aVersion*/,
                                ErrorCode& /*aError*/)
{
}

void
RequestParser::on_field_impl(beast_http::field /*aField*/,
                             Text aName,
                             Text aValue,
                             ErrorCode& aError)
{
  m_fieldBytes += aName.size() + aValue.size();
  const bool isTooLarge = m_fieldBytes > m_limits.m_fieldBytes ||
                          m_request.m_headers.size() == kMaxFields;
  if (isTooLarge) {
    Fail(ParseFailure::kHeadTooLarge, aError);
  } else if (!HasHead()) {
    m_request.m_headers.push_back(
      { { aName.data(), aName.size() }, { aValue.data(), aValue.size() } });
  }
}

void
RequestParser::on_header_impl(ErrorCode& /*aError*/)
{
}

void
RequestParser::on_body_init_impl(
  boost::optional<std::uint64_t> const& /*aLength*/,
  ErrorCode& /*aError*/)
{
}

std::size_t
RequestParser::on_body_impl(Text aBytes, ErrorCode& /*aError*/)
{
  m_request.m_body.append(aBytes.data(), aBytes.size());
  return aBytes.size();
}

void
RequestParser::on_chunk_header_impl(std::uint64_t /*aSize*/,
                                    Text /*aExtensions*/,
                                    ErrorCode& /*aError*/)
{
}

std::size_t
RequestParser::on_chunk_body_impl(std::uint64_t /*aRemaining*/,
                                  Text aBytes,
                                  ErrorCode& aError)
{
  return on_body_impl(aBytes, aError);
}

void
RequestParser::on_finish_impl(ErrorCode& /*aError*/)
{
}

void
RequestParser::Fail(ParseFailure aFailure, ErrorCode& aError)
{
  m_failure = aFailure;
  aError = beast_http::error::header_limit;
}

} // namespace bamboostile::http
