@0xb3f1c9a47d52e608;
# RPC interfaces and messages between hickoryroad processes. Fields whose name ends in "Ms" are durations in
# milliseconds.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("hickory::rpc");

struct ConfigRecord {
  generation @0 :UInt64;
  digest @1 :Text;      # BLAKE2b-256 of the text, lower-case hex
  changeId @2 :Text;    # chosen by the operator for each change, tells a repeated request from a new change
  text @3 :Text;        # configuration in TOML as written by operators
}

struct RankLoad {
  running @0 :UInt32;          # requests running at the agent's upstream
  queued @1 :UInt32;           # requests waiting at the agent
}

struct AgentStatus {
  host @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;         # increases with each change of the status within one incarnation
  service @3 :Text;
  ready @4 :Bool;
  leaving @5 :Bool;
  model @6 :Text;
  version @7 :Text;
  generation @8 :UInt64;       # configuration in force at the agent
  limit @9 :UInt32;            # concurrency limit in force
  ranks @10 :List(RankLoad);   # by rank index
  queuedTokens @11 :UInt64;
  latencyMs @12 :UInt32;       # smoothed time to the first part of an answer
  wantedVersion @13 :Text;     # model version being fetched or loaded, empty when none
  chunksHave @14 :UInt32;
  chunksTotal @15 :UInt32;
  detail @16 :Text;            # why the upstream is not ready, or why a rollout stopped at this host
  failures @17 :UInt32;        # requests that failed since the current version became ready
  adapters @18 :List(Text);
  role @19 :Text;
  place @20 :Text;
}

struct DispatchCall {
  entry @0 :Text;
  request @1 :UInt64;
  attempt @2 :UInt32;
  service @3 :Text;
  workspace @4 :Text;
  rank @5 :UInt8;
  method @6 :Text;
  path @7 :Text;
  contentType @8 :Text;
  body @9 :Data;
  bodyDigest @10 :Text;
  timeoutMs @11 :UInt64;       # time left until the caller's deadline
  version @12 :Text;           # pinned model version, empty for plain services
  resumeFrom @13 :UInt32;      # parts already delivered to the caller
  costTokens @14 :UInt64;
  idempotencyKey @15 :Text;    # empty when the request may be repeated
  rowVersion @16 :UInt64;      # version of the call row that the entry saw
  suspect @17 :Bool;           # suspected of crashing upstreams: must not run beside another suspect request
}

enum DispatchResultKind {
  completed @0;        # the whole answer was sent
  notRun @1;           # refused; the request was not sent to the upstream
  failed @2;           # the upstream received the request and answered with an error
  unknown @3;          # it is not known whether the upstream ran the request
  crashed @4;          # the upstream crashed while it ran the request
  preempted @5;        # cancelled in favour of more urgent work; the request may resume
  recordedDone @6;     # the call row holds an earlier attempt's answer, which was sent
  recordedRunning @7;  # according to the call row, another attempt is running
  recordedUnknown @8;  # according to the call row, an incarnation that no longer exists started the request
  keyConflict @9;      # the idempotency key was used before with another body
}

struct DispatchResult {
  kind @0 :DispatchResultKind;
  reason @1 :Text;             # machine-readable, e.g. "no-slot"
  status @2 :UInt16;           # HTTP status of the upstream, 0 when there was none
  contentType @3 :Text;
  parts @4 :UInt32;            # parts sent in this attempt
  load @5 :AgentStatus;        # status of the agent after the attempt
}

interface ResponseSink {
  # Delivers one part of the answer. Sequence numbers start at DispatchCall.resumeFrom. status and contentType are set
  # on the first part only.
  part @0 (sequence :UInt32, data :Data, status :UInt16, contentType :Text) -> ();
}

interface AgentListener {
  # Delivers a status of an agent to an attached entry whenever it changes.
  status @0 (status :AgentStatus) -> ();
}

interface Agent {
  # Registers an entry; the agent pushes its statuses to the listener until the connection ends.
  attach @0 (entry :Text, listener :AgentListener) -> (status :AgentStatus);
  # `known` is the sequence of the newest status that the entry holds of this incarnation. An unchanged status is left
  # out of the answer, because it would make up most of the control traffic of an idle fleet.
  heartbeat @1 (entry :Text, generation :UInt64, known :UInt64) -> (status :AgentStatus, unchanged :Bool);
  dispatch @2 (call :DispatchCall, sink :ResponseSink) -> (result :DispatchResult);
  cancel @3 (entry :Text, request :UInt64, attempt :UInt32) -> ();
  pushConfig @4 (config :ConfigRecord) -> (generation :UInt64);
  chunkMap @5 (manifest :Text) -> (have :Data);   # chunks held: one bit each, lowest bit first
  chunk @6 (manifest :Text, index :UInt32) -> (data :Data);
}

struct Suspicion {
  service @0 :Text;
  bodyDigest @1 :Text;
  crashes @2 :UInt32;          # upstreams that crashed while they ran the request
  ageMs @3 :UInt64;            # time since the last crash that the request is suspected of
}

struct Demand {
  service @0 :Text;
  rank @1 :UInt8;
  tokens @2 :UInt64;           # tokens of queued and running requests at the sending entry
}

struct GossipMessage {
  from @0 :Text;
  generation @1 :UInt64;       # newest configuration that the sender holds
  leaving @2 :List(Text);      # hosts that announced that they are leaving
  suspicions @3 :List(Suspicion);
  demand @4 :List(Demand);
  fromLeaving @5 :Bool;        # the sender itself is leaving
}

interface Entry {
  gossip @0 (message :GossipMessage) -> (message :GossipMessage);
  pushConfig @1 (config :ConfigRecord) -> (generation :UInt64);
  fetchConfig @2 (known :UInt64) -> (config :ConfigRecord);  # generation 0 when there is nothing newer than `known`
  report @3 (status :AgentStatus) -> (config :ConfigRecord); # sent by an agent to its home entry
  localStatus @4 () -> (generation :UInt64, leaving :Bool, agents :List(AgentStatus));
}
