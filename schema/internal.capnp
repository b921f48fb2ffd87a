@0xd4f20c7be19a3865;
# Messages between the system's own processes, and the frames stored in the data
# folder.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("bamboostile::schema");
using Ops = import "operators.capnp";

struct ReplicaId {
  instance @0 :Text;
  incarnation @1 :UInt64;
}

struct Member {
  id @0 :ReplicaId;
  address @1 :Text;
  voter @2 :Bool;
}

struct LogEntry {
  index @0 :UInt64;
  term @1 :UInt64;
  union {
    noop @2 :Void;
    command @3 :Data;
    membership @4 :List(Member);
  }
}

struct Snapshot {
  index @0 :UInt64;
  term @1 :UInt64;
  membership @2 :List(Member);
  state @3 :Data;
}

struct EntryFragment {
  # Part of a log entry whose command is too large for one message.
  term @0 :UInt64;
  size @1 :UInt64;
  # Size of the whole command.
  offset @2 :UInt64;
  bytes @3 :Data;
}

struct HardState {
  term @0 :UInt64;
  hasVote @1 :Bool;
  votedFor @2 :ReplicaId;
}

struct Frame {
  # One synced write to the data folder.
  hasHardState @0 :Bool;
  hardState @1 :HardState;
  hasSnapshot @2 :Bool;
  snapshot @3 :Snapshot;
  entries @4 :List(LogEntry);
}

struct Message {
  from @0 :ReplicaId;
  to @1 :ReplicaId;
  term @2 :UInt64;
  union {
    voteRequest :group {
      preVote @3 :Bool;
      lastIndex @4 :UInt64;
      lastTerm @5 :UInt64;
      isHandover @30 :Bool;
      # Replicas of earlier versions refuse the vote while they hear a leader.
    }
    voteReply :group {
      replyPreVote @6 :Bool;
      granted @7 :Bool;
      knowsNoLeader @18 :Bool;
    }
    append :group {
      previousIndex @8 :UInt64;
      previousTerm @9 :UInt64;
      entries @10 :List(LogEntry);
      commit @11 :UInt64;
      sentAt @12 :Int64;
      fragment @26 :EntryFragment;
      # Part of the entry after the previous one; entries is then empty. A
      # replica of an earlier version reads a heartbeat.
    }
    appendReply :group {
      accepted @13 :Bool;
      match @14 :UInt64;
      replySentAt @15 :Int64;
      acceptsFragments @27 :Bool;
      # Not set by replicas of earlier versions, which are sent entries whole.
      fragmentIndex @28 :UInt64;
      # Position of the entry of which a fragment was sent; 0 if none was.
      fragmentReceived @29 :UInt64;
      stateVersion @32 :UInt32;
      # Highest version of the replicated state that the sender applies; 0 for
      # replicas of earlier versions.
    }
    installSnapshot :group {
      # No longer sent; replicas of earlier versions send a snapshot as a whole.
      snapshot @16 :Snapshot;
      snapshotSentAt @17 :Int64;
    }
    snapshotChunk :group {
      part @19 :Snapshot;
      # Its state is the part that begins at the offset.
      size @20 :UInt64;
      offset @21 :UInt64;
      chunkSentAt @22 :Int64;
    }
    snapshotProgress :group {
      snapshotIndex @23 :UInt64;
      received @24 :UInt64;
      progressSentAt @25 :Int64;
    }
    handover @31 :Void;
    # Replicas of earlier versions ignore it.
    departure @33 :Void;
    # The same.
  }
}

struct EntryId {
  instance @0 :Text;
  incarnation @1 :UInt64;
}

struct Announcement {
  id @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  service @3 :Text;
  pool @4 :Text;
  zone @5 :Text;
  rack @6 :Text;
  address @7 :Text;
  slots @8 :UInt32;
  connections @9 :UInt32;
  cores @10 :UInt32;
  memoryMb @11 :UInt32;
  accelerators @12 :UInt32;
  leaving @13 :Bool;
}

struct InFlight {
  # Number of an entry's requests in flight at an instance that is leaving
  # service.
  id @0 :Text;
  count @1 :UInt32;
}

struct SyncRequest {
  entry @0 :EntryId;
  zone @1 :Text;
  http @2 :Text;
  revision @3 :UInt64;
  # Revision of the view that this entry uses.
  renewals @4 :List(UInt64);
  # One number for each (instance, incarnation) that reported; see RenewalKey.
  inFlight @5 :List(InFlight);
  leaving @6 :Bool;
}

enum SyncOutcome {
  ok @0;
  notLeader @1;
}

struct SyncReply {
  outcome @0 :SyncOutcome;
  leaderAddress @1 :Text;
  leaseMs @2 :UInt32;
  # Lease duration, measured by the entry from when it sent the request.
  view @3 :Data;
  controlAddresses @4 :List(Text);
  term @5 :UInt64;
  revision @6 :UInt64;
  liveEntries @7 :UInt32;
  position @8 :UInt32;
  # Rank of this entry among the live ones; decides the slots it owns.
}

struct Begin {
  request @0 :Text;
  attempt @1 :UInt32;
  digest @2 :Data;
  holder @3 :EntryId;
  ticket @4 :UInt64;
  refused @5 :Bool;
}

struct Resolve {
  request @0 :Text;
  attempt @1 :UInt32;
  holder @2 :EntryId;
  ticket @3 :UInt64;
  state @4 :UInt8;
  answer @5 :Data;
}

enum LedgerOutcome {
  granted @0;
  recorded @1;
  digestMismatch @2;
  attemptNotAllowed @3;
  notFound @4;
  notLeader @5;
  undecided @6;
}

struct LedgerReply {
  outcome @0 :LedgerOutcome;
  record @1 :Data;
  holderGone @2 :Bool;
  # The entry that holds the attempt is no longer known to be alive.
  leaderAddress @3 :Text;
}

interface Control {
  deliver @0 (message :Message, replyTo :Text);
  # replyTo is the sender's address: a new or lagging replica may not know the
  # member that sends to it.
  identify @1 () -> (id :ReplicaId, empty :Bool);
  sync @2 (request :SyncRequest) -> (reply :SyncReply);
  begin @3 (begin :Begin) -> (reply :LedgerReply);
  resolve @4 (resolve :Resolve) -> (reply :LedgerReply);
  lookup @5 (request :Text) -> (reply :LedgerReply);
  operators @6 () -> (operators :Ops.Operators);
  announce @7 (announcements :List(Announcement))
      -> (outcome :SyncOutcome, leaderAddress :Text);
  # Replies once the announcements are committed.
  queueCall @8 (call :Ops.QueueCall, knownMembers :UInt64)
      -> (reply :Ops.QueueReply, members :List(Text), membersRevision :UInt64);
  # The leader adds the addresses of the group's members, unless the caller knows
  # those of this revision.
  join @9 (id :ReplicaId, address :Text)
      -> (outcome :SyncOutcome, leaderAddress :Text, hasNoLog :Bool);
  # Requests admission to the group, as a learner at first.
  # hasNoLog: the receiving process only names the leader and never joins.
}
