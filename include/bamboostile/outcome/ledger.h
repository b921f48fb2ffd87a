#pragma once

#include "bamboostile/outcome/types.h"

#include <map>
#include <unordered_map>

namespace bamboostile::outcome {

/**
 * @brief The replicated ledger of non-idempotent requests: which entry may run
 * an attempt of a request, and the outcome of that attempt.
 *
 * Deterministic; it changes only through the log. Each attempt is granted once.
 * The next attempt of a request is granted only after the previous one has been
 * recorded as not run.
 */
class Ledger
{
public:
  BeginReply Apply(Index aIndex, const Begin& aBegin);
  /** Returns false if the attempt is unknown, held by another entry or call, or
   * already resolved with another state. */
  bool Apply(Index aIndex, const Resolve& aResolve);
  void Apply(Index aIndex, const Expire& aExpire);

  const Record* Find(const RequestId& aRequest) const;
  std::size_t Size() const { return m_records.size(); }

  const std::unordered_map<RequestId, Record>& Records() const
  {
    return m_records;
  }
  void Restore(RequestId aRequest, Record aRecord);

private:
  void UpdateModified(const RequestId& aRequest, Record& aRecord, Index aIndex);

  std::unordered_map<RequestId, Record> m_records;
  std::map<Index, RequestId> m_byModified;
};

} // namespace bamboostile::outcome
