#include "session.h"

#include "bamboostile/wire/queue_codec.h"

#include "bamboostile/rpc/channel.h"
#include "bamboostile/units/time.h"

namespace bamboostile::cli {

namespace {

constexpr Millis kTryTimeout{ 6000 };
constexpr Millis kPause{ 100 };

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
  using Step = std::function<kj::Promise<Reply>(schema::Operators::Client,
                                                std::string& aLeader)>;

  Impl(std::vector<std::string> aAddresses, unsigned aPatienceMs)
    : m_io(kj::setupAsyncIo())
    , m_addresses(std::move(aAddresses))
    , m_patience(aPatienceMs)
  {
  }

  /** Tries replica after replica; what a try leaves open the next one asks
   * again. */
  Reply Run(const Step& aStep, bool aFollow = true)
  {
    const TimePoint until = MonotonicNow() + m_patience;
    Reply last;
    last.m_outcome = "unknown";
    last.m_message = "no control replica answered";
    std::size_t next = 0;
    std::string address = m_addresses.front();
    while (true) {
      std::string leader;
      std::string problem;
      Reply reply = Try(aStep, address, leader, problem);
      if (problem.empty() && reply.m_exit != ExitCode::kUnknown) {
        return reply;
      }
      if (problem.empty()) {
        last = reply;
      } else {
        last.m_message = address;
        last.m_message.append(": ").append(problem);
      }
      if (!aFollow || MonotonicNow() >= until) {
        return last;
      }
      next = (next + 1) % m_addresses.size();
      address = leader.empty() ? m_addresses[next] : leader;
      m_io.provider->getTimer()
        .afterDelay(kPause.count() * kj::MILLISECONDS)
        .wait(m_io.waitScope);
    }
  }

  Reply Try(const Step& aStep,
            const std::string& aAddress,
            std::string& aLeader,
            std::string& aProblem)
  {
    Reply reply;
    const auto failure = kj::runCatchingExceptions([&]() {
      auto channel =
        kj::refcounted<rpc::Channel>(m_io.provider->getNetwork(), aAddress);
      auto operators = channel->Get().operatorsRequest().send().getOperators();
      reply = m_io.provider->getTimer()
                .timeoutAfter(kTryTimeout.count() * kj::MILLISECONDS,
                              aStep(kj::mv(operators), aLeader))
                .wait(m_io.waitScope);
    });
    KJ_IF_MAYBE (exception, failure) {
      aProblem = exception->getDescription().cStr();
    }
    return reply;
  }

  kj::AsyncIoContext m_io;
  std::vector<std::string> m_addresses;
  Millis m_patience;
};

Session::Session(std::vector<std::string> aAddresses, unsigned aPatienceMs)
  : m_impl(std::make_unique<Impl>(std::move(aAddresses), aPatienceMs))
{
}

Session::~Session() = default;

Reply
Session::Submit(schema::OperatorCall::Reader aCall)
{
  return m_impl->Run(
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
  const Reply reply = m_impl->Run(
    [&](schema::Operators::Client aOperators, std::string& aLeader) {
      return aOperators.statusRequest().send().then([&](auto aResponse) {
        Reply read;
        if (aResponse.hasJson()) {
          status = nlohmann::json::parse(aResponse.getJson().cStr());
          read.m_exit = ExitCode::kDone;
          return read;
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
  return m_impl->Run(
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
  aFailure = m_impl->Run(
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

std::optional<jobs::QueueReply>
Session::CallQueue(const jobs::QueueCall& aCall, Reply& aFailure)
{
  std::optional<jobs::QueueReply> answer;
  aFailure = m_impl->Run(
    [&](schema::Operators::Client aOperators, std::string& aLeader) {
      auto request = aOperators.queueCallRequest();
      wire::Write(aCall, request.initCall());
      return request.send().then([&](auto aResponse) {
        jobs::QueueReply read = wire::Read(aResponse.getReply());
        Reply reply;
        reply.m_message = jobs::Describe(read.m_outcome);
        if (read.m_outcome == jobs::QueueOutcome::kNotLeader ||
            read.m_outcome == jobs::QueueOutcome::kUndecided) {
          aLeader = read.m_leaderAddress;
          return reply;
        }
        reply.m_exit = read.m_outcome == jobs::QueueOutcome::kOk
                         ? ExitCode::kDone
                         : ExitCode::kRefused;
        answer = std::move(read);
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
  const bool follow = aChange != schema::ControlChange::INIT;
  return m_impl->Run(
    [&](schema::Operators::Client aOperators, std::string& aLeader) {
      auto request = aOperators.controlRequest();
      request.setChange(aChange);
      request.setInstance(aInstance);
      request.setAddress(aAddress);
      return request.send().then([&aLeader](auto aResponse) {
        aLeader = aResponse.getReply().getLeaderAddress();
        return ReadReply(aResponse.getReply());
      });
    },
    follow);
}

} // namespace bamboostile::cli
