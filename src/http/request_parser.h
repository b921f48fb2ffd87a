#pragma once

#include "bamboostile/http/message.h"

#include <boost/beast/http/basic_parser.hpp>

#include <optional>

namespace bamboostile::http {

/** Why a request cannot be read. */
enum class ParseFailure
{
  kMalformed,
  kBodyTooLarge,
  kTargetTooLong,
  kHeadTooLarge
};

struct RequestLimits
{
  std::uint64_t m_bodyBytes = 0;
  /** Names and values of all fields. */
  std::uint64_t m_fieldBytes = 0;
};

/**
 * @brief Reads one request, decoding its body as it arrives.
 *
 * Keeps what a handler receives and nothing else: neither the list of a body's
 * chunks nor its trailers.
 */
class RequestParser final : private boost::beast::http::basic_parser<true>
{
public:
  explicit RequestParser(RequestLimits aLimits);

  /** Reads from aBytes; returns how many of them are used up. The others must
   * be passed again, followed by what arrives next. */
  std::size_t Read(std::string_view aBytes);

  bool IsComplete() const { return is_done(); }
  bool HasHead() const { return is_header_done(); }
  /** Whether the connection may be used for another request. */
  bool KeepsAlive() const { return keep_alive(); }
  std::optional<ParseFailure> Failure() const { return m_failure; }
  Request& Message() { return m_request; }
  /** Bytes that the request takes as far as it has been read. */
  std::size_t Bytes() const;

private:
  using ErrorCode = boost::beast::error_code;
  using Text = boost::beast::string_view;

  void on_request_impl(boost::beast::http::verb aMethod,
                       Text aMethodName,
                       Text aTarget,
                       int aVersion,
                       ErrorCode& aError) override;
  void on_response_impl(int aCode,
                        Text aReason,
                        int aVersion,
                        ErrorCode& aError) override;
  void on_field_impl(boost::beast::http::field aField,
                     Text aName,
                     Text aValue,
                     ErrorCode& aError) override;
  void on_header_impl(ErrorCode& aError) override;
  void on_body_init_impl(boost::optional<std::uint64_t> const& aLength,
                         ErrorCode& aError) override;
  std::size_t on_body_impl(Text aBytes, ErrorCode& aError) override;
  void on_chunk_header_impl(std::uint64_t aSize,
                            Text aExtensions,
                            ErrorCode& aError) override;
  std::size_t on_chunk_body_impl(std::uint64_t aRemaining,
                                 Text aBytes,
                                 ErrorCode& aError) override;
  void on_finish_impl(ErrorCode& aError) override;

  void Fail(ParseFailure aFailure, ErrorCode& aError);

  RequestLimits m_limits;
  Request m_request;
  std::size_t m_fieldBytes = 0;
  std::optional<ParseFailure> m_failure;
};

} // namespace bamboostile::http
