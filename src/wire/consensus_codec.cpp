#include "bamboostile/wire/consensus_codec.h"

#include "bamboostile/units/visit.h"
#include "text.h"

#include <capnp/message.h>
#include <capnp/serialize.h>

#include <kj/exception.h>

namespace bamboostile::wire {

namespace {

using consensus::AppendReply;
using consensus::AppendRequest;
using consensus::CommandBytes;
using consensus::Departure;
using consensus::EntryFragment;
using consensus::FragmentProgress;
using consensus::Handover;
using consensus::LogEntry;
using consensus::Member;
using consensus::Membership;
using consensus::Noop;
using consensus::Snapshot;
using consensus::SnapshotChunk;
using consensus::SnapshotProgress;
using consensus::VoteReply;
using consensus::VoteRequest;

/** Read limit; a snapshot of the whole state is sent as one message. */
constexpr std::uint64_t kMaxWords = 64ULL * 1024 * 1024;

TimePoint
ToTime(std::int64_t aMicros)
{
  return TimePoint{ Duration{ aMicros } };
}

std::int64_t
FromTime(TimePoint aTime)
{
  return aTime.time_since_epoch().count();
}

void
Write(const Membership& aFrom, capnp::List<schema::Member>::Builder aTo)
{
  for (std::size_t i = 0; i < aFrom.m_members.size(); ++i) {
    const Member& member = aFrom.m_members[i];
    wire::Write(member.m_id, aTo[i].initId());
    aTo[i].setAddress(ToText(member.m_address));
    aTo[i].setVoter(member.m_voter);
  }
}

Membership
ReadMembership(capnp::List<schema::Member>::Reader aFrom)
{
  Membership membership;
  for (auto member : aFrom) {
    membership.m_members.push_back({ wire::Read(member.getId()),
                                     ToString(member.getAddress()),
                                     member.getVoter() });
  }
  return membership;
}

void
Write(const LogEntry& aFrom, schema::LogEntry::Builder aTo)
{
  aTo.setIndex(aFrom.m_index.Get());
  aTo.setTerm(aFrom.m_term.Get());
  std::visit(Overloaded{
               [&](const Noop&) { aTo.setNoop(); },
               [&](const CommandBytes& aCommand) {
                 aTo.setCommand(ToData(aCommand.m_bytes));
               },
               [&](const Membership& aMembership) {
                 Write(aMembership,
                       aTo.initMembership(aMembership.m_members.size()));
               },
             },
             aFrom.m_payload);
}

LogEntry
ReadEntry(schema::LogEntry::Reader aFrom)
{
  LogEntry entry{ Index{ aFrom.getIndex() }, Term{ aFrom.getTerm() }, Noop{} };
  if (aFrom.isCommand()) {
    entry.m_payload = CommandBytes{ ToString(aFrom.getCommand()) };
  } else if (aFrom.isMembership()) {
    entry.m_payload = ReadMembership(aFrom.getMembership());
  }
  return entry;
}

template<typename Builder>
void
WriteEntries(const std::vector<LogEntry>& aEntries, Builder aTo)
{
  for (std::size_t i = 0; i < aEntries.size(); ++i) {
    Write(aEntries[i], aTo[i]);
  }
}

std::vector<LogEntry>
ReadEntries(capnp::List<schema::LogEntry>::Reader aFrom)
{
  std::vector<LogEntry> entries;
  entries.reserve(aFrom.size());
  for (auto entry : aFrom) {
    entries.push_back(ReadEntry(entry));
  }
  return entries;
}

void
Write(const Snapshot& aFrom, schema::Snapshot::Builder aTo)
{
  aTo.setIndex(aFrom.m_index.Get());
  aTo.setTerm(aFrom.m_term.Get());
  Write(aFrom.m_membership,
        aTo.initMembership(aFrom.m_membership.m_members.size()));
  aTo.setState(ToData(aFrom.m_state));
}

Snapshot
ReadSnapshot(schema::Snapshot::Reader aFrom)
{
  return { Index{ aFrom.getIndex() },
           Term{ aFrom.getTerm() },
           ReadMembership(aFrom.getMembership()),
           ToString(aFrom.getState()) };
}

void
WriteBody(const VoteRequest& aBody, schema::Message::Builder aTo)
{
  auto to = aTo.initVoteRequest();
  to.setPreVote(aBody.m_preVote);
  to.setLastIndex(aBody.m_lastIndex.Get());
  to.setLastTerm(aBody.m_lastTerm.Get());
  to.setIsHandover(aBody.m_isHandover);
}

void
WriteBody(const VoteReply& aBody, schema::Message::Builder aTo)
{
  auto to = aTo.initVoteReply();
  to.setReplyPreVote(aBody.m_preVote);
  to.setGranted(aBody.m_granted);
  to.setKnowsNoLeader(aBody.m_knowsNoLeader);
}

void
WriteBody(const AppendRequest& aBody, schema::Message::Builder aTo)
{
  auto to = aTo.initAppend();
  to.setPreviousIndex(aBody.m_previousIndex.Get());
  to.setPreviousTerm(aBody.m_previousTerm.Get());
  WriteEntries(aBody.m_entries, to.initEntries(aBody.m_entries.size()));
  to.setCommit(aBody.m_commit.Get());
  to.setSentAt(FromTime(aBody.m_sentAt));
  if (aBody.m_fragment) {
    auto fragment = to.initFragment();
    fragment.setTerm(aBody.m_fragment->m_term.Get());
    fragment.setSize(aBody.m_fragment->m_size);
    fragment.setOffset(aBody.m_fragment->m_offset);
    fragment.setBytes(ToData(aBody.m_fragment->m_bytes));
  }
}

void
WriteBody(const AppendReply& aBody, schema::Message::Builder aTo)
{
  auto to = aTo.initAppendReply();
  to.setAccepted(aBody.m_accepted);
  to.setMatch(aBody.m_match.Get());
  to.setReplySentAt(FromTime(aBody.m_sentAt));
  to.setAcceptsFragments(aBody.m_acceptsFragments);
  to.setStateVersion(aBody.m_stateVersion);
  if (aBody.m_fragment) {
    to.setFragmentIndex(aBody.m_fragment->m_index.Get());
    to.setFragmentReceived(aBody.m_fragment->m_received);
  }
}

void
WriteBody(const SnapshotChunk& aBody, schema::Message::Builder aTo)
{
  auto to = aTo.initSnapshotChunk();
  const Snapshot part{
    aBody.m_index, aBody.m_term, aBody.m_membership, aBody.m_bytes
  };
  Write(part, to.initPart());
  to.setSize(aBody.m_size);
  to.setOffset(aBody.m_offset);
  to.setChunkSentAt(FromTime(aBody.m_sentAt));
}

void
WriteBody(const SnapshotProgress& aBody, schema::Message::Builder aTo)
{
  auto to = aTo.initSnapshotProgress();
  to.setSnapshotIndex(aBody.m_index.Get());
  to.setReceived(aBody.m_received);
  to.setProgressSentAt(FromTime(aBody.m_sentAt));
}

void
WriteBody(const Handover&, schema::Message::Builder aTo)
{
  aTo.setHandover();
}

void
WriteBody(const Departure&, schema::Message::Builder aTo)
{
  aTo.setDeparture();
}

SnapshotChunk
ToChunk(Snapshot aPart,
        std::uint64_t aSize,
        std::uint64_t aOffset,
        TimePoint aSentAt)
{
  return { aPart.m_index, aPart.m_term, std::move(aPart.m_membership),
           aSize,         aOffset,      std::move(aPart.m_state),
           aSentAt };
}

AppendRequest
ReadAppend(schema::Message::Append::Reader aFrom)
{
  AppendRequest append{ Index{ aFrom.getPreviousIndex() },
                        Term{ aFrom.getPreviousTerm() },
                        ReadEntries(aFrom.getEntries()),
                        Index{ aFrom.getCommit() },
                        ToTime(aFrom.getSentAt()) };
  if (aFrom.hasFragment()) {
    auto fragment = aFrom.getFragment();
    append.m_fragment = EntryFragment{ Term{ fragment.getTerm() },
                                       fragment.getSize(),
                                       fragment.getOffset(),
                                       ToString(fragment.getBytes()) };
  }
  return append;
}

AppendReply
ReadAppendReply(schema::Message::AppendReply::Reader aFrom)
{
  AppendReply reply{ aFrom.getAccepted(),
                     Index{ aFrom.getMatch() },
                     ToTime(aFrom.getReplySentAt()) };
  reply.m_acceptsFragments = aFrom.getAcceptsFragments();
  reply.m_stateVersion = aFrom.getStateVersion();
  if (const Index index{ aFrom.getFragmentIndex() }; index != Index{}) {
    reply.m_fragment = FragmentProgress{ index, aFrom.getFragmentReceived() };
  }
  return reply;
}

consensus::MessageBody
ReadBody(schema::Message::Reader aFrom)
{
  switch (aFrom.which()) {
    case schema::Message::VOTE_REQUEST: {
      auto from = aFrom.getVoteRequest();
      return VoteRequest{ from.getPreVote(),
                          Index{ from.getLastIndex() },
                          Term{ from.getLastTerm() },
                          from.getIsHandover() };
    }
    case schema::Message::HANDOVER:
      return Handover{};
    case schema::Message::DEPARTURE:
      return Departure{};
    case schema::Message::VOTE_REPLY: {
      auto from = aFrom.getVoteReply();
      return VoteReply{ from.getReplyPreVote(),
                        from.getGranted(),
                        from.getKnowsNoLeader() };
    }
    case schema::Message::APPEND:
      return ReadAppend(aFrom.getAppend());
    case schema::Message::APPEND_REPLY:
      return ReadAppendReply(aFrom.getAppendReply());
    case schema::Message::INSTALL_SNAPSHOT: {
      auto from = aFrom.getInstallSnapshot();
      Snapshot whole = ReadSnapshot(from.getSnapshot());
      const std::uint64_t size = whole.m_state.size();
      return ToChunk(
        std::move(whole), size, 0, ToTime(from.getSnapshotSentAt()));
    }
    case schema::Message::SNAPSHOT_CHUNK: {
      auto from = aFrom.getSnapshotChunk();
      return ToChunk(ReadSnapshot(from.getPart()),
                     from.getSize(),
                     from.getOffset(),
                     ToTime(from.getChunkSentAt()));
    }
    case schema::Message::SNAPSHOT_PROGRESS: {
      auto from = aFrom.getSnapshotProgress();
      return SnapshotProgress{ Index{ from.getSnapshotIndex() },
                               from.getReceived(),
                               ToTime(from.getProgressSentAt()) };
    }
  }
  return VoteReply{};
}

} // namespace

void
Write(const consensus::ReplicaId& aId, schema::ReplicaId::Builder aTo)
{
  aTo.setInstance(ToText(aId.m_instance.Get()));
  aTo.setIncarnation(aId.m_incarnation.Get());
}

consensus::ReplicaId
Read(schema::ReplicaId::Reader aFrom)
{
  return { InstanceId{ ToString(aFrom.getInstance()) },
           Incarnation{ aFrom.getIncarnation() } };
}

void
Write(const consensus::Message& aMessage, schema::Message::Builder aTo)
{
  Write(aMessage.m_from, aTo.initFrom());
  Write(aMessage.m_to, aTo.initTo());
  aTo.setTerm(aMessage.m_term.Get());
  std::visit([&](const auto& aBody) { WriteBody(aBody, aTo); },
             aMessage.m_body);
}

consensus::Message
Read(schema::Message::Reader aFrom)
{
  return { Read(aFrom.getFrom()),
           Read(aFrom.getTo()),
           Term{ aFrom.getTerm() },
           ReadBody(aFrom) };
}

std::string
EncodeFrame(const consensus::Persist& aPersist)
{
  capnp::MallocMessageBuilder message;
  auto frame = message.initRoot<schema::Frame>();
  if (aPersist.m_hardState) {
    frame.setHasHardState(true);
    auto to = frame.initHardState();
    to.setTerm(aPersist.m_hardState->m_term.Get());
    if (aPersist.m_hardState->m_votedFor) {
      to.setHasVote(true);
      Write(*aPersist.m_hardState->m_votedFor, to.initVotedFor());
    }
  }
  if (aPersist.m_snapshot) {
    frame.setHasSnapshot(true);
    Write(*aPersist.m_snapshot, frame.initSnapshot());
  }
  WriteEntries(aPersist.m_entries,
               frame.initEntries(aPersist.m_entries.size()));
  const auto words = capnp::messageToFlatArray(message);
  const auto bytes = words.asBytes();
  return { reinterpret_cast<const char*>(bytes.begin()), bytes.size() };
}

std::optional<consensus::Persist>
DecodeFrame(std::string_view aBytes)
{
  // Cap'n Proto reads 64-bit words in place, so the bytes are copied to an
  // aligned buffer.
  const std::size_t count = aBytes.size() / sizeof(capnp::word);
  auto words = kj::heapArray<capnp::word>(count);
  std::copy_n(aBytes.data(),
              count * sizeof(capnp::word),
              reinterpret_cast<char*>(words.begin()));
  std::optional<consensus::Persist> persist;
  const auto exception = kj::runCatchingExceptions([&]() {
    capnp::ReaderOptions options;
    options.traversalLimitInWords = kMaxWords;
    capnp::FlatArrayMessageReader reader(words, options);
    const auto frame = reader.getRoot<schema::Frame>();
    consensus::Persist decoded;
    if (frame.getHasHardState()) {
      const auto from = frame.getHardState();
      consensus::HardState state{ Term{ from.getTerm() }, std::nullopt };
      if (from.getHasVote()) {
        state.m_votedFor = Read(from.getVotedFor());
      }
      decoded.m_hardState = state;
    }
    if (frame.getHasSnapshot()) {
      decoded.m_snapshot = ReadSnapshot(frame.getSnapshot());
    }
    decoded.m_entries = ReadEntries(frame.getEntries());
    persist = std::move(decoded);
  });
  return exception == nullptr ? persist : std::nullopt;
}

} // namespace bamboostile::wire
