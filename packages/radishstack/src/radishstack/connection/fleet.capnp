@0xd3c1a4be57f0920b;
# Datagrams between gateways and sidecars, and between gateways. Fields keep
# their numbers; a peer one version older ignores unknown fields.

struct FleetDatagram {
  union {
    demand @0 :Demand;
    state @1 :State;
    crashReport @2 :CrashReport;
    usageAsk @3 :UsageAsk;
    usageLoan @4 :UsageLoan;
    rateLimitReport @5 :RateLimitReport;
    streamRecord @6 :StreamRecord;
    streamQuery @7 :StreamQuery;
    streamAnswer @8 :StreamAnswer;
    changeReport @9 :ChangeReport;
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
  # A version that does not fit the field above, which is then 0.
  longVersion @2 :UInt64;
}

struct Want {
  adapter @0 :Text;
  version @1 :UInt32;
  waiting @2 :UInt16;
  firstDueMs @3 :Int32;
  lastDueMs @4 :Int32;
  longVersion @5 :UInt64;
}

struct Holding {
  # A base model and its adapters. The base model's name is sent once, because
  # repeated for each adapter it would be half of every message. Versions are in
  # the order of the adapters.
  base @0 :Text;
  isResident @1 :Bool;
  version @2 :UInt32;
  adapters @3 :List(Text);
  versions @4 :List(UInt32);
  # Empty unless one of the versions needs it.
  longVersion @5 :UInt64;
  longVersions @6 :List(UInt64);
}

struct Demand {
  gateway @0 :Text;
  instance @1 :Text;
  adapterLimit @2 :UInt16;
  baseModels @3 :List(Text);
  uses @4 :List(Use);
  wants @5 :List(Want);
  # Announced versions of adapters that the engine holds in an older version.
  announced @6 :List(Versioned);
  peerAddress @7 :Text;
}

struct State {
  instance @0 :Text;
  running @1 :UInt16;
  queued @2 :UInt16;
  residents @3 :List(Holding);
  pending @4 :List(Holding);
  # Some of the gateways that receive updates, different ones in each update.
  peerAddresses @5 :List(Text);
  loadWaitMs @6 :UInt32;
  loadGapMs @7 :UInt16;
  loadInTimeMs @8 :UInt32;
  fetchMs @9 :UInt32;
  # Start times of the engine's incarnation and of the previous one, 0 if
  # unknown.
  bornMs @10 :UInt64;
  formerBornMs @11 :UInt64;
  # Time within which the next update is sent, and the number of gateways that
  # receive updates.
  nextMs @12 :UInt16;
  gatewayCount @13 :UInt16;
  # Adapters that the engine held until recently, the most recent last.
  recent @14 :List(Holding);
  # Whether the engine reports that it is draining.
  leaving @15 :Bool;
}

struct Observation {
  # An incarnation of a target that crashed while it ran a request. Times are
  # sent as ages, because the clock of each VM counts from its own boot.
  target @0 :Text;
  bornMs @1 :UInt64;
  beganAgoMs @2 :UInt64;
  endedAgoMs @3 :UInt64;
}

struct CrashRecord {
  fingerprint @0 :Data;
  observations @1 :List(Observation);
  # Whether an equal request succeeded, and how long ago.
  isCleared @2 :Bool;
  clearedAgoMs @3 :UInt64;
  # Position of the feature, a block of the prompt; 0 if it is the whole request.
  blockPosition @4 :UInt8;
}

struct CrashReport {
  records @0 :List(CrashRecord);
  # Whether the receiver should report its own records.
  asks @1 :Bool;
}

struct UsageAsk {
  # A loan request: a gateway asks another one to lend some of its share of a
  # client account's usage cap. Costs are in units of the cap.
  account @0 :Text;
  number @1 :UInt32;
  need @2 :Float64;
  want @3 :Float64;
}

struct UsageLoan {
  account @0 :Text;
  number @1 :UInt32;
  amount @2 :Float64;
  # Spare capacity that the lender has left to lend.
  room @3 :Float64;
}

struct RateLimitReport {
  # Reports to other gateways the rate limit in a target's response.
  target @0 :Text;
  bornMs @1 :UInt64;
  # Whether the response has a limit, and the limit in requests per second.
  isLimited @2 :Bool;
  limitPerS @3 :Float64;
  # How long ago the response was received.
  agoMs @4 :UInt32;
}

struct StreamRecord {
  # Reports to another gateway which software version began a stream.
  streamId @0 :UInt64;
  softwareVersion @1 :Text;
  # How long the stream may be resumed.
  retentionMs @2 :UInt32;
  service @3 :Text;
}

struct StreamQuery {
  # Asks another gateway for the origin of a stream that a caller resumes.
  streamId @0 :UInt64;
  service @1 :Text;
  # Longest lifetime of a stream of the service.
  lifetimeMs @2 :UInt32;
}

struct StreamAnswer {
  streamId @0 :UInt64;
  # The software that began the stream, empty if unknown.
  softwareVersion @1 :Text;
  # Whether the gateway observed several software versions of the service within
  # the lifetime, otherwise the only one and how long it has observed it.
  isMixed @2 :Bool;
  soleVersion @3 :Text;
  soleForMs @4 :UInt32;
  service @5 :Text;
}

struct ReadPosition {
  # Position of the newest change of a kind of object in the store.
  kind @0 :Text;
  era @1 :UInt64;
  revision @2 :UInt64;
}

struct ChangeReport {
  positions @0 :List(ReadPosition);
}
