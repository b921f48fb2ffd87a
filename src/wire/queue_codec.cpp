#include "bamboostile/wire/queue_codec.h"

#include "bamboostile/jobs/spec_codec.h"
#include "bamboostile/workspaces/key_digest.h"

#include "text.h"

#include <algorithm>
#include <set>

namespace bamboostile::wire {

// The enumerations of the schema and of the jobs library have the same values
// in the same order, so they are converted by static_cast.

void
Write(const jobs::QueueCall& aCall, schema::QueueCall::Builder aTo)
{
  aTo.setKind(static_cast<schema::QueueCall::Kind>(aCall.m_kind));
  aTo.setHost(ToText(aCall.m_host));
  aTo.setPath(ToText(aCall.m_path));
  aTo.setKeyDigest(ToText(aCall.m_key.Get()));
  if (aCall.m_kind == jobs::CallKind::kSubmit) {
    jobs::Write(aCall.m_spec, aTo.initSpec());
  }
}

jobs::QueueCall
Read(schema::QueueCall::Reader aFrom)
{
  jobs::QueueCall call;
  call.m_kind = static_cast<jobs::CallKind>(aFrom.getKind());
  call.m_host = ToString(aFrom.getHost());
  call.m_path = ToString(aFrom.getPath());
  call.m_key = workspaces::KeyDigest{ ToString(aFrom.getKeyDigest()) };
  if (call.m_kind == jobs::CallKind::kSubmit) {
    call.m_spec = jobs::Read(aFrom.getSpec());
  }
  return call;
}

void
Write(const jobs::QueueReply& aReply, schema::QueueReply::Builder aTo)
{
  aTo.setOutcome(static_cast<schema::QueueOutcome>(aReply.m_outcome));
  aTo.setLeaderAddress(ToText(aReply.m_leaderAddress));
  aTo.setState(static_cast<schema::QueueReply::State>(aReply.m_state));
  aTo.setIsQueue(aReply.m_pending.has_value());
  aTo.setPending(aReply.m_pending.value_or(0));
  aTo.setRetryAfterMs(static_cast<std::uint32_t>(aReply.m_retryAfter.count()));
  aTo.setDetail(ToText(aReply.m_detail));
}

jobs::QueueReply
Read(schema::QueueReply::Reader aFrom)
{
  jobs::QueueReply reply;
  reply.m_outcome = static_cast<jobs::QueueOutcome>(aFrom.getOutcome());
  reply.m_leaderAddress = ToString(aFrom.getLeaderAddress());
  reply.m_state = static_cast<jobs::JobView>(aFrom.getState());
  if (aFrom.getIsQueue()) {
    reply.m_pending = aFrom.getPending();
  }
  reply.m_retryAfter = Millis{ aFrom.getRetryAfterMs() };
  reply.m_detail = ToString(aFrom.getDetail());
  return reply;
}

namespace {

workspaces::Workspace
ReadWorkspace(schema::Workspace::Reader aFrom)
{
  workspaces::Workspace workspace;
  workspace.m_id = WorkspaceId{ ToString(aFrom.getName()) };
  for (const auto key : aFrom.getApiKeys()) {
    workspace.m_keys.push_back(workspaces::DigestKey(ToString(key)));
  }
  for (const auto digest : aFrom.getKeyDigests()) {
    workspace.m_keys.emplace_back(ToString(digest));
  }
  workspace.m_weight = aFrom.getWeight();
  const auto cap = aFrom.getCap();
  workspace.m_cap = { cap.getCpuMillis(),
                      cap.getMemoryMb(),
                      cap.getAccelerators() };
  return workspace;
}

/** Writes digests only: keys are not kept. */
void
WriteWorkspace(const workspaces::Workspace& aWorkspace,
               schema::Workspace::Builder aTo)
{
  aTo.setName(ToText(aWorkspace.m_id.Get()));
  aTo.setWeight(aWorkspace.m_weight);
  auto digests =
    aTo.initKeyDigests(static_cast<unsigned>(aWorkspace.m_keys.size()));
  for (unsigned i = 0; i < digests.size(); ++i) {
    digests.set(i, ToText(aWorkspace.m_keys[i].Get()));
  }
  auto cap = aTo.initCap();
  cap.setCpuMillis(aWorkspace.m_cap.m_cpuMillis);
  cap.setMemoryMb(aWorkspace.m_cap.m_memoryMb);
  cap.setAccelerators(aWorkspace.m_cap.m_accelerators);
}

/** Queues that callers reach at /v1/queues/{name} have no host; their path
 * prefix is "/name/". */
std::string
PrefixOf(const std::string& aName)
{
  return "/" + aName + "/";
}

} // namespace

fleet::RouteTable
Read(schema::QueueTable::Reader aFrom)
{
  fleet::RouteTable table;
  table.m_version = aFrom.getVersion();
  std::set<std::string> services;
  for (auto row : aFrom.getQueues()) {
    fleet::QueueRoute route;
    route.m_name = ToString(row.getName());
    route.m_pathPrefix = PrefixOf(route.m_name);
    route.m_service = ServiceId{ ToString(row.getService()) };
    route.m_timeout = Millis{ row.getTimeoutMs() };
    route.m_objective = Millis{ row.getObjectiveMs() };
    route.m_stretch = row.getStretch();
    route.m_priority = row.getPriority();
    route.m_maxAttempts = std::max(1U, row.getMaxAttempts());
    route.m_isPublic = row.getPublic();
    table.m_routes.push_back(route);
    if (services.insert(route.m_service.Get()).second) {
      table.m_services.push_back({ route.m_service, true, false });
    }
  }
  if (aFrom.hasWorkspaces()) {
    table.m_workspaces.emplace();
    for (auto workspace : aFrom.getWorkspaces()) {
      table.m_workspaces->push_back(ReadWorkspace(workspace));
    }
  }
  return table;
}

void
Write(const fleet::RouteTable& aTable, schema::QueueTable::Builder aTo)
{
  aTo.setVersion(aTable.m_version);
  auto rows = aTo.initQueues(static_cast<unsigned>(aTable.m_routes.size()));
  for (unsigned i = 0; i < rows.size(); ++i) {
    const fleet::QueueRoute& route = aTable.m_routes[i];
    rows[i].setName(ToText(route.m_name));
    rows[i].setService(ToText(route.m_service.Get()));
    rows[i].setTimeoutMs(static_cast<std::uint32_t>(route.m_timeout.count()));
    rows[i].setObjectiveMs(
      static_cast<std::uint32_t>(route.m_objective.count()));
    rows[i].setStretch(route.m_stretch);
    rows[i].setPriority(route.m_priority);
    rows[i].setMaxAttempts(route.m_maxAttempts);
    rows[i].setPublic(route.m_isPublic);
  }
  if (aTable.m_workspaces) {
    const auto& workspaces = *aTable.m_workspaces;
    auto list = aTo.initWorkspaces(static_cast<unsigned>(workspaces.size()));
    for (unsigned i = 0; i < list.size(); ++i) {
      WriteWorkspace(workspaces[i], list[i]);
    }
  }
}

} // namespace bamboostile::wire
