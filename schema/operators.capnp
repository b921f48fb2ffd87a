@0xb1a7c3d58e204f96;
# The contract with operators: every call the command line makes, and any
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
  # Instances that may be out at once, whatever the reason.
  defaultTimeoutMs @2 :UInt32 = 5000;
  retryBudgetPercent @3 :UInt32 = 10;
  # Retries allowed in percent of first attempts.
  queueLimit @4 :UInt32 = 256;
  # Requests that may wait at one entry.
  postIsIdempotent @5 :Bool = false;
  # POST and PATCH may run twice without harm.
  surviveRack @6 :Bool = false;
  # A wave leaves room for the largest rack to fail as well.
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
  # Chosen by the sender. Sent again, the same id gets the first answer.
  operator @1 :Text;
  expectedRevision @2 :UInt64;
  # The object's revision as the operator saw it; 0 for a new object.
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
  # Nothing was done; leaderAddress says where to go, if it is known.
  unknown @6;
  # The call may take effect; send it again with the same operation id.
}

struct CallReply {
  outcome @0 :CallOutcome;
  revision @1 :UInt64;
  message @2 :Text;
  winner @3 :Text;
  winnerOperator @4 :Text;
  leaderAddress @5 :Text;
  inForce @6 :Bool;
  # Every entry that may still serve has the change.
}

enum ControlChange {
  init @0;
  # Makes a replica with an empty data folder the first of a new group.
  add @1;
  # Admits the replica at an address, also in place of a lost one.
  remove @2;
}

struct QueueCall {
  # A call of a caller of a queue, as the entry took it.
  kind @0 :Kind;
  host @1 :Text;
  path @2 :Text;
  # Prefix of the queue and id of the job, or the prefix alone.
  spec @3 :Jobs.JobSpec;
  # Of `submit`.

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
  # No table of routes is in force yet.
  noQueue @3;
  noJob @4;
  refused @5;
  # Not accepted, and never will be by this call.
  undecided @6;
  # Proposed, but its fate is not known; the same call again finds out.
  badJob @7;
}

struct QueueReply {
  outcome @0 :QueueOutcome;
  leaderAddress @1 :Text;
  state @2 :State;
  pending @3 :UInt64;
  isQueue @4 :Bool;
  # The path named a queue: `pending` is set instead of `state`.
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
  # A job should be completed after its longest chain of work, times
  # `stretch`, and this.
  stretch @4 :Float64 = 1;
  priority @5 :UInt32;
  # 0 comes first.
  maxAttempts @6 :UInt32 = 3;
}

struct QueueTable {
  # All queues at once; the highest version is in force.
  version @0 :UInt64;
  queues @1 :List(QueueRow);
}

interface Operators {
  submit @0 (call :OperatorCall) -> (reply :CallReply);
  status @1 () -> (json :Text, reply :CallReply);
  # The state as one JSON document; only from a leader confirmed by a quorum.
  control @2 (change :ControlChange, instance :Text, address :Text)
      -> (reply :CallReply);
  queueCall @3 (call :QueueCall) -> (reply :QueueReply);
  replaceQueues @4 (table :QueueTable) -> (reply :CallReply);
  queues @5 () -> (table :QueueTable, reply :CallReply);
}
