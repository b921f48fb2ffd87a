#pragma once

#include "bamboostile/outcome/types.h"

#include <map>
#include <unordered_map>

namespace bamboostile::outcome {

/**
 * @brief The replicated record of non-idempotent requests: who may run one,
 * and how it ended.
 *
 * Deterministic; it changes only through the log. An attempt is granted once.
 * A new attempt of the same request is granted only after the one before it
 * is on record as not run.
 */
class Ledger
{
public:
  BeginReply Apply(Index aIndex, const Begin& aBegin);
  /** Returns false where the attempt is unknown or held by another. */
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
  void Touch(const RequestId& aRequest, Record& aRecord, Index aIndex);

  std::unordered_map<RequestId, Record> m_records;
  std::map<Index, RequestId> m_byModified;
};

} // namespace bamboostile::outcome
