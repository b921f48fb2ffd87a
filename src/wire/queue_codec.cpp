#include "bamboostile/wire/queue_codec.h"

#include "bamboostile/jobs/book.h"

#include "text.h"

namespace bamboostile::wire {

// The enumerations of the schema and of the jobs library list the same values
// in the same order.

void
Write(const jobs::QueueCall& aCall, schema::QueueCall::Builder aTo)
{
  aTo.setKind(static_cast<schema::QueueCall::Kind>(aCall.m_kind));
  aTo.setHost(aCall.m_host);
  aTo.setPath(aCall.m_path);
  if (aCall.m_kind == jobs::CallKind::kSubmit) {
    aTo.setSpec(ToData(jobs::EncodeSpec(aCall.m_spec)));
  }
}

std::optional<jobs::QueueCall>
Read(schema::QueueCall::Reader aFrom)
{
  jobs::QueueCall call;
  call.m_kind = static_cast<jobs::CallKind>(aFrom.getKind());
  call.m_host = ToString(aFrom.getHost());
  call.m_path = ToString(aFrom.getPath());
  if (call.m_kind == jobs::CallKind::kSubmit) {
    auto spec = jobs::DecodeSpec(ToString(aFrom.getSpec()));
    if (!spec) {
      return std::nullopt;
    }
    call.m_spec = std::move(*spec);
  }
  return call;
}

void
Write(const jobs::QueueReply& aReply, schema::QueueReply::Builder aTo)
{
  aTo.setOutcome(static_cast<schema::QueueOutcome>(aReply.m_outcome));
  aTo.setLeaderAddress(aReply.m_leaderAddress);
  aTo.setState(static_cast<schema::QueueReply::State>(aReply.m_state));
  aTo.setIsQueue(aReply.m_pending.has_value());
  aTo.setPending(aReply.m_pending.value_or(0));
  aTo.setRetryAfterMs(static_cast<std::uint32_t>(aReply.m_retryAfter.count()));
  aTo.setDetail(aReply.m_detail);
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

} // namespace bamboostile::wire
