#pragma once

#include "bamboostile/http/client_limits.h"
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
  /** Time within which a request must have arrived completely, and after which
   * an idle connection is closed. */
  Millis m_readTimeout{ 10'000 };
  /** Time within which a request's head must have arrived. */
  Millis m_headTimeout{ 5'000 };
  /** Must be longer than any request may take. */
  Millis m_handleTimeout{ 70'000 };
  /** Once so many are open, those without a whole request make way for new
   * ones. */
  std::size_t m_maxConnections = 4096;
  /** Shared by the listeners of a process. */
  std::shared_ptr<MemoryBudget> m_memory = MemoryBudget::ForMachine();
};

/** A request and the means to send its only response. */
class Exchange
{
public:
  virtual ~Exchange() = default;
  virtual const Request& Incoming() const = 0;
  /** Moves the request's body out, to avoid a copy. */
  virtual std::string TakeBody() = 0;
  /** Counts bytes that the handler keeps until it responds, in addition to
   * those of the request. */
  virtual void Hold(std::uint64_t aBytes) = 0;
  /** Must be called once, on the server's thread. */
  virtual void Respond(Response aResponse) = 0;
};

/**
 * @brief An HTTP/1.1 server with a thread of its own.
 *
 * The handler and all tasks given to Post() and Every() run on that thread, so
 * data that only they use needs no lock. Built on Boost.Beast.
 */
class Server
{
public:
  using Handler = std::function<void(std::shared_ptr<Exchange>)>;

  Server(ServerOptions aOptions, Handler aHandler);
  ~Server();

  /** Binds the address and starts the thread; on failure returns false and sets
   * aReason. */
  bool Start(std::string& aReason);
  /** Runs aTask on the server's thread; may be called from any thread. */
  void Post(std::function<void()> aTask);
  /** Runs aTask periodically; must be called before Start(). */
  void Every(Millis aPeriod, std::function<void()> aTask);
  /** Accepts no new connections; open ones are still served. */
  void StopAccepting();
  /** Ends the thread; open connections are closed. */
  void Stop();

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace bamboostile::http
