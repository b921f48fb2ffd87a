#include "bamboostile/outcome/ledger.h"

namespace bamboostile::outcome {

const char*
Describe(State aState) noexcept
{
  switch (aState) {
    case State::kInProgress:
      return "in-progress";
    case State::kDone:
      return "done";
    case State::kNotRun:
      return "not-run";
    case State::kUnknown:
      return "unknown";
  }
  return "unknown";
}

BeginReply
Ledger::Apply(Index aIndex, const Begin& aBegin)
{
  const auto [found, isNew] = m_records.try_emplace(aBegin.m_request);
  Record& record = found->second;
  if (!isNew) {
    if (record.m_digest != aBegin.m_digest) {
      return { Verdict::kDigestMismatch, record };
    }
    const bool sameCall = record.m_attempt == aBegin.m_attempt &&
                          record.m_holder == aBegin.m_holder &&
                          record.m_ticket == aBegin.m_ticket;
    if (sameCall && record.m_state == State::kInProgress) {
      return { Verdict::kGranted, record };
    }
    if (aBegin.m_attempt <= record.m_attempt) {
      return { Verdict::kRecorded, record };
    }
    const bool isNext = aBegin.m_attempt == record.m_attempt + 1;
    if (record.m_state != State::kNotRun || !isNext) {
      return { Verdict::kAttemptNotAllowed, record };
    }
  }
  record.m_attempt = aBegin.m_attempt;
  record.m_digest = aBegin.m_digest;
  record.m_holder = aBegin.m_holder;
  record.m_ticket = aBegin.m_ticket;
  record.m_state = aBegin.m_refused ? State::kNotRun : State::kInProgress;
  record.m_answer.reset();
  UpdateModified(aBegin.m_request, record, aIndex);
  const Verdict verdict =
    aBegin.m_refused ? Verdict::kRecorded : Verdict::kGranted;
  return { verdict, record };
}

bool
Ledger::Apply(Index aIndex, const Resolve& aResolve)
{
  const auto found = m_records.find(aResolve.m_request);
  if (found == m_records.end()) {
    return false;
  }
  Record& record = found->second;
  const bool isHolder = record.m_attempt == aResolve.m_attempt &&
                        record.m_holder == aResolve.m_holder &&
                        record.m_ticket == aResolve.m_ticket;
  if (!isHolder) {
    return false;
  }
  // The first outcome is final: a caller may already have received it.
  if (record.m_state != State::kInProgress) {
    return record.m_state == aResolve.m_state;
  }
  record.m_state = aResolve.m_state;
  record.m_answer = aResolve.m_answer;
  UpdateModified(aResolve.m_request, record, aIndex);
  return true;
}

void
Ledger::Apply(Index /*aIndex*/, const Expire& aExpire)
{
  while (!m_byModified.empty() &&
         m_byModified.begin()->first <= aExpire.m_upTo) {
    m_records.erase(m_byModified.begin()->second);
    m_byModified.erase(m_byModified.begin());
  }
}

const Record*
Ledger::Find(const RequestId& aRequest) const
{
  const auto found = m_records.find(aRequest);
  return found == m_records.end() ? nullptr : &found->second;
}

void
Ledger::Restore(RequestId aRequest, Record aRecord)
{
  m_byModified[aRecord.m_modified] = aRequest;
  m_records[std::move(aRequest)] = std::move(aRecord);
}

void
Ledger::UpdateModified(const RequestId& aRequest, Record& aRecord, Index aIndex)
{
  m_byModified.erase(aRecord.m_modified);
  aRecord.m_modified = aIndex;
  m_byModified[aIndex] = aRequest;
}

} // namespace bamboostile::outcome
