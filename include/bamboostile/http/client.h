#pragma once

#include "bamboostile/http/message.h"
#include "bamboostile/units/time.h"

#include <functional>
#include <memory>
#include <optional>

namespace bamboostile::http {

struct Call
{
  /** IP:port */
  std::string m_address;
  std::string m_method;
  std::string m_target;
  Headers m_headers;
  std::shared_ptr<const std::string> m_body;
  Duration m_timeout{};
  /** Uses a new connection and never retransmits. Must be set unless the
   * receiver recognizes duplicates of the request. */
  bool m_atMostOnce = true;
  std::uint64_t m_maxAnswerBytes = 64ULL * 1024 * 1024;
  /** Called on the client's thread after connecting, right before the first
   * byte is sent, and again before a retransmission. If it returns false, the
   * call ends, as kNotSent if no byte was sent. */
  std::function<bool()> m_maySend;
};

enum class CallEnd
{
  /** A complete answer arrived, as its framing proves. */
  kAnswered,
  /** No byte of the request was sent, and none will be. */
  kNotSent,
  kIncomplete,
  kTimedOut,
};

struct CallResult
{
  CallEnd m_end = CallEnd::kIncomplete;
  Response m_response;
  std::string m_detail;
  Duration m_elapsed{};
  /** Time from the start of the call until its first byte was sent, including
   * waits for other calls; unset if no byte was sent. */
  std::optional<Duration> m_sentAfter;
};

/**
 * @brief An HTTP/1.1 client for concurrent calls to upstreams, with a thread of
 * its own.
 *
 * aDone runs on that thread, exactly once per call unless Stop() drops the
 * call. Built on libcurl.
 */
class Client
{
public:
  Client();
  ~Client();

  void Start(Call aCall, std::function<void(CallResult)> aDone);
  /** Ends the thread; calls in flight are dropped without a result. */
  void Stop();

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace bamboostile::http
