@0xd3f1a6b09c5e7a41;
# What entry hosts tell each other. Generated code is committed as src/peer_capnp.rs; see docs/DESIGN.md for how to make it anew.

struct ShardRoom {
  shard @0 :Text;
  cpuMillis @1 :UInt64;
  largestCpuMillis @2 :UInt64;
  largestMemoryMib @3 :UInt64;
  largestAccelerators @4 :UInt64;
  capacityCpuMillis @5 :UInt64;
  capacityMemoryMib @6 :UInt64;
  capacityAccelerators @7 :UInt64;
}

struct LatencyWindow {
  # Answers of one service on one worker within the last whole second.
  service @0 :Text;
  worker @1 :Text;
  count @2 :UInt32;
  totalMs @3 :UInt64;
}

struct HostNews {
  host @0 :Text;
  viewVersion @1 :UInt64;
  revision @2 :UInt64;
  digest @3 :Text;
  leaving @4 :List(Text);
  rooms @5 :List(ShardRoom);
  stopping @6 :Bool;
  latencies @7 :List(LatencyWindow);
}

interface EntryPeer {
  exchange @0 (news :HostNews) -> (news :HostNews);
  # Each side tells what it knows.

  configuration @1 (digest :Text) -> (found :Bool, bytes :Data);
  # A configuration's bytes, for a host that can't reach the object store.
}
