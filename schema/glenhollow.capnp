# The messages between Glenhollow's own processes.
# The generated C++ is committed in src/glenhollow/wire; see scripts/generate.sh.
@0xd2c1a8b04f6e7391;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("glenhollow::wire");

enum Verdict {
  notRun @0;
  mayHaveRun @1;
  ran @2;
}

struct TaskKey {
  # One task of one submission; the entry incarnation is known from the session.
  sequence @0 :UInt64;
  task @1 :UInt32;
}

struct Start {
  key @0 :TaskKey;
  beginBy @1 :Int64;         # agent's own clock, ns; later the start is refused
  team @2 :Text;
  traceparent @3 :Text;
  payload @4 :Data;          # JSON text
  bodyHash @5 :UInt64;       # of the job's body, for an adopter
  jobTasks @6 :UInt32;       # tasks of the job, for an adopter
  rank @7 :Float32;          # smaller goes first among those that wait
}

struct Load {
  slots @0 :UInt32;
  running @1 :UInt32;
  queued @2 :UInt32;         # accepted, waiting for a slot
  clock @3 :Int64;           # agent's own clock, ns
  draining @4 :Bool;
  configVersion @5 :UInt64;
  links @6 :UInt32;          # entry sessions open at this agent
  shunned @7 :Bool;          # the runner itself fails or cannot be reached
  received @8 :UInt64;       # starts that came over this session so far
}

struct TaskResult {
  key @0 :TaskKey;
  verdict @1 :Verdict;
  reason @2 :UInt16;
  body @3 :Data;             # JSON text, only when verdict is ran
  waitMicros @4 :UInt32;     # time in the agent's queue
  runMicros @5 :UInt32;      # time at the runner
  bodyHash @6 :UInt64;       # only in answer to a fence
  jobTasks @7 :UInt32;       # only in answer to a fence
}

struct StartBatch {
  starts @0 :List(Start);
  acknowledged @1 :List(TaskKey);  # results that arrived and can be dropped
}

struct StartReply {
  results @0 :List(TaskResult);
  load @1 :Load;
}

struct ConfigurationRow {
  key @0 :Text;
  value @1 :Text;            # empty: the row is gone
  version @2 :UInt64;        # of the configuration that set it
  by @3 :Text;
  when @4 :Int64;            # wall time, s since 1970
}

struct Configuration {
  version @0 :UInt64;
  rows @1 :List(ConfigurationRow);  # those newer than the receiver has
}

struct Member {
  name @0 :Text;
  role @1 :Text;
  hall @2 :Text;
  rpc @3 :Text;
  state @4 :Text;
}

interface Agent {
  # The bootstrap interface of glenhollow-agent.
  hello @0 (entry :Text, hall :Text, incarnation :UInt64, shard :UInt32,
            generation :UInt64)
        -> (session :AgentSession, incarnation :UInt64, load :Load);
  fence @1 (incarnation :UInt64, heardWithinMs :UInt32)
        -> (declined :Bool, records :List(TaskResult), unfinished :UInt32);
  drain @2 (on :Bool, by :Text) -> (load :Load);
  configure @3 (configuration :Configuration) -> (version :UInt64);
  status @4 () -> (load :Load, started :UInt64, refused :UInt64,
                   records :UInt64, bytes :UInt64);
  configuration @5 (since :UInt64) -> (configuration :Configuration);
}

interface AgentSession {
  start @0 StartBatch -> StartReply;
  ping @1 (acknowledged :List(TaskKey)) -> (load :Load);
}

struct TeamDemand {
  team @0 :Text;
  rate @1 :Float64;          # task starts a second asked for at the sender
}

struct Answer {
  status @0 :UInt16;         # HTTP status
  reason @1 :UInt16;
  retryAfterMs @2 :UInt32;
  body @3 :Data;             # JSON text
}

struct KeptAnswer {
  sequence @0 :UInt64;
  bodyHash @1 :UInt64;
  answer @2 :Answer;
}

interface Peer {
  # The bootstrap interface of glenhollow-entry, for other entries.
  exchange @0 (entry :Text, incarnation :UInt64, configVersion :UInt64,
               demand :List(TeamDemand), stopping :Bool, heir :Text)
           -> (incarnation :UInt64, configVersion :UInt64,
               demand :List(TeamDemand), stopping :Bool, heir :Text);
  submit @1 (id :Text, body :Data, traceparent :Text, adopt :Bool)
         -> (answer :Answer);
  lookup @2 (id :Text, adopt :Bool) -> (answer :Answer);
  configuration @3 (since :UInt64) -> (configuration :Configuration);
  operate @4 (statement :Text, by :Text) -> (answer :Answer);
  keep @5 (entry :Text, incarnation :UInt64, answers :List(KeptAnswer)) -> ();
  holds @6 (incarnation :UInt64) -> (held :Bool);
  members @7 () -> (members :List(Member));
}

# Durable jobs: entry <-> agent.

struct TaskRef {
  # One task of a durable job.
  job @0 :UInt64;
  occurrence @1 :UInt32;     # of a repeated job, from 0
  step @2 :UInt32;
  index @3 :UInt32;
}

struct RunOrder {
  task @0 :TaskRef;
  run @1 :UInt32;            # rises with each start of the task
  epoch @2 :UInt32;          # of the part, at its owner
  cpu @3 :UInt32;            # thousandths of a core
  memory @4 :UInt32;         # MiB
  gpu @5 :UInt32;
  urgency @6 :Int64;         # smaller goes first among those that wait
  spec @7 :Text;
  estimateMs @8 :UInt32;     # a rough guess of its time; 0: none
  placer @9 :UInt64;         # incarnation of the entry that chose the place
  grant @10 :UInt32;         # its number there; 0: the sender chose by itself
  expectedMs @11 :UInt32;    # its time at a warm server of usual speed, as far
                             # from its data as this one; 0: not known
  usefulMs @12 :UInt32;      # an end later than this helps nobody; 0: any does
  submitter @13 :UInt64;     # the host's session with the entry that submitted
                             # the job; 0: the sender's own job
  serverLife @14 :UInt32;    # RunnerState.life of the runner that it is for;
                             # 0: any
}

struct SubmitterLease {
  # A run under a host's lease also needs the lease of its submitter.
  submitter @0 :UInt64;
  leasedAt @1 :Int64;        # the submitter was alive then by the agent's
                             # clock, in nanoseconds
}

struct RunRef {
  task @0 :TaskRef;
  run @1 :UInt32;
}

struct RunState {
  task @0 :TaskRef;
  run @1 :UInt32;
  phase @2 :UInt8;
  sized @3 :Bool;            # the agent knows what it takes of the runner
}

struct RunEnd {
  task @0 :TaskRef;
  run @1 :UInt32;
  how @2 :UInt8;
  number @3 :UInt64;         # of the end at its runner; 0: nothing to confirm
  micros @4 :UInt32;         # from start to end
  claimed @5 :Bool;          # ran under a lease of the entry that is told
}

struct RunnerState {
  # Service, instance, zone, labels and capacity only where `whole` is set.
  service @0 :Text;
  instance @1 :Text;         # id of the runner; see born
  zone @2 :Text;
  labels @3 :List(Text);
  phase @4 :UInt8;
  cpu @5 :UInt32;
  memory @6 :UInt32;
  gpu @7 :UInt32;
  usedCpu @8 :UInt32;
  usedMemory @9 :UInt32;
  usedGpu @10 :UInt32;
  waiting @11 :UInt32;       # orders accepted, without room yet
  received @12 :UInt64;      # order batches of this session seen so far
  whole @13 :Bool;           # the session has not been told these before
  leavesIn @14 :UInt32;      # the server's notice: 1 + ms left; 0: none
  coldMs @15 :UInt32;        # it stays slow from its start for so long
  paceMilli @16 :UInt32;     # thousandths: time of runs over what was expected;
                             # 0: not known yet
  born @17 :Int64;           # when this life of the id started, Unix ms by its
                             # own word; 0: not told
  life @18 :UInt32;          # number of this life at the agent's process; rises
                             # from 1; 0: not told
}

struct PartEpoch {
  part @0 :UInt16;
  epoch @1 :UInt32;
}

struct RunReport {
  state @0 :RunnerState;
  ends @1 :List(RunEnd);
  started @2 :List(RunRef);
  granted @3 :List(UInt32);  # grants of the receiver whose orders have come
  nextWithinMs @4 :UInt32;   # the next report leaves within this time
  sentAt @5 :Int64;          # by the agent's clock, in nanoseconds
}

interface RunReports {
  # An entry's ear for one agent.
  # `roomGapMs`: the least time until the next report of room alone.
  # `places`: the entry places the tasks of others too and is told first.
  # `confirmed`: ends that the entry has dealt with.
  report @0 (report :RunReport)
         -> (renewed :List(PartEpoch), roomGapMs :UInt32, places :Bool,
             confirmed :List(RunEnd), evacuated :Bool, evacuatedAt :UInt64,
             submitters :List(SubmitterLease));
  # evacuated: the agent's hall gets no new work, as of the store's version
  # evacuatedAt; a later version replaces an earlier one.
}

interface RunAgent {
  attach @0 (entry :Text, incarnation :UInt64, reports :RunReports)
         -> (session :RunSession, incarnation :UInt64, state :RunnerState);
  host @1 (entry :Text) -> (session :JobHost);
  # The agent's process runs whole jobs in memory for the entry, at a group of
  # agents. What the entry has there ends with the session.
}

struct AgentAddress {
  name @0 :Text;
  where @1 :Text;            # IP:PORT of its links
}

struct HostLoad {
  loads @0 :List(PlacementLoad);
  agents @1 :UInt32;         # of the group, with which the host has a session
  stopping @2 :Bool;         # the host takes no more jobs
}

struct HandedStep {
  count @0 :UInt32;
  cpu @1 :UInt32;            # thousandths of a core
  memory @2 :UInt32;         # MiB
  gpu @3 :UInt32;
  estimateMs @4 :UInt32;
  label @5 :Text;            # the backend server must have it, if given
  preferredLabel @6 :Text;   # others are slower at it
  after @7 :List(UInt32);    # steps that must be done first
}

struct HandedJob {
  # Times are lengths from the sending on, so that clocks need not agree.
  id @0 :UInt64;
  queue @1 :Text;
  service @2 :Text;
  spec @3 :Text;
  steps @4 :List(HandedStep);
  priority @5 :UInt32;
  maxAttempts @6 :UInt32;
  objectiveInMs @7 :Int64;   # until it should have ended
  giveUpInMs @8 :Int64;      # until its caller has left
}

struct LivenessProof {
  # Shows the host that the entry was alive when it sent this, however long the
  # message takes: the host knows when it sent the answer.
  answer @0 :UInt64;         # the last one received: 1 is the session's opening;
                             # 0: not told
  sinceNs @1 :Int64;         # time between its receipt and this message
}

interface JobHost {
  submit @0 (job :HandedJob, onlyWithRoom :Bool, alive :LivenessProof)
         -> (answer :JobAnswer, load :HostLoad);
  # Answered at the job's end. `onlyWithRoom`: the entry knows another host with
  # room; without room for the whole job it is given back, with nothing done.
  withdraw @1 (jobs :List(UInt64)) -> ();
  cancel @2 (job :UInt64) -> (answer :JobAnswer);
  check @3 (agents :List(AgentAddress), alive :LivenessProof)
        -> (load :HostLoad, number :UInt64);
  # Sent each while, so that both sides notice silence; `agents`: the host's
  # group as the entry knows it; empty where that has not changed.
}

struct OrderBatch {
  starts @0 :List(RunOrder);
  stops @1 :List(RunRef);
  sizes @2 :List(RunOrder);       # of runs that the agent found running
  confirmed @3 :List(RunEnd);     # ends that are in the journal
  leasedAt @4 :Int64;             # the lease of the entry's jobs in memory
                                  # begins then by the agent's clock; 0: not
  submitters @5 :List(SubmitterLease);
}

interface RunSession {
  adopt @0 (part :PartEpoch)
        -> (declined :Bool, runs :List(RunState), ends :List(RunEnd));
  order @1 (batch :OrderBatch) -> ();
  # The entry's wishes have changed; the agent reports at once.
  pace @2 (roomGapMs :UInt32, places :Bool) -> ();
}

# Durable jobs: entry <-> entry.

struct QueueCount {
  queue @0 :Text;
  part @1 :UInt16;
  pending @2 :UInt32;
}

struct EntryView {
  name @0 :Text;
  incarnation @1 :UInt64;
  parts @2 :List(PartEpoch);
  storeReachable @3 :Bool;
  stopping @4 :Bool;
  catalogVersion @5 :UInt64;
  pending @6 :List(QueueCount);
  released @7 :List(PartEpoch);   # given away, free to take
  power @8 :UInt32;               # thousandths of a core that it may use
  timely @9 :Bool;                # its own timers come in time
  agents @10 :UInt32;             # with which it has a session
  started @11 :Int64;             # its time of day then, in seconds
  evacuated @12 :List(Text);      # halls that get no new work
  evacuatedAt @13 :UInt64;        # the store's version when it was so
}

struct JobCall {
  verb @0 :UInt8;
  job @1 :UInt64;
  catalogVersion @2 :UInt64;
  body @3 :Data;             # a new job in its journal form
  onward @4 :Text;           # the entry that it is for, if not the one asked
}

struct JobAnswer {
  outcome @0 :UInt8;
  state @1 :UInt8;
  retryAfterMs @2 :UInt32;
}

struct WantedTasks {
  # Tasks of one step that are alike and wait for a place.
  job @0 :UInt64;
  occurrence @1 :UInt32;
  step @2 :UInt32;
  indices @3 :List(UInt32);
  service @4 :Text;
  label @5 :Text;            # the backend server must have it, if given
  preferredLabel @6 :Text;   # others are slower at it
  cpu @7 :UInt32;            # thousandths of a core
  memory @8 :UInt32;         # MiB
  gpu @9 :UInt32;
  priority @10 :UInt32;      # 0 goes first
  slackMicros @11 :Int64;    # from now until it must start to be in time
  estimateMs @12 :UInt32;
  avoid @13 :Text;           # agent where it failed
  begun @14 :Bool;           # other tasks of its job were placed
}

struct TaskGrant {
  task @0 :TaskRef;
  agent @1 :Text;
  number @2 :UInt32;         # of the grant at its placer
}

struct DeclinedGrant {
  agent @0 :Text;
  number @1 :UInt32;
  unreachable @2 :Bool;      # the entry has no session with the agent
}

interface PlacementGrants {
  # An entry's ear for its placer.
  grant @0 (grants :List(TaskGrant)) -> ();
}

struct PlacementLoad {
  # What a placer knows of one service.
  service @0 :Text;
  readyCores @1 :Float64;    # of backend servers that take work
  freeCores @2 :Float64;     # of these, not taken
  waitingWork @3 :Float64;   # core-milliseconds that can be in time
}

interface PlacementSession {
  # `restart`: forget all that this session wanted before.
  want @0 (restart :Bool, tasks :List(WantedTasks), withdrawn :List(TaskRef),
           declined :List(DeclinedGrant)) -> (loads :List(PlacementLoad));
}

struct CancelledJob {
  job @0 :UInt64;
  state @1 :UInt8;           # how it ended, as far as is known
  found @2 :Bool;            # some entry had it
  ageMs @3 :UInt32;          # since its cancelling came
}

interface EntryPeer {
  place @3 (entry :Text, incarnation :UInt64, grants :PlacementGrants)
        -> (session :PlacementSession, incarnation :UInt64);
  exchange @0 (view :EntryView) -> (view :EntryView);
  call @1 (call :JobCall) -> (answer :JobAnswer);
  catalog @2 () -> (version :UInt64, document :Data);
  # Jobs that it knows to be cancelled, for an entry that has just begun.
  cancelled @4 () -> (jobs :List(CancelledJob));
}
