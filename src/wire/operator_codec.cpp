#include "bamboostile/wire/operator_codec.h"

#include "text.h"

#include <algorithm>

namespace bamboostile::wire {

namespace {

constexpr std::size_t kMaxIdLength = 128;

bool
IsIdCharacter(char aCharacter)
{
  const bool isLetter = (aCharacter >= 'a' && aCharacter <= 'z') ||
                        (aCharacter >= 'A' && aCharacter <= 'Z');
  const bool isDigit = aCharacter >= '0' && aCharacter <= '9';
  return isLetter || isDigit || aCharacter == '-' || aCharacter == '_' ||
         aCharacter == '.';
}

/** Reads id fields of a call and records the first invalid one. */
class FieldReader
{
public:
  explicit FieldReader(CallError& aError)
    : m_error(aError)
  {
  }

  template<typename Id>
  Id Read(const char* aField, capnp::Text::Reader aText)
  {
    std::string text = ToString(aText);
    const bool isValid = !text.empty() && text.size() <= kMaxIdLength &&
                         std::all_of(text.begin(), text.end(), IsIdCharacter);
    if (!isValid && m_error.m_field.empty()) {
      m_error.m_field = aField;
      m_error.m_message = std::string{ aField } + ": '" + text +
                          "' is not 1 to 128 of a-z A-Z 0-9 - _ .";
    }
    return Id{ std::move(text) };
  }

private:
  CallError& m_error;
};

fleet::Service
ReadService(schema::Service::Reader aFrom, FieldReader& aFields)
{
  fleet::Service service;
  service.m_id = aFields.Read<ServiceId>("putService.id", aFrom.getId());
  service.m_maxUnavailablePercent = aFrom.getMaxUnavailablePercent();
  service.m_defaultTimeoutMs = aFrom.getDefaultTimeoutMs();
  service.m_retryBudgetPercent = aFrom.getRetryBudgetPercent();
  service.m_queueLimit = aFrom.getQueueLimit();
  service.m_surviveRack = aFrom.getSurviveRack();
  service.m_postIsIdempotent = aFrom.getPostIsIdempotent();
  return service;
}

fleet::Config
ReadConfig(schema::Config::Reader aFrom)
{
  fleet::Config config;
  config.m_maxRequests = aFrom.getMaxRequests();
  config.m_ejectionCeilingPercent = aFrom.getEjectionCeilingPercent();
  config.m_panicPercent = aFrom.getPanicPercent();
  config.m_sameZoneFirst = aFrom.getSameZoneFirst();
  config.m_outcomeKeepSeconds = aFrom.getOutcomeKeepSeconds();
  config.m_keptAnswerBytes = aFrom.getKeptAnswerBytes();
  config.m_note = ToString(aFrom.getNote());
  return config;
}

fleet::WaveState
ReadWaveState(schema::WaveTarget aTarget)
{
  switch (aTarget) {
    case schema::WaveTarget::PAUSED:
      return fleet::WaveState::kPaused;
    case schema::WaveTarget::CANCELLED:
      return fleet::WaveState::kCancelled;
    case schema::WaveTarget::RUNNING:
      break;
  }
  return fleet::WaveState::kRunning;
}

fleet::Call
ReadCall(schema::OperatorCall::Reader aFrom, FieldReader& aFields)
{
  using schema::OperatorCall;
  switch (aFrom.which()) {
    case OperatorCall::PUT_POOL: {
      const auto put = aFrom.getPutPool();
      return fleet::PutPool{
        aFields.Read<PoolId>("putPool.pool", put.getPool()),
        aFields.Read<ServiceId>("putPool.service", put.getService()),
        ToString(put.getHome())
      };
    }
    case OperatorCall::REMOVE_POOL:
      return fleet::RemovePool{ aFields.Read<PoolId>("removePool",
                                                     aFrom.getRemovePool()) };
    case OperatorCall::DRAIN_POOL: {
      const auto drain = aFrom.getDrainPool();
      return fleet::DrainPool{ aFields.Read<PoolId>("drainPool.pool",
                                                    drain.getPool()),
                               drain.getDraining() };
    }
    case OperatorCall::PUT_SERVICE:
      return fleet::PutService{ ReadService(aFrom.getPutService(), aFields) };
    case OperatorCall::REMOVE_SERVICE:
      return fleet::RemoveService{ aFields.Read<ServiceId>(
        "removeService", aFrom.getRemoveService()) };
    case OperatorCall::MOVE_INSTANCE: {
      const auto move = aFrom.getMoveInstance();
      return fleet::MoveInstance{
        aFields.Read<InstanceId>("moveInstance.instance", move.getInstance()),
        aFields.Read<PoolId>("moveInstance.pool", move.getPool())
      };
    }
    case OperatorCall::CORDON_INSTANCE: {
      const auto cordon = aFrom.getCordonInstance();
      return fleet::CordonInstance{ aFields.Read<InstanceId>(
                                      "cordonInstance.instance",
                                      cordon.getInstance()),
                                    cordon.getCordoned() };
    }
    case OperatorCall::REMOVE_INSTANCE:
      return fleet::RemoveInstance{ aFields.Read<InstanceId>(
        "removeInstance", aFrom.getRemoveInstance()) };
    case OperatorCall::SET_CONFIG:
      return fleet::SetConfig{ ReadConfig(aFrom.getSetConfig()) };
    case OperatorCall::CREATE_WAVE: {
      const auto create = aFrom.getCreateWave();
      return fleet::CreateWave{
        aFields.Read<WaveId>("createWave.wave", create.getWave()),
        aFields.Read<PoolId>("createWave.pool", create.getPool())
      };
    }
    case OperatorCall::SET_WAVE_STATE: {
      const auto set = aFrom.getSetWaveState();
      return fleet::SetWaveState{ aFields.Read<WaveId>("setWaveState.wave",
                                                       set.getWave()),
                                  ReadWaveState(set.getState()) };
    }
  }
  return fleet::RemovePool{};
}

schema::CallOutcome
ToOutcome(fleet::Refusal aRefusal)
{
  switch (aRefusal) {
    case fleet::Refusal::kNone:
      return schema::CallOutcome::DONE;
    case fleet::Refusal::kConflict:
      return schema::CallOutcome::CONFLICT;
    case fleet::Refusal::kNotFound:
      return schema::CallOutcome::NOT_FOUND;
    case fleet::Refusal::kInvalid:
      return schema::CallOutcome::INVALID;
    case fleet::Refusal::kInUse:
      return schema::CallOutcome::IN_USE;
  }
  return schema::CallOutcome::INVALID;
}

} // namespace

std::optional<fleet::OperatorCall>
Read(schema::OperatorCall::Reader aFrom, CallError& aError)
{
  FieldReader fields(aError);
  fleet::OperatorCall call;
  call.m_operation =
    fields.Read<OperationId>("operationId", aFrom.getOperationId());
  call.m_operator = ToString(aFrom.getOperator());
  call.m_expected = Index{ aFrom.getExpectedRevision() };
  call.m_call = ReadCall(aFrom, fields);
  if (!aError.m_field.empty()) {
    return std::nullopt;
  }
  return call;
}

void
Write(const fleet::CallReply& aReply, schema::CallReply::Builder aTo)
{
  aTo.setOutcome(ToOutcome(aReply.m_refusal));
  aTo.setRevision(aReply.m_revision.Get());
  aTo.setMessage(ToText(aReply.m_message));
  aTo.setWinner(ToText(aReply.m_winner.Get()));
  aTo.setWinnerOperator(ToText(aReply.m_winnerOperator));
}

} // namespace bamboostile::wire
