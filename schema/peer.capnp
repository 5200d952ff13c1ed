@0xd8c0a5f3be71942d;
# Messages between hickoryroad processes on a platform where entries connect to upstreams directly. Each Beacon is
# sent as a single UDP datagram.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("hickory::peer");

struct Load {
  upstream @0 :UInt64;      # hash of the upstream's id
  sent @1 :UInt32;          # requests sent and not yet answered in full
  unreadTokens @2 :UInt32;  # prompt tokens of those requests whose answer has not begun
}

struct Held {
  model @0 :Text;
  version @1 :UInt64;
  whole @2 :Bool;           # all layers of the model are held
}

struct Engine {
  address @0 :Text;
  held @1 :List(Held);
  busy @2 :Bool;            # the engine is carrying out a load order
  ordering @3 :Bool;        # the agent is about to send a load order
  orders @4 :UInt64;        # load orders that the engine has accepted since its start
  waiting @5 :UInt32;       # requests queued in the engine
  running @6 :UInt32;       # requests running in the engine
  memoryUsed @7 :UInt64;    # tokens in the engine's KV cache
  memoryTotal @8 :UInt64;   # capacity of the engine's KV cache in tokens
  pace @9 :Float64;         # step time relative to the engine's profile; above 1 is slower
  bornAt @10 :Int64;        # start time of the engine process, Unix time in ms
  agentStart @11 :UInt64;   # start time of the agent process that read the report, Unix time in ms
  sequence @12 :UInt32;     # reports that this agent process had read or changed, this one included
  ageMs @13 :UInt32;        # time since it was read
  clearing @14 :Bool;       # the load order waits for the requests that still run
  slowdownStated @15 :Bool; # the engine stated its slowdown in the answer that was read, so it varies many times a second
}

struct Pieces {
  version @0 :UInt64;       # version of the weights
  count @1 :UInt32;         # number of pieces of the version
  bits @2 :Data;            # bit N%8 of byte N/8 is set when piece N is held
}

struct Entry {
  host @0 :Text;
  incarnation @1 :UInt64;   # start time of the process, Unix time in ms
  front @2 :Text;           # "ip:port" for callers
  control @3 :Text;         # "ip:port" of HTTP for peers
  place @4 :Text;
  ready @5 :Bool;           # the entry accepts callers
}

struct Place {
  totals @0 :List(Load);    # requests of all known entries at the engines and plain upstreams there
  engines @1 :List(Engine); # changed reports of its agents, periodically all of them
  entries @2 :List(Entry);  # its live entries
}

struct Crash {
  crash @0 :UInt64;         # hash of the upstream's id and the start of its process
  ageMs @1 :UInt32;         # time since the crash
  traits @2 :List(UInt64);  # hashes of shared prompt parts and whole requests that the process was about to begin
}

struct Quarantine {
  traits @0 :List(UInt64);  # requests that have all of them are refused
  ageMs @1 :UInt32;         # time since the quarantine began
  count @2 :UInt32;         # quarantines of these traits so far, this one included
}

struct SoundTrait {
  trait @0 :UInt64;
  ageMs @1 :UInt32;         # time since a request with the trait began
}

struct CrashNews {
  crashes @0 :List(Crash);
  quarantines @1 :List(Quarantine);
  sound @2 :List(SoundTrait);
}

struct Notice {
  process @0 :UInt64;       # hash of an upstream's id and the start of its process
  ageMs @1 :UInt32;         # time since it said this of itself
  limited @2 :Bool;         # it named a limit
  perSecond @3 :Float64;    # requests a second that it takes from all entries together
  leaving @4 :Bool;         # it said that it leaves
}

struct Beacon {
  from @0 :Entry;           # sender; front and control are empty for an agent
  configVersion @1 :UInt64;
  loads @2 :List(Load);     # entries only
  engine @3 :Engine;        # agents only
  known @4 :List(Entry);    # other live entries, sent periodically
  pieces @5 :List(Pieces);  # agents only: pieces that can be fetched from the sender
  place @6 :Place;          # summary of a data centre, sent to entries of the others by one entry of each
  operatorsRevision @7 :UInt64; # revision of the sender's copy of the operators' table; entries only
  crashNews @8 :CrashNews;  # crashes of upstreams that the sender knows; entries only, absent in most beacons
  operatorsEra @9 :UInt64;  # era of the store in which operatorsRevision counts; 0 for one that does not tell
  configEra @10 :UInt64;    # era of the store in which the configuration in force was written
  configEraExact @11 :Bool; # false if it may have been written in an earlier era
  notices @12 :List(Notice); # what upstreams said of themselves; entries only
  wantsPieces @14 :Bool;    # the sender asks the receiver for its pieces; agents only
  engines @13 :List(Engine); # reports that the agents sent to this entry, for the other entries of its data centre
}
