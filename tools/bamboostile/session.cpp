#include "session.h"

#include "bamboostile/wire/queue_codec.h"

#include "bamboostile/rpc/channel.h"
#include "bamboostile/schema/text.h"
#include "bamboostile/units/time.h"

namespace bamboostile::cli {

namespace {

constexpr Millis kAttemptTimeout{ 6000 };
constexpr Millis kRetryDelay{ 100 };

Reply
ReadReply(schema::CallReply::Reader aFrom)
{
  Reply reply;
  reply.m_revision = aFrom.getRevision();
  reply.m_message = aFrom.getMessage();
  reply.m_winner = aFrom.getWinner();
  reply.m_winnerOperator = aFrom.getWinnerOperator();
  reply.m_inForce = aFrom.getInForce();
  reply.m_exit = ExitCode::kRefused;
  switch (aFrom.getOutcome()) {
    case schema::CallOutcome::DONE:
      reply.m_exit = ExitCode::kDone;
      reply.m_outcome = "done";
      break;
    case schema::CallOutcome::CONFLICT:
      reply.m_outcome = "conflict";
      break;
    case schema::CallOutcome::NOT_FOUND:
      reply.m_outcome = "not-found";
      break;
    case schema::CallOutcome::INVALID:
      reply.m_exit = ExitCode::kBadInput;
      reply.m_outcome = "invalid";
      break;
    case schema::CallOutcome::IN_USE:
      reply.m_outcome = "in-use";
      break;
    case schema::CallOutcome::NOT_LEADER:
    case schema::CallOutcome::UNKNOWN:
      reply.m_exit = ExitCode::kUnknown;
      reply.m_outcome = "unknown";
      break;
  }
  return reply;
}

/** The response to a call for a report, and the leader that it names. */
struct ReportResponse
{
  std::string m_leader;
  Reply m_reply;
  std::string m_json;
};

template<typename Response>
ReportResponse
ReadReport(const Response& aResponse)
{
  return { aResponse.getReply().getLeaderAddress(),
           ReadReply(aResponse.getReply()),
           aResponse.getJson() };
}

} // namespace

nlohmann::json
ToJson(const Reply& aReply)
{
  nlohmann::json json{ { "outcome", aReply.m_outcome },
                       { "revision", aReply.m_revision },
                       { "inForce", aReply.m_inForce } };
  if (!aReply.m_message.empty()) {
    json["message"] = aReply.m_message;
  }
  if (!aReply.m_winner.empty()) {
    json["winner"] = aReply.m_winner;
    json["winnerOperator"] = aReply.m_winnerOperator;
  }
  return json;
}

struct Session::Impl
{
  using Operation = std::function<kj::Promise<Reply>(schema::Operators::Client,
                                                     std::string& aLeader)>;

  Impl(std::vector<std::string> aAddresses, unsigned aTimeoutMs)
    : m_io(kj::setupAsyncIo())
    , m_addresses(std::move(aAddresses))
    , m_timeout(aTimeoutMs)
  {
  }

  /** Calls one replica after another, or the leader that a replica names, until
   * one gives a definite reply or the timeout ends. */
  Reply CallLeader(const Operation& aOperation, bool aRetry = true)
  {
    const TimePoint deadline = MonotonicNow() + m_timeout;
    Reply last;
    last.m_outcome = "unknown";
    last.m_message = "no control replica answered";
    std::size_t next = 0;
    std::string address = m_addresses.front();
    while (true) {
      std::string leader;
      std::string error;
      Reply reply = CallReplica(aOperation, address, leader, error);
      if (error.empty() && reply.m_exit != ExitCode::kUnknown) {
        return reply;
      }
      if (error.empty()) {
        last = reply;
      } else {
        last.m_message = address;
        last.m_message.append(": ").append(error);
      }
      if (!aRetry || MonotonicNow() >= deadline) {
        return last;
      }
      next = (next + 1) % m_addresses.size();
      address = leader.empty() ? m_addresses[next] : leader;
      m_io.provider->getTimer()
        .afterDelay(kRetryDelay.count() * kj::MILLISECONDS)
        .wait(m_io.waitScope);
    }
  }

  using ReportRequest =
    std::function<kj::Promise<ReportResponse>(schema::Operators::Client)>;

  /** Returns the JSON document of the leader's report. */
  std::optional<std::string> Report(const ReportRequest& aRequest,
                                    Reply& aFailure)
  {
    std::optional<std::string> json;
    aFailure = CallLeader(
      [&](schema::Operators::Client aOperators, std::string& aLeader) {
        return aRequest(aOperators).then([&](ReportResponse aResponse) {
          aLeader = std::move(aResponse.m_leader);
          if (aResponse.m_reply.m_exit == ExitCode::kDone) {
            json = std::move(aResponse.m_json);
          }
          return aResponse.m_reply;
        });
      });
    return json;
  }

  Reply CallReplica(const Operation& aOperation,
                    const std::string& aAddress,
                    std::string& aLeader,
                    std::string& aError)
  {
    Reply reply;
    const auto failure = kj::runCatchingExceptions([&]() {
      auto channel =
        kj::refcounted<rpc::Channel>(m_io.provider->getNetwork(), aAddress);
      auto operators = channel->Get().operatorsRequest().send().getOperators();
      reply = m_io.provider->getTimer()
                .timeoutAfter(kAttemptTimeout.count() * kj::MILLISECONDS,
                              aOperation(kj::mv(operators), aLeader))
                .wait(m_io.waitScope);
    });
    KJ_IF_MAYBE (exception, failure) {
      aError = exception->getDescription().cStr();
    }
    return reply;
  }

  kj::AsyncIoContext m_io;
  std::vector<std::string> m_addresses;
  Millis m_timeout;
};

Session::Session(std::vector<std::string> aAddresses, unsigned aTimeoutMs)
  : m_impl(std::make_unique<Impl>(std::move(aAddresses), aTimeoutMs))
{
}

Session::~Session() = default;

Reply
Session::Submit(schema::OperatorCall::Reader aCall)
{
  return m_impl->CallLeader(
    [&](schema::Operators::Client aOperators, std::string& aLeader) {
      auto request = aOperators.submitRequest();
      request.setCall(aCall);
      return request.send().then([&aLeader](auto aResponse) {
        aLeader = aResponse.getReply().getLeaderAddress();
        return ReadReply(aResponse.getReply());
      });
    });
}

std::optional<nlohmann::json>
Session::Status(Reply& aFailure)
{
  std::optional<nlohmann::json> status;
  const Reply reply = m_impl->CallLeader(
    [&](schema::Operators::Client aOperators, std::string& aLeader) {
      return aOperators.statusRequest().send().then([&](auto aResponse) {
        Reply statusReply;
        if (aResponse.hasJson()) {
          status = nlohmann::json::parse(aResponse.getJson().cStr());
          statusReply.m_exit = ExitCode::kDone;
          return statusReply;
        }
        aLeader = aResponse.getReply().getLeaderAddress();
        return ReadReply(aResponse.getReply());
      });
    });
  if (!status) {
    aFailure = reply;
  }
  return status;
}

Reply
Session::ReplaceQueues(schema::QueueTable::Reader aTable)
{
  return m_impl->CallLeader(
    [&](schema::Operators::Client aOperators, std::string& aLeader) {
      auto request = aOperators.replaceQueuesRequest();
      request.setTable(aTable);
      return request.send().then([&aLeader](auto aResponse) {
        aLeader = aResponse.getReply().getLeaderAddress();
        return ReadReply(aResponse.getReply());
      });
    });
}

std::optional<fleet::RouteTable>
Session::Queues(Reply& aFailure)
{
  std::optional<fleet::RouteTable> table;
  aFailure = m_impl->CallLeader(
    [&](schema::Operators::Client aOperators, std::string& aLeader) {
      return aOperators.queuesRequest().send().then([&](auto aResponse) {
        aLeader = aResponse.getReply().getLeaderAddress();
        Reply reply = ReadReply(aResponse.getReply());
        if (reply.m_exit == ExitCode::kDone) {
          table = wire::Read(aResponse.getTable());
        }
        return reply;
      });
    });
  return table;
}

std::optional<std::string>
Session::Workspaces(Reply& aFailure)
{
  return m_impl->Report(
    [](schema::Operators::Client aOperators) {
      return aOperators.workspacesRequest().send().then(
        [](auto aResponse) { return ReadReport(aResponse); });
    },
    aFailure);
}

std::optional<std::string>
Session::Pools(Reply& aFailure)
{
  return m_impl->Report(
    [](schema::Operators::Client aOperators) {
      return aOperators.poolsRequest().send().then(
        [](auto aResponse) { return ReadReport(aResponse); });
    },
    aFailure);
}

std::optional<std::string>
Session::Admission(Reply& aFailure)
{
  return m_impl->Report(
    [](schema::Operators::Client aOperators) {
      return aOperators.admissionRequest().send().then(
        [](auto aResponse) { return ReadReport(aResponse); });
    },
    aFailure);
}

std::optional<jobs::QueueReply>
Session::CallQueue(const jobs::QueueCall& aCall, Reply& aFailure)
{
  std::optional<jobs::QueueReply> answer;
  aFailure = m_impl->CallLeader(
    [&](schema::Operators::Client aOperators, std::string& aLeader) {
      auto request = aOperators.queueCallRequest();
      wire::Write(aCall, request.initCall());
      return request.send().then([&](auto aResponse) {
        jobs::QueueReply queueReply = wire::Read(aResponse.getReply());
        Reply reply;
        reply.m_message = jobs::Describe(queueReply.m_outcome);
        if (queueReply.m_outcome == jobs::QueueOutcome::kNotLeader ||
            queueReply.m_outcome == jobs::QueueOutcome::kUndecided) {
          aLeader = queueReply.m_leaderAddress;
          return reply;
        }
        reply.m_exit = queueReply.m_outcome == jobs::QueueOutcome::kOk
                         ? ExitCode::kDone
                         : ExitCode::kRefused;
        answer = std::move(queueReply);
        return reply;
      });
    });
  return answer;
}

Reply
Session::Control(schema::ControlChange aChange,
                 const std::string& aInstance,
                 const std::string& aAddress)
{
  const bool retry = aChange != schema::ControlChange::INIT;
  return m_impl->CallLeader(
    [&](schema::Operators::Client aOperators, std::string& aLeader) {
      auto request = aOperators.controlRequest();
      request.setChange(aChange);
      request.setInstance(ToText(aInstance));
      request.setAddress(ToText(aAddress));
      return request.send().then([&aLeader](auto aResponse) {
        aLeader = aResponse.getReply().getLeaderAddress();
        return ReadReply(aResponse.getReply());
      });
    },
    retry);
}

} // namespace bamboostile::cli
