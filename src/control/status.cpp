#include "bamboostile/control/node.h"
#include "bamboostile/units/json.h"

namespace bamboostile::control {

namespace {

using Json = nlohmann::json;

const char*
NameOf(fleet::WaveState aState)
{
  switch (aState) {
    case fleet::WaveState::kCreated:
      return "created";
    case fleet::WaveState::kRunning:
      return "running";
    case fleet::WaveState::kPaused:
      return "paused";
    case fleet::WaveState::kBraked:
      return "braked";
    case fleet::WaveState::kDone:
      return "done";
    case fleet::WaveState::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

const char*
NameOf(fleet::WaveStep aStep)
{
  switch (aStep) {
    case fleet::WaveStep::kWaiting:
      return "waiting";
    case fleet::WaveStep::kDraining:
      return "draining";
    case fleet::WaveStep::kReleased:
      return "released";
    case fleet::WaveStep::kReturned:
      return "returned";
    case fleet::WaveStep::kFailed:
      return "failed";
  }
  return "unknown";
}

Json
ToJson(const fleet::Change& aChange)
{
  return { { "revision", aChange.m_revision },
           { "operation", aChange.m_operation },
           { "operator", aChange.m_operator } };
}

Json
ToJson(const fleet::Pool& aPool)
{
  return { { "id", aPool.m_id },
           { "service", aPool.m_service },
           { "home", aPool.m_home },
           { "draining", aPool.m_draining },
           { "change", ToJson(aPool.m_change) } };
}

Json
ToJson(const fleet::Service& aService)
{
  return { { "id", aService.m_id },
           { "maxUnavailablePercent", aService.m_maxUnavailablePercent },
           { "surviveRack", aService.m_surviveRack },
           { "defaultTimeoutMs", aService.m_defaultTimeoutMs },
           { "retryBudgetPercent", aService.m_retryBudgetPercent },
           { "queueLimit", aService.m_queueLimit },
           { "postIsIdempotent", aService.m_postIsIdempotent },
           { "change", ToJson(aService.m_change) } };
}

Json
ToJson(const fleet::Instance& aInstance)
{
  const fleet::Announcement& announced = aInstance.m_announced;
  const bool leaving = announced.m_state == fleet::InstanceState::kLeaving;
  return { { "id", announced.m_id },
           { "incarnation", announced.m_incarnation },
           { "service", announced.m_service },
           { "pool", aInstance.m_pool },
           { "zone", announced.m_zone },
           { "rack", announced.m_rack },
           { "address", announced.m_address },
           { "slots", announced.m_slots },
           { "state", leaving ? "leaving" : "up" },
           { "cordoned", aInstance.m_cordoned },
           { "lost", aInstance.m_lost },
           { "wave", aInstance.m_wave },
           { "change", ToJson(aInstance.m_change) } };
}

Json
ToJson(const fleet::Config& aConfig)
{
  return { { "maxRequests", aConfig.m_maxRequests },
           { "ejectionCeilingPercent", aConfig.m_ejectionCeilingPercent },
           { "panicPercent", aConfig.m_panicPercent },
           { "sameZoneFirst", aConfig.m_sameZoneFirst },
           { "outcomeKeepSeconds", aConfig.m_outcomeKeepSeconds },
           { "keptAnswerBytes", aConfig.m_keptAnswerBytes },
           { "note", aConfig.m_note },
           { "change", ToJson(aConfig.m_change) } };
}

Json
ToJson(const fleet::Wave& aWave)
{
  Json steps = Json::object();
  for (const auto& [id, step] : aWave.m_instances) {
    steps[id.Get()] = NameOf(step.m_step);
  }
  return { { "id", aWave.m_id },
           { "pool", aWave.m_pool },
           { "state", NameOf(aWave.m_state) },
           { "reason", aWave.m_reason },
           { "instances", steps },
           { "change", ToJson(aWave.m_change) } };
}

Json
ToJson(const membership::EntryStatus& aEntry)
{
  Json inFlight = Json::object();
  for (const auto& [id, count] : aEntry.m_inFlight) {
    inFlight[id.Get()] = count;
  }
  return { { "id", aEntry.m_entry.m_instance },
           { "incarnation", aEntry.m_entry.m_incarnation },
           { "zone", aEntry.m_zone },
           { "http", aEntry.m_httpAddress },
           { "revision", aEntry.m_revision },
           { "inFlightAtLeaving", inFlight } };
}

template<typename Map>
Json
Values(const Map& aMap)
{
  Json list = Json::array();
  for (const auto& [id, value] : aMap) {
    list.push_back(ToJson(value));
  }
  return list;
}

} // namespace

std::string
Node::StatusJson() const
{
  const TimePoint now = MonotonicNow();
  Json replicas = Json::array();
  for (const auto& member : m_replica.CurrentMembership().m_members) {
    const Index match = m_replica.MatchIndexOf(member.m_id);
    replicas.push_back(
      { { "id", member.m_id.m_instance },
        { "incarnation", member.m_id.m_incarnation },
        { "address", member.m_address },
        { "voter", member.m_voter },
        { "leader", member.m_id == m_replica.Self() },
        { "behind", m_replica.LastIndex().Get() - match.Get() },
        { "regressed", m_replica.RegressedPeers().contains(member.m_id) } });
  }
  Json entries = Json::array();
  for (const auto& entry : m_registry.LiveEntries(now)) {
    entries.push_back(ToJson(entry));
  }
  Json instances = Values(m_state.Instances());
  for (Json& instance : instances) {
    const auto& known = m_state.Instances().at(InstanceId{ instance.at("id") });
    instance["empty"] = m_registry.IsDrained(known, now);
  }
  Json waves = Values(m_state.Waves());
  Json plans = Json::object();
  for (const auto& [id, pool] : m_state.Pools()) {
    const auto preview = waves::PreviewWave(m_state, id);
    plans[id.Get()] = { { "steps", preview.m_steps },
                        { "rounds", preview.m_rounds },
                        { "mayBeOut", preview.m_budget.Limit() },
                        { "allowedOut", preview.m_budget.m_allowed },
                        { "outUnplanned", preview.m_budget.m_unplanned },
                        { "outByWaves", preview.m_budget.m_outByWaves },
                        { "reserve", preview.m_budget.m_reserve },
                        { "blocked", preview.m_blocked } };
  }
  const Json status{ { "term", m_replica.CurrentTerm() },
                     { "commit", m_replica.CommitIndex() },
                     { "snapshot", m_replica.SnapshotIndex() },
                     { "viewRevision", m_state.ViewRevision() },
                     { "outcomes", m_state.Outcomes().Size() },
                     { "replicas", replicas },
                     { "entries", entries },
                     { "config", ToJson(m_state.CurrentConfig()) },
                     { "services", Values(m_state.Services()) },
                     { "pools", Values(m_state.Pools()) },
                     { "instances", instances },
                     { "waves", waves },
                     { "wavePlans", plans } };
  return status.dump();
}

} // namespace bamboostile::control
