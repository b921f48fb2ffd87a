#include "bamboostile/fleet/state.h"

#include "bamboostile/units/json.h"
#include "deflate.h"

// Each type is stored under the names of its members, so renaming a member
// changes the format of logs and snapshots. Members that are missing in data
// of an older build keep their default.

namespace bamboostile::outcome {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(EntryId, m_instance, m_incarnation)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Header, m_name, m_value)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Answer,
                                                m_status,
                                                m_headers,
                                                m_body,
                                                m_bodyDropped)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Begin,
                                                m_request,
                                                m_attempt,
                                                m_digest,
                                                m_holder,
                                                m_ticket,
                                                m_refused)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Resolve,
                                                m_request,
                                                m_attempt,
                                                m_holder,
                                                m_ticket,
                                                m_state,
                                                m_answer)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Expire, m_upTo)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Record,
                                                m_attempt,
                                                m_digest,
                                                m_holder,
                                                m_ticket,
                                                m_state,
                                                m_answer,
                                                m_modified)

} // namespace bamboostile::outcome

namespace bamboostile::jobs {

// Batches make up most of the log, so they are stored as packed Cap'n Proto,
// which takes a fraction of the size of named fields.
static void
to_json(nlohmann::json& aJson, const Batch& aBatch)
{
  const std::string bytes = EncodeBatch(aBatch);
  aJson = nlohmann::json::binary({ bytes.begin(), bytes.end() });
}

static void
from_json(const nlohmann::json& aJson, Batch& aBatch)
{
  const auto& bytes = aJson.get_binary();
  auto batch = DecodeBatch({ bytes.begin(), bytes.end() });
  if (!batch) {
    throw nlohmann::json::other_error::create(
      502, "a batch of job changes is damaged", &aJson);
  }
  aBatch = std::move(*batch);
}

} // namespace bamboostile::jobs

namespace bamboostile::workspaces {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Resources,
                                   m_cpuMillis,
                                   m_memoryMb,
                                   m_accelerators)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Workspace,
                                                m_id,
                                                m_keys,
                                                m_weight,
                                                m_cap)

} // namespace bamboostile::workspaces

namespace bamboostile::fleet {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AdvicePolicy,
                                   m_decision,
                                   m_perWorker,
                                   m_valid)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(QueueRoute,
                                                m_name,
                                                m_host,
                                                m_pathPrefix,
                                                m_service,
                                                m_timeout,
                                                m_objective,
                                                m_stretch,
                                                m_priority,
                                                m_maxAttempts,
                                                m_advice,
                                                m_isPublic)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ServicePolicy,
                                   m_id,
                                   m_enforcesCapacity,
                                   m_standby)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RouteTable,
                                                m_version,
                                                m_routes,
                                                m_services,
                                                m_workspaces,
                                                m_document)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ReplaceRoutes, m_table)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(MaintenanceWave,
                                   m_number,
                                   m_cap,
                                   m_startedAt,
                                   m_within,
                                   m_instances)
static void
to_json(nlohmann::json& aJson, const MarkFormed& /*aMark*/)
{
  aJson = nlohmann::json::object();
}

static void
from_json(const nlohmann::json& /*aJson*/, MarkFormed& /*aMark*/)
{
}

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RecordOrders, m_ordered, m_settled)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RaiseVersion, m_version)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(StartMaintenance, m_wave)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AdvanceMaintenance, m_wave, m_instance, m_to)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Change, m_revision, m_operation, m_operator)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Pool,
                                                m_id,
                                                m_service,
                                                m_home,
                                                m_draining,
                                                m_change)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Service,
                                                m_id,
                                                m_maxUnavailablePercent,
                                                m_surviveRack,
                                                m_defaultTimeoutMs,
                                                m_retryBudgetPercent,
                                                m_queueLimit,
                                                m_postIsIdempotent,
                                                m_change)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Announcement,
                                                m_id,
                                                m_incarnation,
                                                m_sequence,
                                                m_service,
                                                m_pool,
                                                m_zone,
                                                m_rack,
                                                m_address,
                                                m_slots,
                                                m_connections,
                                                m_cores,
                                                m_memoryMb,
                                                m_accelerators,
                                                m_state)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Instance,
                                                m_announced,
                                                m_pool,
                                                m_cordoned,
                                                m_wave,
                                                m_lost,
                                                m_change,
                                                m_modified)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Config,
                                                m_maxRequests,
                                                m_ejectionCeilingPercent,
                                                m_panicPercent,
                                                m_sameZoneFirst,
                                                m_outcomeKeepSeconds,
                                                m_keptAnswerBytes,
                                                m_note,
                                                m_change)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(WaveInstance, m_step, m_releasedIncarnation)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Wave,
                                   m_id,
                                   m_pool,
                                   m_state,
                                   m_reason,
                                   m_instances,
                                   m_change)

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PutPool, m_pool, m_service, m_home)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RemovePool, m_pool)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(DrainPool, m_pool, m_draining)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PutService, m_service)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RemoveService, m_service)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(MoveInstance, m_instance, m_pool)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CordonInstance, m_instance, m_cordoned)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RemoveInstance, m_instance)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SetConfig, m_config)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CreateWave, m_wave, m_pool)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SetWaveState, m_wave, m_state)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(OperatorCall,
                                   m_operation,
                                   m_operator,
                                   m_expected,
                                   m_call)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AnnounceInstances, m_announcements)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LoseInstances, m_instances)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AdvanceWave,
                                   m_wave,
                                   m_instance,
                                   m_from,
                                   m_to)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CloseWave, m_wave, m_state, m_reason)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CallReply,
                                   m_refusal,
                                   m_revision,
                                   m_message,
                                   m_winner,
                                   m_winnerOperator)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Removal, m_revision, m_object)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(View,
                                   m_revision,
                                   m_full,
                                   m_pools,
                                   m_services,
                                   m_instances,
                                   m_config,
                                   m_removals)

namespace {

/** Batches of job changes are smaller, and packed already. */
constexpr std::size_t kMinDeflatedBytes = std::size_t{ 64 } * 1024;
/** Precedes a deflated command. In CBOR it is a number, which no command is. */
constexpr char kDeflatedMark = '\0';

using Json = nlohmann::json;

std::string
ToBytes(const Json& aJson)
{
  std::string bytes;
  Json::to_cbor(aJson, nlohmann::detail::output_adapter<char>(bytes));
  return bytes;
}

template<typename T>
std::string
EncodeAs(const T& aValue)
{
  return ToBytes(Json(aValue));
}

template<typename T>
std::optional<T>
DecodeAs(const std::string& aBytes)
{
  try {
    return Json::from_cbor(aBytes).template get<T>();
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

} // namespace

/** Converts a State, including its private members, to and from a snapshot. */
struct StateCodec
{
  static Json Binary(const std::string& aBytes)
  {
    return Json::binary({ aBytes.begin(), aBytes.end() });
  }

  /** Reads the fields that snapshots of builds without jobs do not have. */
  static void ReadJobs(const Json& aJson, State& aState)
  {
    aState.m_isFormed = aJson.value("isFormed", false);
    aState.m_version = aJson.value("version", std::uint32_t{ 0 });
    aState.SetRoutes(aJson.at("routes").get<RouteTable>());
    aState.m_formerServices =
      aJson.value("formerServices", std::vector<ServiceId>{});
    aJson.at("maintenance").get_to(aState.m_maintenance);
    aState.m_recentOrders = aJson.value("recentOrders", std::set<InstanceId>{});
    const auto& bytes = aJson.at("jobs").get_binary();
    auto table = jobs::DecodeJobTable({ bytes.begin(), bytes.end() });
    if (!table) {
      throw Json::other_error::create(
        503, "the job table of a snapshot is damaged", &aJson);
    }
    aState.m_jobs = std::move(*table);
    if (aState.m_version >= kVersionWithCompactJobs) {
      aState.m_jobs.ForgetDoneOccurrences();
    }
  }

  static Json Write(const State& aState)
  {
    Json replies = Json::array();
    for (const OperationId& id : aState.m_replyOrder) {
      replies.push_back({ id, aState.m_replies.at(id) });
    }
    Json outcomes = Json::array();
    for (const auto& [id, record] : aState.m_outcomes.Records()) {
      outcomes.push_back({ id, record });
    }
    return Json{ { "applied", aState.m_applied },
                 { "viewRevision", aState.m_viewRevision },
                 { "removalHorizon", aState.m_removalHorizon },
                 { "pools", aState.m_pools },
                 { "services", aState.m_services },
                 { "instances", aState.m_instances },
                 { "waves", aState.m_waves },
                 { "config", aState.m_config },
                 { "removals", aState.m_removals },
                 { "replies", replies },
                 { "outcomes", outcomes },
                 { "isFormed", aState.m_isFormed },
                 { "version", aState.m_version },
                 { "routes", aState.m_routes },
                 { "formerServices", aState.m_formerServices },
                 { "maintenance", aState.m_maintenance },
                 { "recentOrders", aState.m_recentOrders },
                 { "jobs",
                   Binary(jobs::EncodeJobTable(aState.m_jobs,
                                               aState.m_version >=
                                                 kVersionWithCompactJobs)) } };
  }

  static State Read(const Json& aJson)
  {
    State state;
    aJson.at("applied").get_to(state.m_applied);
    aJson.at("viewRevision").get_to(state.m_viewRevision);
    aJson.at("removalHorizon").get_to(state.m_removalHorizon);
    aJson.at("pools").get_to(state.m_pools);
    aJson.at("services").get_to(state.m_services);
    aJson.at("instances").get_to(state.m_instances);
    aJson.at("waves").get_to(state.m_waves);
    aJson.at("config").get_to(state.m_config);
    aJson.at("removals").get_to(state.m_removals);
    if (aJson.contains("jobs")) {
      ReadJobs(aJson, state);
    }
    for (const Json& reply : aJson.at("replies")) {
      state.StoreReply(reply.at(0).get<OperationId>(),
                       reply.at(1).get<CallReply>());
    }
    for (const Json& entry : aJson.at("outcomes")) {
      state.m_outcomes.Restore(entry.at(0).get<RequestId>(),
                               entry.at(1).get<outcome::Record>());
    }
    return state;
  }
};

std::string
State::Encode() const
{
  return ToBytes(StateCodec::Write(*this));
}

std::optional<State>
State::Decode(const std::string& aBytes)
{
  try {
    return StateCodec::Read(Json::from_cbor(aBytes));
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

std::string
EncodeCommand(const Command& aCommand, std::uint32_t aVersion)
{
  std::string bytes = EncodeAs(aCommand);
  if (aVersion < kVersionWithDeflatedCommands ||
      bytes.size() < kMinDeflatedBytes) {
    return bytes;
  }
  const auto deflated = Deflate(bytes);
  return deflated ? kDeflatedMark + *deflated : bytes;
}

std::optional<Command>
DecodeCommand(const std::string& aBytes)
{
  if (aBytes.empty() || aBytes.front() != kDeflatedMark) {
    return DecodeAs<Command>(aBytes);
  }
  const auto bytes = Inflate(aBytes.substr(1));
  return bytes ? DecodeAs<Command>(*bytes) : std::nullopt;
}

std::string
EncodeView(const View& aView)
{
  return EncodeAs(aView);
}

std::optional<View>
DecodeView(const std::string& aBytes)
{
  return DecodeAs<View>(aBytes);
}

std::string
EncodeRecord(const outcome::Record& aRecord)
{
  return EncodeAs(aRecord);
}

std::optional<outcome::Record>
DecodeRecord(const std::string& aBytes)
{
  return DecodeAs<outcome::Record>(aBytes);
}

} // namespace bamboostile::fleet
