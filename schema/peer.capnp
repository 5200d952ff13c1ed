@0xd8c0a5f3be71942d;
# Messages between hickoryroad processes on a platform where entries reach upstreams directly. They are sent as
# single datagrams. Durations are milliseconds.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("hickory::peer");

struct Load {
  upstream @0 :UInt64;      # hash of the upstream's id
  sent @1 :UInt32;          # requests under way
  unreadTokens @2 :UInt32;  # prompt tokens of those without a first event
}

struct Held {
  model @0 :Text;
  version @1 :UInt64;
  whole @2 :Bool;           # all layers are held
}

struct Engine {
  address @0 :Text;
  held @1 :List(Held);
  busy @2 :Bool;            # an order is under way
  ordering @3 :Bool;        # an order is about to be given
  orders @4 :UInt64;
  waiting @5 :UInt32;
  running @6 :UInt32;
  memoryUsed @7 :UInt64;
  memoryTotal @8 :UInt64;
  pace @9 :Float64;
  bornAt @10 :Int64;
}

struct Pieces {
  version @0 :UInt64;       # of the weights
  count @1 :UInt32;         # pieces of the version
  bits @2 :Data;            # bit N of byte N/8: piece N is held
}

struct Entry {
  host @0 :Text;
  incarnation @1 :UInt64;   # start of the process, Unix ms
  front @2 :Text;           # where callers connect
  control @3 :Text;         # HTTP for peers
  place @4 :Text;
  ready @5 :Bool;           # callers may be sent there
}

struct Place {
  totals @0 :List(Load);    # what all known entries have under way at the engines and plain upstreams there
  engines @1 :List(Engine); # reports of its agents that changed, now and then all
  entries @2 :List(Entry);  # its live entries
}

struct Beacon {
  from @0 :Entry;           # sender; an agent leaves front and control empty
  configVersion @1 :UInt64;
  loads @2 :List(Load);     # entries only
  engine @3 :Engine;        # agents only
  known @4 :List(Entry);    # other live entries, now and then
  pieces @5 :List(Pieces);  # agents only: what may be fetched from the sender
  place @6 :Place;          # sent to entries of other data centres by one entry of each
  operatorsRevision @7 :UInt64; # of the sender's copy of what operators wrote; entries only
}
