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
  /** A second run would do harm: a new connection, and no repetition. Unset
   * only where the receiver takes a request for the same one again. */
  bool m_onlyOnce = true;
  std::uint64_t m_maxAnswerBytes = 64ULL * 1024 * 1024;
  /** Asked on the client's thread right before the first byte would go out,
   * after connecting, and again before a repetition; false ends the call, as
   * not sent where no byte was. */
  std::function<bool()> m_maySend;
};

enum class CallEnd
{
  /** A whole answer, as its framing proves. */
  kAnswered,
  /** No byte of the request went out, and none will. */
  kNotSent,
  kBroken,
  kTimedOut,
};

struct CallResult
{
  CallEnd m_end = CallEnd::kBroken;
  Response m_response;
  std::string m_detail;
  Duration m_took{};
  /** From the start of the call to its first byte, which may wait for other
   * calls; unset where none went out. */
  std::optional<Duration> m_sentAfter;
};

/**
 * @brief Calls to upstreams, many at a time, on a thread of its own.
 *
 * aDone runs on that thread, exactly once for each call. Built on libcurl.
 */
class Client
{
public:
  Client();
  ~Client();

  void Start(Call aCall, std::function<void(CallResult)> aDone);
  /** Ends the thread; calls under way are dropped without a result. */
  void Stop();

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace bamboostile::http
