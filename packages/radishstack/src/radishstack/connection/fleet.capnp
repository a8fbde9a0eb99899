@0xd3c1a4be57f0920b;
# Datagrams between a gateway and the process beside an engine. Every field
# keeps its number; a peer one version older passes over fields it does not
# know.

struct FleetDatagram {
  union {
    demand @0 :Demand;
    state @1 :State;
  }
}

struct Use {
  adapter @0 :Text;
  inFlight @1 :UInt16;
  sent @2 :UInt16;
}

struct Versioned {
  adapter @0 :Text;
  version @1 :UInt32;
}

struct Want {
  adapter @0 :Text;
  version @1 :UInt32;
  waiting @2 :UInt16;
}

struct Demand {
  gateway @0 :Text;
  instance @1 :Text;
  adapterLimit @2 :UInt16;
  baseModels @3 :List(Text);
  uses @4 :List(Use);
  wants @5 :List(Want);
  announced @6 :List(Versioned);
  peerAddress @7 :Text;
}

struct State {
  instance @0 :Text;
  running @1 :UInt16;
  queued @2 :UInt16;
  residents @3 :List(Versioned);
  pending @4 :List(Text);
  peerAddresses @5 :List(Text);
  loadWaitMs @6 :UInt32;
  loadGapMs @7 :UInt16;
}
