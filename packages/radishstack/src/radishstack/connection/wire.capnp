@0xbf5147cbbecf40c1;
# Messages between the processes of radishstack. Fields keep their numbers; a
# peer one version older ignores unknown fields.

struct Frame {
  stream @0 :UInt64;
  union {
    hello @1 :Hello;
    submit @2 :Submit;
    attach @3 :Attach;
    accepted @4 :Accepted;
    chunk @5 :Chunk;
    end @6 :End;
    refusal @7 :Refusal;
    ack @8 :UInt32;
    cancel @9 :Void;
    seal @10 :Seal;
    sealed @11 :Sealed;
    fetch @12 :Void;
  }
}

struct Hello {
  process @0 :Data;
  version @1 :UInt64;
  sentAtMs @2 :Int64;
}

struct Submit {
  attemptId @0 :Data;
  requestId @1 :Text;
  version @2 :UInt64;
  service @3 :Text;
  customer @4 :Text;
  adapter @5 :Text;
  key @6 :Text;
  digest @7 :Data;
  sentAtMs @8 :Int64;
  acceptedAtMs @9 :Int64;
  deadlineAtMs @10 :Int64;
  method @11 :Text;
  path @12 :Text;
  contentType @13 :Text;
  body @14 :Data;
  streams @15 :Bool;
}

struct Attach {
  attemptId @0 :Data;
  nextNumber @1 :UInt32;
}

struct Accepted {
  status @0 :UInt16;
  contentType @1 :Text;
  load @2 :Load;
  adapter @3 :Text;
}

struct Chunk {
  number @0 :UInt32;
  payload @1 :Data;
}

struct End {
  total @0 :UInt32;
  code @1 :UInt16;
  message @2 :Text;
}

struct Refusal {
  code @0 :UInt16;
  message @1 :Text;
  retryAfterMs @2 :UInt32;
  load @3 :Load;
  # Whether the request ran: 0 no, 1 yes, 2 unknown.
  executed @4 :UInt8 = 2;
}

struct Seal {
  service @0 :Text;
  key @1 :Text;
  asker @2 :Text;
}

struct Sealed {
  # Reply of the former target's ledger: 0 sealed, 1 already ran, 2 unknown.
  answer @0 :UInt8;
}

struct Load {
  residency @0 :UInt8;
  leaving @1 :Bool;
  version @2 :UInt64;
  queued @3 :UInt16;
  running @4 :UInt16;
  waitMs @5 :UInt32;
  loadMs @6 :UInt32;
  process @7 :Data;
  blocked @8 :Bool;
}

struct Datagram {
  nonce @0 :UInt32;
  union {
    probe @1 :Probe;
    report @2 :Load;
    digest @3 :Digest;
    commit @4 :Data;
  }
}

struct Probe {
  adapter @0 :Text;
  version @1 :UInt64;
}

struct Digest {
  version @0 :UInt64;
  reply @1 :Bool;
  leaving @2 :List(Text);
}
