@0xb1d64c0a8c5f27e3;
# Jobs: what callers submit, the commands of the replicated log, and the
# snapshot of all jobs.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("bamboostile::schema");

struct StepSpec {
  count @0 :UInt32;
  cpuMillis @1 :UInt32;
  memoryMb @2 :UInt32;
  accelerators @3 :UInt32;
  estimateMs @4 :Int64;
  dependsOn @5 :List(UInt32);
  savesProgress @6 :Bool;
  gang @7 :Bool;
  sameRack @8 :Bool;
  speculative @9 :Bool;
  longRunning @10 :Bool;
  fills @11 :Bool;
  requiredLabel @12 :Text;
  preferredRack @13 :Text;
  maxPerWorker @14 :UInt32;
  image @15 :Text;
  latencyTargetMs @16 :Int64;
  hasDisruptionBudget @17 :Bool;
  disruptionBudget @18 :UInt32;
}

struct JobSpec {
  payload @0 :Text;
  steps @1 :List(StepSpec);
  repeatCount @2 :UInt32;
  startAtMs @3 :Int64;
  intervalMs @4 :Int64;
}

struct TaskRef {
  job @0 :Text;
  occurrence @1 :UInt32;
  step @2 :UInt32;
  index @3 :UInt32;
}

struct Change {
  # One change to the state of jobs. `atMs` is wall-clock time in ms since 1970.
  union {
    submit :group {
      job @0 :Text;
      queue @1 :Text;
      spec @2 :JobSpec;
      atMs @3 :Int64;
      # Empty if no key was needed.
      workspace @28 :Text;
      beyondShare @29 :Bool;
    }
    cancel :group {
      cancelled @4 :Text;
      cancelAtMs @5 :Int64;
    }
    start :group {
      task @6 :TaskRef;
      run @7 :UInt32;
      worker @8 :Text;
      # 0 in logs of earlier versions, which record no worker incarnation.
      workerStartedAtMs @22 :Int64;
    }
    end :group {
      ended @9 :TaskRef;
      endedRun @10 :UInt32;
      how @11 :UInt8;
      checkpoint @12 :Text;
      endAtMs @13 :Int64;
      # Set if the run ended because its worker was lost; 0 if the loss is no
      # evidence against the task.
      evidence @18 :UInt8;
      lostInstance @19 :Text;
      late @27 :Bool;
      # 0 if no report showed the run; otherwise 1 + the time from the last one
      # that did to the end.
      shownBeforeEndMs @30 :UInt32;
    }
    fail :group {
      failed @14 :Text;
      reason @15 :Text;
      failAtMs @16 :Int64;
    }
    forget :group {
      endedBeforeMs @17 :Int64;
    }
    settle :group {
      settled @20 :TaskRef;
      settledRun @21 :UInt32;
    }
    adopt :group {
      adopted @23 :TaskRef;
      adoptedRun @24 :UInt32;
      adopter @25 :Text;
      adopterStartedAtMs @26 :Int64;
    }
    retract :group {
      # Proposed only to groups of state version 1.
      retracted @31 :TaskRef;
      retractedRun @32 :UInt32;
    }
  }
}

struct Batch {
  changes @0 :List(Change);
}

struct TaskState {
  phase @0 :UInt8;
  lastRun @1 :UInt32;
  failures @2 :UInt16;
  worker @3 :Text;
  checkpoint @4 :Text;
  losses @5 :List(WorkerLoss);
  settled @6 :Bool;
  workerStartedAtMs @7 :Int64;
  # 0 if no report has shown a run.
  ranUntilMs @8 :Int64;
}

struct WorkerLoss {
  worker @0 :Text;
  instance @1 :Text;
  run @2 :UInt32;
  evidence @3 :UInt8;
  atMs @4 :Int64;
  workerStartedAtMs @5 :Int64;
}

struct JobState {
  id @0 :Text;
  queue @1 :Text;
  spec @2 :JobSpec;
  state @3 :UInt8;
  acceptedAtMs @4 :Int64;
  endedAtMs @5 :Int64;
  reason @6 :Text;
  order @7 :UInt64;
  started @8 :Bool;
  occurrences @9 :List(Occurrence);
  workspace @10 :Text;
  beyondShare @11 :Bool;
  firstOccurrence @12 :UInt32;

  struct Occurrence {
    number @0 :UInt32;
    steps @1 :List(Step);
  }
  struct Step {
    tasks @0 :List(TaskState);
    # In a compact snapshot, empty if no task has been started or all are done.
    count @1 :UInt32;
    done @2 :Bool;
  }
}

struct Jobs {
  jobs @0 :List(JobState);
  nextOrder @1 :UInt64;
}
