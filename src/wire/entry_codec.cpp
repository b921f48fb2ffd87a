#include "bamboostile/wire/entry_codec.h"

#include "bamboostile/fleet/state.h"
#include "text.h"

namespace bamboostile::wire {

void
Write(const fleet::Announcement& aFrom, schema::Announcement::Builder aTo)
{
  aTo.setId(ToText(aFrom.m_id.Get()));
  aTo.setIncarnation(aFrom.m_incarnation.Get());
  aTo.setSequence(aFrom.m_sequence);
  aTo.setService(ToText(aFrom.m_service.Get()));
  aTo.setPool(ToText(aFrom.m_pool ? aFrom.m_pool->Get() : std::string{}));
  aTo.setZone(ToText(aFrom.m_zone.Get()));
  aTo.setRack(ToText(aFrom.m_rack.Get()));
  aTo.setAddress(ToText(aFrom.m_address));
  aTo.setSlots(aFrom.m_slots);
  aTo.setConnections(aFrom.m_connections);
  aTo.setCores(aFrom.m_cores);
  aTo.setMemoryMb(aFrom.m_memoryMb);
  aTo.setAccelerators(aFrom.m_accelerators);
  aTo.setLeaving(aFrom.m_state == fleet::InstanceState::kLeaving);
}

fleet::Announcement
Read(schema::Announcement::Reader aFrom)
{
  fleet::Announcement to;
  to.m_id = InstanceId{ ToString(aFrom.getId()) };
  to.m_incarnation = Incarnation{ aFrom.getIncarnation() };
  to.m_sequence = aFrom.getSequence();
  to.m_service = ServiceId{ ToString(aFrom.getService()) };
  if (aFrom.getPool().size() > 0) {
    to.m_pool = PoolId{ ToString(aFrom.getPool()) };
  }
  to.m_zone = ZoneId{ ToString(aFrom.getZone()) };
  to.m_rack = RackId{ ToString(aFrom.getRack()) };
  to.m_address = ToString(aFrom.getAddress());
  to.m_slots = aFrom.getSlots();
  to.m_connections = aFrom.getConnections();
  to.m_cores = aFrom.getCores();
  to.m_memoryMb = aFrom.getMemoryMb();
  to.m_accelerators = aFrom.getAccelerators();
  to.m_state = aFrom.getLeaving() ? fleet::InstanceState::kLeaving
                                  : fleet::InstanceState::kUp;
  return to;
}

void
Write(const outcome::EntryId& aFrom, schema::EntryId::Builder aTo)
{
  aTo.setInstance(ToText(aFrom.m_instance.Get()));
  aTo.setIncarnation(aFrom.m_incarnation.Get());
}

outcome::EntryId
Read(schema::EntryId::Reader aFrom)
{
  return { InstanceId{ ToString(aFrom.getInstance()) },
           Incarnation{ aFrom.getIncarnation() } };
}

void
Write(const outcome::Begin& aFrom, schema::Begin::Builder aTo)
{
  aTo.setRequest(ToText(aFrom.m_request.Get()));
  aTo.setAttempt(aFrom.m_attempt);
  aTo.setDigest(ToData(aFrom.m_digest));
  Write(aFrom.m_holder, aTo.initHolder());
  aTo.setTicket(aFrom.m_ticket);
  aTo.setRefused(aFrom.m_refused);
}

outcome::Begin
Read(schema::Begin::Reader aFrom)
{
  return { RequestId{ ToString(aFrom.getRequest()) },
           aFrom.getAttempt(),
           ToString(aFrom.getDigest()),
           Read(aFrom.getHolder()),
           aFrom.getTicket(),
           aFrom.getRefused() };
}

void
Write(const outcome::Resolve& aFrom, schema::Resolve::Builder aTo)
{
  aTo.setRequest(ToText(aFrom.m_request.Get()));
  aTo.setAttempt(aFrom.m_attempt);
  Write(aFrom.m_holder, aTo.initHolder());
  aTo.setTicket(aFrom.m_ticket);
  aTo.setState(static_cast<std::uint8_t>(aFrom.m_state));
  if (aFrom.m_answer) {
    // The answer is sent in its log encoding, so that control replicas never
    // decode it.
    outcome::Record record;
    record.m_answer = aFrom.m_answer;
    aTo.setAnswer(ToData(fleet::EncodeRecord(record)));
  }
}

outcome::Resolve
Read(schema::Resolve::Reader aFrom)
{
  outcome::Resolve to;
  to.m_request = RequestId{ ToString(aFrom.getRequest()) };
  to.m_attempt = aFrom.getAttempt();
  to.m_holder = Read(aFrom.getHolder());
  to.m_ticket = aFrom.getTicket();
  constexpr auto kLast = static_cast<std::uint8_t>(outcome::State::kUnknown);
  to.m_state = aFrom.getState() > kLast
                 ? outcome::State::kUnknown
                 : static_cast<outcome::State>(aFrom.getState());
  if (aFrom.hasAnswer()) {
    if (auto record = fleet::DecodeRecord(ToString(aFrom.getAnswer()))) {
      to.m_answer = std::move(record->m_answer);
    }
  }
  return to;
}

} // namespace bamboostile::wire
