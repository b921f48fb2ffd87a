#pragma once

#include "bamboostile/http/message.h"
#include "bamboostile/units/time.h"

#include <functional>
#include <memory>

namespace bamboostile::http {

struct ServerOptions
{
  std::string m_address;
  std::uint16_t m_port = 0;
  std::uint64_t m_maxBodyBytes = 1024 * 1024;
  std::uint64_t m_maxHeaderBytes = 16 * 1024;
  /** A request must have arrived whole within this time. */
  Millis m_readTimeout{ 10'000 };
  /** Longer than any request may take. */
  Millis m_handleTimeout{ 70'000 };
  std::size_t m_maxConnections = 4096;
};

/** A request that waits for its one response. */
class Exchange
{
public:
  virtual ~Exchange() = default;
  virtual const Request& Incoming() const = 0;
  /** Takes the request's body, to pass it on without a copy. */
  virtual std::string TakeBody() = 0;
  /** Once, on the server's thread. */
  virtual void Respond(Response aResponse) = 0;
};

/**
 * @brief An HTTP/1.1 server on a thread of its own.
 *
 * The handler runs on that thread, as does everything given to Post() and
 * Every(); what it owns needs no lock. Built on RESTinio.
 */
class Server
{
public:
  using Handler = std::function<void(std::shared_ptr<Exchange>)>;

  Server(ServerOptions aOptions, Handler aHandler);
  ~Server();

  /** Binds and starts; on failure returns false with the reason. */
  bool Start(std::string& aReason);
  /** Runs aTask on the server's thread; from any thread. */
  void Post(std::function<void()> aTask);
  /** Runs aTask again and again; call before Start(). */
  void Every(Millis aPeriod, std::function<void()> aTask);
  /** Takes no new connections; open ones are served on. */
  void StopAccepting();
  /** Ends the thread; open connections are closed. */
  void Stop();

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace bamboostile::http
