@0xb1a7c3d58e204f96;
# The operators' interface: every call that the command line makes and that any
# program may make. The same structs are kept as JSON files for review.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("bamboostile::schema");
using Jobs = import "jobs.capnp";

enum WaveTarget {
  running @0;
  paused @1;
  cancelled @2;
}

struct Service {
  id @0 :Text;
  maxUnavailablePercent @1 :UInt32 = 20;
  # Maximum percentage of instances that may be unavailable at the same time,
  # for any reason.
  defaultTimeoutMs @2 :UInt32 = 5000;
  retryBudgetPercent @3 :UInt32 = 10;
  # Maximum retries, in percent of first attempts.
  queueLimit @4 :UInt32 = 256;
  # Maximum number of requests that may wait at one entry.
  postIsIdempotent @5 :Bool = false;
  # Whether POST and PATCH requests may safely run twice.
  surviveRack @6 :Bool = false;
  # Whether a wave keeps enough free capacity for the largest rack to fail as
  # well.
}

struct Config {
  maxRequests @0 :UInt32 = 4096;
  ejectionCeilingPercent @1 :UInt32 = 30;
  panicPercent @2 :UInt32 = 50;
  sameZoneFirst @3 :Bool = true;
  outcomeKeepSeconds @4 :UInt32 = 900;
  keptAnswerBytes @5 :UInt32 = 65536;
  note @6 :Text;
}

struct OperatorCall {
  operationId @0 :Text;
  # Chosen by the sender. A repeated call with the same id gets the first reply.
  operator @1 :Text;
  expectedRevision @2 :UInt64;
  # The object's revision that the operator last read; 0 for a new object.
  union {
    putPool :group {
      pool @3 :Text;
      service @4 :Text;
      home @5 :Text;
    }
    removePool @6 :Text;
    drainPool :group {
      pool @7 :Text;
      draining @8 :Bool = true;
    }
    putService @9 :Service;
    removeService @10 :Text;
    moveInstance :group {
      instance @11 :Text;
      pool @12 :Text;
    }
    cordonInstance :group {
      instance @13 :Text;
      cordoned @14 :Bool = true;
    }
    removeInstance @15 :Text;
    setConfig @16 :Config;
    createWave :group {
      wave @17 :Text;
      pool @18 :Text;
    }
    setWaveState :group {
      wave @19 :Text;
      state @20 :WaveTarget;
    }
  }
}

struct CallList {
  calls @0 :List(OperatorCall);
}

enum CallOutcome {
  done @0;
  conflict @1;
  notFound @2;
  invalid @3;
  inUse @4;
  notLeader @5;
  # Nothing was done; leaderAddress names the leader if it is known.
  unknown @6;
  # The call may still take effect; repeat it with the same operation id.
}

struct CallReply {
  outcome @0 :CallOutcome;
  revision @1 :UInt64;
  message @2 :Text;
  winner @3 :Text;
  winnerOperator @4 :Text;
  leaderAddress @5 :Text;
  inForce @6 :Bool;
  # Whether every entry that may still serve requests has applied the change.
}

enum ControlChange {
  init @0;
  # Makes a replica with an empty data folder the first member of a new group.
  add @1;
  # Admits the replica at an address, possibly as replacement of a lost one.
  remove @2;
}

struct QueueCall {
  # A caller's call to a queue, as the entry received it.
  kind @0 :Kind;
  host @1 :Text;
  path @2 :Text;
  # The queue's path prefix, followed by the job's id if the call names one.
  spec @3 :Jobs.JobSpec;
  # Set for `submit` only.
  keyDigest @4 :Text;
  # SHA-256 of the caller's API key, hexadecimal; empty without a well-formed
  # key.

  enum Kind {
    submit @0;
    look @1;
    cancel @2;
  }
}

enum QueueOutcome {
  ok @0;
  notLeader @1;
  noRoutes @2;
  # No route table has been applied yet.
  noQueue @3;
  noJob @4;
  refused @5;
  # Not accepted; this call will not be accepted later either.
  undecided @6;
  # Proposed, but not known to be committed; repeating the call returns the
  # outcome.
  badJob @7;
  unauthorized @8;
  # The call carries no key of a workspace, and its queue is not public.
}

struct QueueReply {
  outcome @0 :QueueOutcome;
  leaderAddress @1 :Text;
  state @2 :State;
  pending @3 :UInt64;
  isQueue @4 :Bool;
  # Whether the path matches a queue: `pending` is set instead of `state`.
  retryAfterMs @5 :UInt32;
  detail @6 :Text;

  enum State {
    queued @0;
    running @1;
    completed @2;
    failed @3;
    cancelled @4;
  }
}

struct QueueRow {
  # A queue of jobs; callers reach it at /v1/queues/{name}.
  name @0 :Text;
  service @1 :Text;
  timeoutMs @2 :UInt32 = 3000;
  objectiveMs @3 :UInt32 = 3000;
  # A job should be completed within the duration of its longest chain of
  # steps, times `stretch`, plus this.
  stretch @4 :Float64 = 1;
  priority @5 :UInt32;
  # 0 is the highest priority.
  maxAttempts @6 :UInt32 = 3;
  public @7 :Bool;
  # Callers need no key.
}

struct Workspace {
  # Callers that present one of its keys act on its behalf.
  name @0 :Text;
  apiKeys @1 :List(Text);
  # Only in files of operators; the command line sends their digests.
  keyDigests @2 :List(Text);
  # SHA-256 of the keys, hexadecimal.
  weight @3 :Float64 = 1;
  # Share of the capacity when all is in use, and the jobs per second that this
  # share covers.
  cap @4 :Resources;
  # Maximum use over all workers; 0 for no limit.

  struct Resources {
    cpuMillis @0 :Int64;
    memoryMb @1 :Int64;
    accelerators @2 :Int64;
  }
}

struct QueueTable {
  # All queues and workspaces; the table with the highest version applies.
  version @0 :UInt64;
  queues @1 :List(QueueRow);
  workspaces @2 :List(Workspace);
  # If the list is absent, no call needs a key. If it is empty, only public
  # queues can be called.
}

interface Operators {
  submit @0 (call :OperatorCall) -> (reply :CallReply);
  status @1 () -> (json :Text, reply :CallReply);
  # Returns the state as one JSON document, only from a leader confirmed by a
  # quorum.
  control @2 (change :ControlChange, instance :Text, address :Text)
      -> (reply :CallReply);
  queueCall @3 (call :QueueCall) -> (reply :QueueReply);
  replaceQueues @4 (table :QueueTable) -> (reply :CallReply);
  queues @5 () -> (table :QueueTable, reply :CallReply);
  workspaces @6 () -> (json :Text, reply :CallReply);
  # Share, cap and use of each workspace, as the leader knows them.
  pools @7 () -> (json :Text, reply :CallReply);
  # Size, load and plan of each pool of instances.
  admission @8 () -> (json :Text, reply :CallReply);
  # Jobs accepted and refused by queue, and the last estimates.
}
