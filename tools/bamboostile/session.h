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

/** Exit codes of the program, documented in docs/OPERATING.md. */
enum class ExitCode
{
  kDone = 0,
  kRefused = 1,
  kBadInput = 2,
  kUnknown = 3,
};

/** The reply to one call, from whichever replica answered. */
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
 * @brief Sends calls to the leader of the control replicas. Repeats a call,
 * with the same operation id, until it is answered or the timeout ends.
 */
class Session
{
public:
  Session(std::vector<std::string> aAddresses, unsigned aTimeoutMs);
  ~Session();

  Reply Submit(schema::OperatorCall::Reader aCall);
  std::optional<nlohmann::json> Status(Reply& aFailure);
  Reply ReplaceQueues(schema::QueueTable::Reader aTable);
  std::optional<fleet::RouteTable> Queues(Reply& aFailure);
  /** Returns share, cap and use of the workspaces as a JSON document. */
  std::optional<std::string> Workspaces(Reply& aFailure);
  /** Returns the pools of instances as a JSON document. */
  std::optional<std::string> Pools(Reply& aFailure);
  /** Returns the admission of jobs as a JSON document. */
  std::optional<std::string> Admission(Reply& aFailure);
  /** Empty if no leader answered; aFailure then holds the reason. */
  std::optional<jobs::QueueReply> CallQueue(const jobs::QueueCall& aCall,
                                            Reply& aFailure);
  /** Changes the membership of the control group. INIT is sent only to the
   * first address, once. */
  Reply Control(schema::ControlChange aChange,
                const std::string& aInstance,
                const std::string& aAddress);

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace bamboostile::cli
