#include "bamboostile/outcome/ledger.h"

#include "check.h"

using namespace bamboostile;
using namespace bamboostile::outcome;

namespace {

const EntryId kEntry{ InstanceId{ "e1" }, Incarnation{ 1 } };
const EntryId kOtherEntry{ InstanceId{ "e2" }, Incarnation{ 1 } };

Begin
MakeBegin(const EntryId& aHolder, std::uint64_t aTicket, std::uint32_t aAttempt)
{
  return { RequestId{ "r" }, aAttempt, "digest", aHolder, aTicket, false };
}

Resolve
MakeResolve(const EntryId& aHolder, std::uint64_t aTicket, State aState)
{
  return { RequestId{ "r" }, 1, aHolder, aTicket, aState, std::nullopt };
}

} // namespace

TEST_GROUP(Ledger)
{
  Index NextPosition()
  {
    m_index = Next(m_index);
    return m_index;
  }

  outcome::Ledger m_ledger;
  Index m_index;
};

TEST(Ledger, Attempt_BegunAtTwoEntries_IsGrantedOnce)
{
  CHECK(m_ledger.Apply(NextPosition(), MakeBegin(kEntry, 1, 1)).m_verdict ==
        Verdict::kGranted);
  CHECK(
    m_ledger.Apply(NextPosition(), MakeBegin(kOtherEntry, 1, 1)).m_verdict ==
    Verdict::kRecorded);
}

// The grant is committed but its reply is lost. The entry repeats the call with
// the same ticket and must get the grant, not a refusal because of its own
// earlier call.
TEST(Ledger, Attempt_SameCallRepeated_IsGrantedAgain)
{
  m_ledger.Apply(NextPosition(), MakeBegin(kEntry, 1, 1));
  CHECK(m_ledger.Apply(NextPosition(), MakeBegin(kEntry, 1, 1)).m_verdict ==
        Verdict::kGranted);
  CHECK(m_ledger.Apply(NextPosition(), MakeBegin(kEntry, 2, 1)).m_verdict ==
        Verdict::kRecorded);
}

TEST(Ledger, SameId_OtherDigest_IsMismatch)
{
  m_ledger.Apply(NextPosition(), MakeBegin(kEntry, 1, 1));
  Begin other = MakeBegin(kOtherEntry, 1, 1);
  other.m_digest = "another";
  CHECK(m_ledger.Apply(NextPosition(), other).m_verdict ==
        Verdict::kDigestMismatch);
}

// A second attempt may run only after the first is recorded as not run. If the
// first is in progress, done or unknown, the request could run twice.
TEST(Ledger, SecondAttempt_FirstNotOnRecordAsNotRun_IsNotAllowed)
{
  m_ledger.Apply(NextPosition(), MakeBegin(kEntry, 1, 1));
  CHECK(
    m_ledger.Apply(NextPosition(), MakeBegin(kOtherEntry, 1, 2)).m_verdict ==
    Verdict::kAttemptNotAllowed);
  for (const State ended : { State::kDone, State::kUnknown }) {
    outcome::Ledger ledger;
    ledger.Apply(Index{ 1 }, MakeBegin(kEntry, 1, 1));
    ledger.Apply(Index{ 2 }, MakeResolve(kEntry, 1, ended));
    CHECK(ledger.Apply(Index{ 3 }, MakeBegin(kOtherEntry, 1, 2)).m_verdict ==
          Verdict::kAttemptNotAllowed);
  }
}

TEST(Ledger, SecondAttempt_AfterNotRun_IsGrantedAndFirstStaysNotRun)
{
  m_ledger.Apply(NextPosition(), MakeBegin(kEntry, 1, 1));
  m_ledger.Apply(NextPosition(), MakeResolve(kEntry, 1, State::kNotRun));
  CHECK(
    m_ledger.Apply(NextPosition(), MakeBegin(kOtherEntry, 7, 2)).m_verdict ==
    Verdict::kGranted);
  CHECK(m_ledger.Apply(NextPosition(), MakeBegin(kEntry, 9, 1)).m_verdict ==
        Verdict::kRecorded);
  CHECK(m_ledger.Apply(NextPosition(), MakeBegin(kEntry, 9, 4)).m_verdict ==
        Verdict::kAttemptNotAllowed);
}

TEST(Ledger, Resolve_FromAnotherThanTheHolder_ChangesNothing)
{
  m_ledger.Apply(NextPosition(), MakeBegin(kEntry, 1, 1));
  CHECK_FALSE(m_ledger.Apply(NextPosition(),
                             MakeResolve(kOtherEntry, 1, State::kNotRun)));
  CHECK_FALSE(
    m_ledger.Apply(NextPosition(), MakeResolve(kEntry, 2, State::kNotRun)));
  CHECK(m_ledger.Find(RequestId{ "r" })->m_state == State::kInProgress);
}

TEST(Ledger, Resolve_SecondOutcome_FirstIsKept)
{
  m_ledger.Apply(NextPosition(), MakeBegin(kEntry, 1, 1));
  m_ledger.Apply(NextPosition(), MakeResolve(kEntry, 1, State::kDone));
  CHECK_FALSE(
    m_ledger.Apply(NextPosition(), MakeResolve(kEntry, 1, State::kNotRun)));
  CHECK(m_ledger.Find(RequestId{ "r" })->m_state == State::kDone);
}

TEST(Ledger, Refusal_Recorded_NoLaterCopyRuns)
{
  Begin refusal = MakeBegin(kEntry, 1, 1);
  refusal.m_refused = true;
  m_ledger.Apply(NextPosition(), refusal);
  const BeginReply late =
    m_ledger.Apply(NextPosition(), MakeBegin(kOtherEntry, 1, 1));
  CHECK(late.m_verdict == Verdict::kRecorded);
  CHECK(late.m_record.m_state == State::kNotRun);
}

TEST(Ledger, Expire_UpToPosition_ForgetsOnlyWhatIsOlder)
{
  m_ledger.Apply(NextPosition(), MakeBegin(kEntry, 1, 1));
  Begin later = MakeBegin(kEntry, 2, 1);
  later.m_request = RequestId{ "s" };
  m_ledger.Apply(NextPosition(), later);
  m_ledger.Apply(NextPosition(), Expire{ Index{ 1 } });
  CHECK(m_ledger.Find(RequestId{ "r" }) == nullptr);
  CHECK(m_ledger.Find(RequestId{ "s" }) != nullptr);
}
