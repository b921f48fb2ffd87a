#include "review.h"

#include <capnp/compat/json.h>

namespace bamboostile::cli {

namespace {

using Json = nlohmann::json;

const Json*
FindById(const Json& aList, const std::string& aId)
{
  for (const Json& item : aList) {
    if (item.at("id") == aId) {
      return &item;
    }
  }
  return nullptr;
}

/** Compares the desired fields of an object with the current ones. */
CallDiff
Compare(const std::string& aKind,
        const std::string& aId,
        const Json* aCurrent,
        const Json& aDesired)
{
  CallDiff diff;
  diff.m_object = aId.empty() ? aKind : aKind + " " + aId;
  if (aCurrent != nullptr) {
    diff.m_revision = aCurrent->at("change").at("revision");
  }
  for (const auto& [field, value] : aDesired.items()) {
    const Json old =
      aCurrent != nullptr ? aCurrent->value(field, Json{}) : Json{};
    if (old != value) {
      diff.m_changes.push_back(field + ": " + old.dump() + " -> " +
                               value.dump());
    }
  }
  const bool isNew =
    aCurrent == nullptr || (aKind == "config" && diff.m_revision == 0);
  diff.m_isApplied = !isNew && diff.m_changes.empty();
  return diff;
}

CallDiff
CompareRemoval(const std::string& aKind,
               const std::string& aId,
               const Json* aCurrent)
{
  CallDiff diff;
  diff.m_object = aKind + " " + aId;
  diff.m_isApplied = aCurrent == nullptr;
  if (aCurrent != nullptr) {
    diff.m_revision = aCurrent->at("change").at("revision");
    diff.m_changes.push_back("remove");
  }
  return diff;
}

const char*
NameOf(schema::WaveTarget aTarget)
{
  switch (aTarget) {
    case schema::WaveTarget::RUNNING:
      return "running";
    case schema::WaveTarget::PAUSED:
      return "paused";
    case schema::WaveTarget::CANCELLED:
      return "cancelled";
  }
  return "running";
}

Json
ServiceFields(schema::Service::Reader aFrom)
{
  return { { "maxUnavailablePercent", aFrom.getMaxUnavailablePercent() },
           { "surviveRack", aFrom.getSurviveRack() },
           { "defaultTimeoutMs", aFrom.getDefaultTimeoutMs() },
           { "retryBudgetPercent", aFrom.getRetryBudgetPercent() },
           { "queueLimit", aFrom.getQueueLimit() },
           { "postIsIdempotent", aFrom.getPostIsIdempotent() } };
}

Json
ConfigFields(schema::Config::Reader aFrom)
{
  return { { "maxRequests", aFrom.getMaxRequests() },
           { "ejectionCeilingPercent", aFrom.getEjectionCeilingPercent() },
           { "panicPercent", aFrom.getPanicPercent() },
           { "sameZoneFirst", aFrom.getSameZoneFirst() },
           { "outcomeKeepSeconds", aFrom.getOutcomeKeepSeconds() },
           { "keptAnswerBytes", aFrom.getKeptAnswerBytes() },
           { "note", std::string{ aFrom.getNote() } } };
}

} // namespace

CallDiff
DiffCall(schema::OperatorCall::Reader aCall, const Json& aStatus)
{
  using schema::OperatorCall;
  const auto find = [&](const char* aList, const std::string& aId) {
    return FindById(aStatus.at(aList), aId);
  };
  switch (aCall.which()) {
    case OperatorCall::PUT_POOL: {
      const auto put = aCall.getPutPool();
      const std::string id = put.getPool();
      return Compare("pool",
                     id,
                     find("pools", id),
                     { { "service", std::string{ put.getService() } },
                       { "home", std::string{ put.getHome() } } });
    }
    case OperatorCall::REMOVE_POOL: {
      const std::string id = aCall.getRemovePool();
      return CompareRemoval("pool", id, find("pools", id));
    }
    case OperatorCall::DRAIN_POOL: {
      const auto drain = aCall.getDrainPool();
      const std::string id = drain.getPool();
      return Compare(
        "pool", id, find("pools", id), { { "draining", drain.getDraining() } });
    }
    case OperatorCall::PUT_SERVICE: {
      const auto put = aCall.getPutService();
      const std::string id = put.getId();
      return Compare("service", id, find("services", id), ServiceFields(put));
    }
    case OperatorCall::REMOVE_SERVICE: {
      const std::string id = aCall.getRemoveService();
      return CompareRemoval("service", id, find("services", id));
    }
    case OperatorCall::MOVE_INSTANCE: {
      const auto move = aCall.getMoveInstance();
      const std::string id = move.getInstance();
      return Compare("instance",
                     id,
                     find("instances", id),
                     { { "pool", std::string{ move.getPool() } } });
    }
    case OperatorCall::CORDON_INSTANCE: {
      const auto cordon = aCall.getCordonInstance();
      const std::string id = cordon.getInstance();
      return Compare("instance",
                     id,
                     find("instances", id),
                     { { "cordoned", cordon.getCordoned() } });
    }
    case OperatorCall::REMOVE_INSTANCE: {
      const std::string id = aCall.getRemoveInstance();
      return CompareRemoval("instance", id, find("instances", id));
    }
    case OperatorCall::SET_CONFIG:
      return Compare("config",
                     "",
                     &aStatus.at("config"),
                     ConfigFields(aCall.getSetConfig()));
    case OperatorCall::CREATE_WAVE: {
      const auto create = aCall.getCreateWave();
      const std::string id = create.getWave();
      return Compare("wave",
                     id,
                     find("waves", id),
                     { { "pool", std::string{ create.getPool() } } });
    }
    case OperatorCall::SET_WAVE_STATE: {
      const auto set = aCall.getSetWaveState();
      const std::string id = set.getWave();
      return Compare(
        "wave", id, find("waves", id), { { "state", NameOf(set.getState()) } });
    }
  }
  return {};
}

} // namespace bamboostile::cli
