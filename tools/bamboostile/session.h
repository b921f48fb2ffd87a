#pragma once

#include "bamboostile/fleet/routes.h"
#include "bamboostile/jobs/calls.h"

#include "internal.capnp.h"

#include <capnp/message.h>

#include <kj/async-io.h>

#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bamboostile::cli {

/** What the shell sees; docs/OPERATING.md repeats them. */
enum class ExitCode
{
  kDone = 0,
  kRefused = 1,
  kBadInput = 2,
  kUnknown = 3,
};

/** The answer to one call, whichever replica gave it. */
struct Reply
{
  ExitCode m_exit = ExitCode::kUnknown;
  std::string m_outcome;
  std::uint64_t m_revision = 0;
  std::string m_message;
  std::string m_winner;
  std::string m_winnerOperator;
  bool m_inForce = false;
};

nlohmann::json ToJson(const Reply& aReply);

/**
 * @brief Talks to whichever control replica leads, and asks again, with the
 * same operation id, until an answer comes or the patience ends.
 */
class Session
{
public:
  Session(std::vector<std::string> aAddresses, unsigned aPatienceMs);
  ~Session();

  Reply Submit(schema::OperatorCall::Reader aCall);
  std::optional<nlohmann::json> Status(Reply& aFailure);
  Reply ReplaceQueues(schema::QueueTable::Reader aTable);
  std::optional<fleet::RouteTable> Queues(Reply& aFailure);
  /** Empty where no leader answered; aFailure says why. */
  std::optional<jobs::QueueReply> CallQueue(const jobs::QueueCall& aCall,
                                            Reply& aFailure);
  /** Membership calls; init goes to the first address only. */
  Reply Control(schema::ControlChange aChange,
                const std::string& aInstance,
                const std::string& aAddress);

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace bamboostile::cli
