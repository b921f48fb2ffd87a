#include "bamboostile/control/job_service.h"
#include "bamboostile/control/node.h"
#include "bamboostile/telemetry/log.h"
#include "bamboostile/units/visit.h"
#include "bamboostile/wire/consensus_codec.h"
#include "bamboostile/wire/entry_codec.h"
#include "bamboostile/wire/operator_codec.h"
#include "bamboostile/wire/queue_codec.h"

#include "../wire/text.h"
#include "peer_acceptor.h"

#include <algorithm>

namespace bamboostile::control {

namespace {

using telemetry::Level;
using telemetry::LogLine;
using wire::ToData;
using wire::ToString;

schema::LedgerOutcome
ToOutcome(outcome::Verdict aVerdict)
{
  switch (aVerdict) {
    case outcome::Verdict::kGranted:
      return schema::LedgerOutcome::GRANTED;
    case outcome::Verdict::kRecorded:
      return schema::LedgerOutcome::RECORDED;
    case outcome::Verdict::kDigestMismatch:
      return schema::LedgerOutcome::DIGEST_MISMATCH;
    case outcome::Verdict::kAttemptNotAllowed:
      return schema::LedgerOutcome::ATTEMPT_NOT_ALLOWED;
  }
  return schema::LedgerOutcome::UNDECIDED;
}

membership::SyncReport
ReadSync(schema::SyncRequest::Reader aFrom)
{
  membership::SyncReport report;
  report.m_entry = wire::Read(aFrom.getEntry());
  report.m_zone = ZoneId{ ToString(aFrom.getZone()) };
  report.m_httpAddress = ToString(aFrom.getHttp());
  report.m_revision = Index{ aFrom.getRevision() };
  report.m_leaving = aFrom.getLeaving();
  for (const std::uint64_t key : aFrom.getRenewals()) {
    report.m_renewals.push_back(key);
  }
  for (auto count : aFrom.getInFlight()) {
    report.m_inFlight.push_back(
      { InstanceId{ ToString(count.getId()) }, count.getCount() });
  }
  return report;
}

class OperatorServer final : public schema::Operators::Server
{
public:
  OperatorServer(Node& aNode, JobService* aJobs)
    : m_node(aNode)
    , m_jobs(aJobs)
  {
  }

  kj::Promise<void> submit(SubmitContext aContext) override
  {
    auto reply = aContext.getResults().initReply();
    if (!m_node.IsServing()) {
      RefuseAsFollower(reply);
      return kj::READY_NOW;
    }
    wire::CallError error;
    const auto call = wire::Read(aContext.getParams().getCall(), error);
    if (!call) {
      reply.setOutcome(schema::CallOutcome::INVALID);
      reply.setMessage(ToText(error.m_message));
      return kj::READY_NOW;
    }
    LogLine(Level::kInfo, "operator call")
      .With("operation", call->m_operation.Get())
      .With("operator", call->m_operator)
      .Write();
    return m_node.Propose(*call).then(
      [this, aContext](const ProposalResult& aResult) mutable {
        return Conclude(aContext, aResult);
      });
  }

  kj::Promise<void> status(StatusContext aContext) override
  {
    auto results = aContext.getResults();
    if (!m_node.IsServing()) {
      RefuseAsFollower(results.initReply());
      return kj::READY_NOW;
    }
    results.setJson(ToText(m_node.StatusJson()));
    return kj::READY_NOW;
  }

  kj::Promise<void> control(ControlContext aContext) override
  {
    const auto params = aContext.getParams();
    switch (params.getChange()) {
      case schema::ControlChange::INIT:
        Report(aContext.getResults().initReply(), m_node.Bootstrap());
        return kj::READY_NOW;
      case schema::ControlChange::ADD:
        if (!m_node.IsServing()) {
          RefuseAsFollower(aContext.getResults().initReply());
          return kj::READY_NOW;
        }
        return m_node.AddMember(ToString(params.getAddress()))
          .then(
            [this, aContext](consensus::Error aError) mutable {
              Report(aContext.getResults().initReply(), aError);
            },
            [aContext](kj::Exception&& aException) mutable {
              auto reply = aContext.getResults().initReply();
              reply.setOutcome(schema::CallOutcome::INVALID);
              reply.setMessage(
                kj::str("address: ", aException.getDescription()));
            });
      case schema::ControlChange::REMOVE:
        if (!m_node.IsServing()) {
          RefuseAsFollower(aContext.getResults().initReply());
          return kj::READY_NOW;
        }
        Report(
          aContext.getResults().initReply(),
          m_node.RemoveMember(InstanceId{ ToString(params.getInstance()) }));
        return kj::READY_NOW;
    }
    return kj::READY_NOW;
  }

  kj::Promise<void> queueCall(QueueCallContext aContext) override
  {
    KJ_REQUIRE(m_jobs != nullptr, "this replica serves no jobs");
    return m_jobs->Call(wire::Read(aContext.getParams().getCall()))
      .then([aContext](const jobs::QueueReply& aReply) mutable {
        wire::Write(aReply, aContext.getResults().initReply());
      });
  }

  kj::Promise<void> replaceQueues(ReplaceQueuesContext aContext) override
  {
    KJ_REQUIRE(m_jobs != nullptr, "this replica serves no jobs");
    fleet::RouteTable table = wire::Read(aContext.getParams().getTable());
    const fleet::RouteValidation finding = fleet::ValidateRoutes(table);
    if (finding.m_problem != fleet::RouteProblem::kNone) {
      auto reply = aContext.getResults().initReply();
      reply.setOutcome(schema::CallOutcome::INVALID);
      reply.setMessage(ToText(finding.m_name + ": " + finding.Reason()));
      return kj::READY_NOW;
    }
    const std::uint64_t version = table.m_version;
    return m_jobs->ReplaceRoutes(std::move(table))
      .then([this, aContext, version](ChangeOutcome aOutcome) mutable {
        auto reply = aContext.getResults().initReply();
        ReportReplaced(aOutcome, version, reply);
      });
  }

  kj::Promise<void> queues(QueuesContext aContext) override
  {
    auto results = aContext.getResults();
    if (!m_node.IsServing()) {
      RefuseAsFollower(results.initReply());
      return kj::READY_NOW;
    }
    wire::Write(m_node.State().Routes(), results.initTable());
    results.initReply().setOutcome(schema::CallOutcome::DONE);
    return kj::READY_NOW;
  }

  kj::Promise<void> workspaces(WorkspacesContext aContext) override
  {
    SendReport(m_jobs != nullptr ? m_jobs->WorkspacesJson() : std::nullopt,
               aContext.getResults());
    return kj::READY_NOW;
  }

  kj::Promise<void> pools(PoolsContext aContext) override
  {
    SendReport(m_jobs != nullptr ? m_jobs->PoolsJson() : std::nullopt,
               aContext.getResults());
    return kj::READY_NOW;
  }

  kj::Promise<void> admission(AdmissionContext aContext) override
  {
    SendReport(m_jobs != nullptr ? m_jobs->AdmissionJson() : std::nullopt,
               aContext.getResults());
    return kj::READY_NOW;
  }

private:
  /** aJson: unset on a replica that does not lead. */
  template<typename Results>
  void SendReport(const std::optional<std::string>& aJson, Results aResults)
  {
    if (!aJson) {
      RefuseAsFollower(aResults.initReply());
      return;
    }
    aResults.setJson(ToText(*aJson));
    aResults.initReply().setOutcome(schema::CallOutcome::DONE);
  }

  // A table that another operator has superseded is not in force; the sender is
  // told which version is.
  void ReportReplaced(ChangeOutcome aOutcome,
                      std::uint64_t aVersion,
                      schema::CallReply::Builder aReply)
  {
    const std::uint64_t inForce = m_node.State().Routes().m_version;
    switch (aOutcome) {
      case ChangeOutcome::kNotLeader:
        RefuseAsFollower(aReply);
        return;
      case ChangeOutcome::kUndecided:
        aReply.setOutcome(schema::CallOutcome::UNKNOWN);
        return;
      case ChangeOutcome::kStalled:
        aReply.setOutcome(schema::CallOutcome::UNKNOWN);
        aReply.setMessage("not tried: the replicas' disks take no writes");
        return;
      case ChangeOutcome::kInForce:
        break;
    }
    aReply.setRevision(inForce);
    aReply.setInForce(inForce == aVersion);
    aReply.setOutcome(inForce == aVersion ? schema::CallOutcome::DONE
                                          : schema::CallOutcome::CONFLICT);
    if (inForce != aVersion) {
      aReply.setMessage(ToText("version " + std::to_string(inForce) +
                               " is in force; send a higher one"));
    }
  }

  void RefuseAsFollower(schema::CallReply::Builder aReply)
  {
    aReply.setOutcome(schema::CallOutcome::NOT_LEADER);
    aReply.setMessage("this replica does not lead, or is cut off");
    aReply.setLeaderAddress(ToText(m_node.LeaderAddress()));
  }

  void Report(schema::CallReply::Builder aReply, consensus::Error aError)
  {
    switch (aError) {
      case consensus::Error::kNone:
        aReply.setOutcome(schema::CallOutcome::DONE);
        return;
      case consensus::Error::kNotLeader:
      case consensus::Error::kNotReady:
        RefuseAsFollower(aReply);
        return;
      case consensus::Error::kUnknownMember:
        aReply.setOutcome(schema::CallOutcome::NOT_FOUND);
        break;
      case consensus::Error::kChangePending:
        aReply.setOutcome(schema::CallOutcome::IN_USE);
        break;
      case consensus::Error::kAlreadyMember:
      case consensus::Error::kLastVoter:
      case consensus::Error::kNotEmpty:
        aReply.setOutcome(schema::CallOutcome::INVALID);
        break;
    }
    aReply.setMessage(consensus::Describe(aError));
  }

  kj::Promise<void> Conclude(SubmitContext aContext,
                             const ProposalResult& aResult)
  {
    auto reply = aContext.getResults().initReply();
    const fleet::CallReply* answer =
      aResult.m_effect ? std::get_if<fleet::CallReply>(&*aResult.m_effect)
                       : nullptr;
    if (answer == nullptr) {
      reply.setOutcome(schema::CallOutcome::UNKNOWN);
      reply.setMessage("the leader changed; send the call again with the "
                       "same operation id");
      return kj::READY_NOW;
    }
    wire::Write(*answer, reply);
    if (answer->m_refusal != fleet::Refusal::kNone) {
      return kj::READY_NOW;
    }
    // Entries report the revision of their view, which does not change with a
    // call that does not affect them.
    const Index awaited =
      std::min(answer->m_revision, m_node.State().ViewRevision());
    return m_node.WaitInForce(awaited).then([aContext](bool aInForce) mutable {
      aContext.getResults().getReply().setInForce(aInForce);
    });
  }

  Node& m_node;
  JobService* m_jobs;
};

class ControlServer final : public schema::Control::Server
{
public:
  ControlServer(Node& aNode, JobService* aJobs)
    : m_node(aNode)
    , m_jobs(aJobs)
  {
  }

  kj::Promise<void> deliver(DeliverContext aContext) override
  {
    const auto params = aContext.getParams();
    m_node.Deliver(wire::Read(params.getMessage()),
                   ToString(params.getReplyTo()));
    return kj::READY_NOW;
  }

  kj::Promise<void> identify(IdentifyContext aContext) override
  {
    auto results = aContext.getResults();
    wire::Write(m_node.Replica().Self(), results.initId());
    results.setEmpty(m_node.IsEmptyReplica());
    return kj::READY_NOW;
  }

  kj::Promise<void> sync(SyncContext aContext) override
  {
    if (!m_node.IsServing()) {
      RefuseAsFollower(aContext.getResults().initReply());
      return kj::READY_NOW;
    }
    auto report = ReadSync(aContext.getParams().getRequest());
    m_node.Registry().OnSync(report, MonotonicNow());
    if (report.m_leaving) {
      aContext.getResults().initReply();
      return kj::READY_NOW;
    }
    return m_node.WaitViewChange(report.m_revision)
      .then([this, aContext, report]() mutable {
        AnswerSync(aContext, std::move(report));
      });
  }

  kj::Promise<void> announce(AnnounceContext aContext) override
  {
    auto results = aContext.getResults();
    if (!m_node.IsServing()) {
      results.setOutcome(schema::SyncOutcome::NOT_LEADER);
      results.setLeaderAddress(ToText(m_node.LeaderAddress()));
      return kj::READY_NOW;
    }
    fleet::AnnounceInstances command;
    for (auto announcement : aContext.getParams().getAnnouncements()) {
      command.m_announcements.push_back(wire::Read(announcement));
      const auto& announced = command.m_announcements.back();
      m_node.Registry().OnAnnouncement(
        announced.m_id, announced.m_incarnation, MonotonicNow());
    }
    return m_node.Propose(command).then(
      [aContext](const ProposalResult& aResult) mutable {
        aContext.getResults().setOutcome(aResult.m_effect
                                           ? schema::SyncOutcome::OK
                                           : schema::SyncOutcome::NOT_LEADER);
      });
  }

  kj::Promise<void> begin(BeginContext aContext) override
  {
    if (!m_node.IsServing()) {
      RefuseAsFollower(aContext.getResults().initReply());
      return kj::READY_NOW;
    }
    return m_node.Propose(wire::Read(aContext.getParams().getBegin()))
      .then([this, aContext](const ProposalResult& aResult) mutable {
        auto reply = aContext.getResults().initReply();
        const auto* begun =
          aResult.m_effect
            ? std::get_if<outcome::BeginReply>(&*aResult.m_effect)
            : nullptr;
        if (begun == nullptr) {
          reply.setOutcome(schema::LedgerOutcome::UNDECIDED);
          return;
        }
        reply.setOutcome(ToOutcome(begun->m_verdict));
        if (begun->m_verdict == outcome::Verdict::kRecorded) {
          Write(begun->m_record, reply);
        }
      });
  }

  kj::Promise<void> resolve(ResolveContext aContext) override
  {
    if (!m_node.IsServing()) {
      RefuseAsFollower(aContext.getResults().initReply());
      return kj::READY_NOW;
    }
    return m_node.Propose(wire::Read(aContext.getParams().getResolve()))
      .then([aContext](const ProposalResult& aResult) mutable {
        aContext.getResults().initReply().setOutcome(
          aResult.m_effect ? schema::LedgerOutcome::RECORDED
                           : schema::LedgerOutcome::UNDECIDED);
      });
  }

  kj::Promise<void> lookup(LookupContext aContext) override
  {
    auto reply = aContext.getResults().initReply();
    if (!m_node.IsServing()) {
      RefuseAsFollower(reply);
      return kj::READY_NOW;
    }
    const outcome::Record* record = m_node.State().Outcomes().Find(
      RequestId{ ToString(aContext.getParams().getRequest()) });
    if (record == nullptr) {
      reply.setOutcome(schema::LedgerOutcome::NOT_FOUND);
      return kj::READY_NOW;
    }
    reply.setOutcome(schema::LedgerOutcome::RECORDED);
    Write(*record, reply);
    return kj::READY_NOW;
  }

  kj::Promise<void> queueCall(QueueCallContext aContext) override
  {
    KJ_REQUIRE(m_jobs != nullptr, "this replica serves no jobs");
    const Index known{ aContext.getParams().getKnownMembers() };
    return m_jobs->Call(wire::Read(aContext.getParams().getCall()))
      .then([this, aContext, known](const jobs::QueueReply& aReply) mutable {
        wire::Write(aReply, aContext.getResults().initReply());
        if (m_node.IsServing() && m_node.Replica().MembershipIndex() != known) {
          WriteMembers(aContext.getResults());
        }
      });
  }

  kj::Promise<void> join(JoinContext aContext) override
  {
    auto results = aContext.getResults();
    if (m_node.Replica().CurrentRole() != consensus::Role::kLeader) {
      results.setOutcome(schema::SyncOutcome::NOT_LEADER);
      results.setLeaderAddress(ToText(m_node.LeaderAddress()));
      return kj::READY_NOW;
    }
    const auto params = aContext.getParams();
    m_node.Admit(consensus::Member{
      wire::Read(params.getId()), ToString(params.getAddress()), false });
    results.setOutcome(schema::SyncOutcome::OK);
    return kj::READY_NOW;
  }

  kj::Promise<void> operators(OperatorsContext aContext) override
  {
    aContext.getResults().setOperators(
      kj::heap<OperatorServer>(m_node, m_jobs));
    return kj::READY_NOW;
  }

private:
  void WriteMembers(QueueCallResults::Builder aTo) const
  {
    const auto& members = m_node.Replica().CurrentMembership().m_members;
    auto list = aTo.initMembers(static_cast<unsigned>(members.size()));
    for (unsigned i = 0; i < list.size(); ++i) {
      list.set(i, ToText(members[i].m_address));
    }
    aTo.setMembersRevision(m_node.Replica().MembershipIndex().Get());
  }

  template<typename Reply>
  void RefuseAsFollower(Reply aReply)
  {
    using Outcome = decltype(aReply.asReader().getOutcome());
    aReply.setOutcome(Outcome::NOT_LEADER);
    aReply.setLeaderAddress(ToText(m_node.LeaderAddress()));
  }

  void Write(const outcome::Record& aRecord, schema::LedgerReply::Builder aTo)
  {
    aTo.setRecord(ToData(fleet::EncodeRecord(aRecord)));
    aTo.setHolderGone(
      !m_node.Registry().IsAlive(aRecord.m_holder, MonotonicNow()));
  }

  void AnswerSync(SyncContext aContext, membership::SyncReport aReport)
  {
    auto reply = aContext.getResults().initReply();
    // The lease of an entry depends on the leader's own: a leader that was cut
    // off while this call waited must not grant one.
    if (!m_node.IsServing()) {
      RefuseAsFollower(reply);
      return;
    }
    const TimePoint now = MonotonicNow();
    membership::Registry& registry = m_node.Registry();
    aReport.m_renewals.clear();
    registry.OnSync(aReport, now);
    const fleet::State& state = m_node.State();
    reply.setOutcome(schema::SyncOutcome::OK);
    reply.setLeaseMs(ToMillis(registry.EntryLease()).count());
    reply.setTerm(m_node.Replica().CurrentTerm().Get());
    reply.setRevision(state.ViewRevision().Get());
    if (state.ViewRevision() != aReport.m_revision) {
      reply.setView(
        ToData(fleet::EncodeView(state.ViewSince(aReport.m_revision))));
    }
    const auto live = registry.LiveEntries(now);
    const auto self =
      std::find_if(live.begin(), live.end(), [&](const auto& aEntry) {
        return aEntry.m_entry == aReport.m_entry;
      });
    reply.setLiveEntries(live.size());
    reply.setPosition(self - live.begin());
    const auto& members = m_node.Replica().CurrentMembership().m_members;
    auto addresses = reply.initControlAddresses(members.size());
    for (std::size_t i = 0; i < members.size(); ++i) {
      addresses.set(i, ToText(members[i].m_address));
    }
  }

  Node& m_node;
  JobService* m_jobs;
};

} // namespace

schema::Control::Client
MakeControlServer(Node& aNode, JobService* aJobs)
{
  return kj::heap<ControlServer>(aNode, aJobs);
}

kj::Promise<void>
Listen(schema::Control::Client aServer,
       kj::AsyncIoProvider& aProvider,
       const std::string& aAddress,
       const http::ClientLimits& aLimits)
{
  return aProvider.getNetwork()
    .parseAddress(ToText(aAddress))
    .then([server = kj::mv(aServer), &timer = aProvider.getTimer(), aLimits](
            kj::Own<kj::NetworkAddress>&& aParsed) mutable {
      auto acceptor = kj::heap<PeerAcceptor>(
        kj::mv(server), aParsed->listen(), timer, aLimits);
      auto loop = acceptor->Run();
      return loop.attach(kj::mv(acceptor));
    });
}

} // namespace bamboostile::control
