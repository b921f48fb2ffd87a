#include "bamboostile/outcome/ledger.h"

#include "check.h"

using namespace bamboostile;
using namespace bamboostile::outcome;

namespace {

const EntryId kOne{ InstanceId{ "e1" }, Incarnation{ 1 } };
const EntryId kOther{ InstanceId{ "e2" }, Incarnation{ 1 } };

Begin
BeginOf(const EntryId& aHolder, std::uint64_t aTicket, std::uint32_t aAttempt)
{
  return { RequestId{ "r" }, aAttempt, "digest", aHolder, aTicket, false };
}

Resolve
ResolveOf(const EntryId& aHolder, std::uint64_t aTicket, State aState)
{
  return { RequestId{ "r" }, 1, aHolder, aTicket, aState, std::nullopt };
}

} // namespace

TEST_GROUP(Ledger)
{
  Index Position()
  {
    m_index = Next(m_index);
    return m_index;
  }

  outcome::Ledger m_ledger;
  Index m_index;
};

TEST(Ledger, Attempt_BegunAtTwoEntries_IsGrantedOnce)
{
  CHECK(m_ledger.Apply(Position(), BeginOf(kOne, 1, 1)).m_verdict ==
        Verdict::kGranted);
  CHECK(m_ledger.Apply(Position(), BeginOf(kOther, 1, 1)).m_verdict ==
        Verdict::kRecorded);
}

// The grant was committed and its answer lost; the entry asks again with the
// same ticket and must not be told that another holds its attempt.
TEST(Ledger, Attempt_SameCallRepeated_IsGrantedAgain)
{
  m_ledger.Apply(Position(), BeginOf(kOne, 1, 1));
  CHECK(m_ledger.Apply(Position(), BeginOf(kOne, 1, 1)).m_verdict ==
        Verdict::kGranted);
  CHECK(m_ledger.Apply(Position(), BeginOf(kOne, 2, 1)).m_verdict ==
        Verdict::kRecorded);
}

TEST(Ledger, SameId_OtherDigest_IsMismatch)
{
  m_ledger.Apply(Position(), BeginOf(kOne, 1, 1));
  Begin other = BeginOf(kOther, 1, 1);
  other.m_digest = "another";
  CHECK(m_ledger.Apply(Position(), other).m_verdict ==
        Verdict::kDigestMismatch);
}

// A second attempt may run only behind a recorded "not run"; while the first
// is open, done or unknown, it would be a second run.
TEST(Ledger, SecondAttempt_FirstNotOnRecordAsNotRun_IsNotAllowed)
{
  m_ledger.Apply(Position(), BeginOf(kOne, 1, 1));
  CHECK(m_ledger.Apply(Position(), BeginOf(kOther, 1, 2)).m_verdict ==
        Verdict::kAttemptNotAllowed);
  for (const State ended : { State::kDone, State::kUnknown }) {
    outcome::Ledger ledger;
    ledger.Apply(Index{ 1 }, BeginOf(kOne, 1, 1));
    ledger.Apply(Index{ 2 }, ResolveOf(kOne, 1, ended));
    CHECK(ledger.Apply(Index{ 3 }, BeginOf(kOther, 1, 2)).m_verdict ==
          Verdict::kAttemptNotAllowed);
  }
}

TEST(Ledger, SecondAttempt_BehindNotRun_IsGrantedAndFirstStaysNotRun)
{
  m_ledger.Apply(Position(), BeginOf(kOne, 1, 1));
  m_ledger.Apply(Position(), ResolveOf(kOne, 1, State::kNotRun));
  CHECK(m_ledger.Apply(Position(), BeginOf(kOther, 7, 2)).m_verdict ==
        Verdict::kGranted);
  CHECK(m_ledger.Apply(Position(), BeginOf(kOne, 9, 1)).m_verdict ==
        Verdict::kRecorded);
  CHECK(m_ledger.Apply(Position(), BeginOf(kOne, 9, 4)).m_verdict ==
        Verdict::kAttemptNotAllowed);
}

TEST(Ledger, Resolve_FromAnotherThanTheHolder_ChangesNothing)
{
  m_ledger.Apply(Position(), BeginOf(kOne, 1, 1));
  CHECK_FALSE(m_ledger.Apply(Position(), ResolveOf(kOther, 1, State::kNotRun)));
  CHECK_FALSE(m_ledger.Apply(Position(), ResolveOf(kOne, 2, State::kNotRun)));
  CHECK(m_ledger.Find(RequestId{ "r" })->m_state == State::kInProgress);
}

TEST(Ledger, Resolve_SecondStatement_FirstStands)
{
  m_ledger.Apply(Position(), BeginOf(kOne, 1, 1));
  m_ledger.Apply(Position(), ResolveOf(kOne, 1, State::kDone));
  CHECK_FALSE(m_ledger.Apply(Position(), ResolveOf(kOne, 1, State::kNotRun)));
  CHECK(m_ledger.Find(RequestId{ "r" })->m_state == State::kDone);
}

TEST(Ledger, Refusal_Recorded_NoLaterCopyRuns)
{
  Begin refusal = BeginOf(kOne, 1, 1);
  refusal.m_refused = true;
  m_ledger.Apply(Position(), refusal);
  const BeginReply late = m_ledger.Apply(Position(), BeginOf(kOther, 1, 1));
  CHECK(late.m_verdict == Verdict::kRecorded);
  CHECK(late.m_record.m_state == State::kNotRun);
}

TEST(Ledger, Expire_UpToPosition_ForgetsOnlyWhatIsOlder)
{
  m_ledger.Apply(Position(), BeginOf(kOne, 1, 1));
  Begin later = BeginOf(kOne, 2, 1);
  later.m_request = RequestId{ "s" };
  m_ledger.Apply(Position(), later);
  m_ledger.Apply(Position(), Expire{ Index{ 1 } });
  CHECK(m_ledger.Find(RequestId{ "r" }) == nullptr);
  CHECK(m_ledger.Find(RequestId{ "s" }) != nullptr);
}
