@0xb4a0baab5c1e6d01;
# Messages between the nodes. Fields are only ever added, at the end, so that
# nodes of two neighbouring versions understand each other.

struct Envelope {
  # One frame on a TCP connection between two nodes.
  correlation @0 :UInt64;      # matches a reply to its call; 0 for one-way messages
  body :union {
    hello @1 :Hello;
    permitRequest @2 :PermitRequest;
    permitDecision @3 :PermitDecision;
    permitDone @4 :PermitDone;
    permitWithdraw @5 :PermitWithdraw;
    whereQuery @6 :WhereQuery;
    whereAnswer @7 :WhereAnswer;
    configurationQuery @8 :ConfigurationQuery;
    configurationAnswer @9 :ConfigurationAnswer;
    inflightQuery @10 :InflightQuery;
    inflightAnswer @11 :InflightAnswer;
    sliceQuery @12 :SliceQuery;
    sliceAnswer @13 :SliceAnswer;
    floorQuery @14 :FloorQuery;
    floorAnswer @15 :FloorAnswer;
    failure @16 :Text;
    configurationNotice @17 :ConfigurationNotice;
    placementNotice @18 :PlacementNotice;
  }
}

struct Hello {
  name @0 :Text;
  incarnation @1 :UInt64;
  protocol @2 :UInt32;
  nonce @3 :Data;
  proof @4 :Data;
}

struct PermitRequest {
  requestId @0 :Text;
  cell @1 :Text;
  organisation @2 :Text;
  tierRank @3 :UInt8;
  budgetMs @4 :UInt32;         # time left until the deadline
  promptTokens @5 :UInt32;
  outputTokens @6 :UInt32;
  prefix @7 :List(UInt64);     # chained digests of the prompt's blocks
  key @8 :Text;
  exclude @9 :List(Text);      # upstreams that refused this request before
  weight @10 :Float32;
  tried @11 :List(Text);       # cells that refused it for load
  moves @12 :UInt8;            # cells that handed it on
  recent @13 :UInt8;           # how many of those tried refused it just now
}

struct PermitDecision {
  requestId @0 :Text;
  granted @1 :Bool;
  upstream @2 :Text;
  attempt @3 :UInt32;
  code @4 :Text;               # why not, when not granted
  retryAfterMs @5 :UInt32;
  handTo @6 :Text;             # another cell that admits this tier
}

struct PermitDone {
  requestId @0 :Text;
  cell @1 :Text;
  upstream @2 :Text;
  outcome @3 :Text;            # answered, not_admitted, failed, cancelled, unused
  firstTokenMs @4 :Float32;    # from dispatch; 0 if there was none
  tokens @5 :UInt32;
  durationMs @6 :Float32;
  promptTokens @7 :UInt32;
  cachedTokens @8 :UInt32;
}

struct PermitWithdraw {
  requestId @0 :Text;
  cell @1 :Text;
}

struct WhereQuery {
  key @0 :Text;
  pool @1 :Text;
}

struct WhereAnswer {
  known @0 :Bool;
  upstream @1 :Text;
  requestId @2 :Text;
  sure @3 :Bool;               # false while the home is still rebuilding
}

struct PlacementNotice {
  # Where a keyed request is about to go, told to the next home in line.
  key @0 :Text;
  upstream @1 :Text;
  requestId @2 :Text;
}

struct ConfigurationQuery {
  least @0 :UInt64;
  held @1 :UInt64;             # version that the asker has; 0 to be sent all
}

struct ConfigurationAnswer {
  version @0 :UInt64;
  document @1 :Data;           # deflated JSON
  deltas @2 :Data;             # deflated JSON, in place of the document
}

struct ConfigurationNotice {
  version @0 :UInt64;
}

struct InflightQuery {
  cell @0 :Text;
}

struct InflightItem {
  requestId @0 :Text;
  upstream @1 :Text;
  key @2 :Text;
  promptTokens @3 :UInt32;
  outputTokens @4 :UInt32;
  organisation @5 :Text;
  tierRank @6 :UInt8;
}

struct InflightAnswer {
  items @0 :List(InflightItem);
}

struct SliceQuery {
  organisation @0 :Text;
  requests @1 :Float32;
  tokens @2 :Float32;
  open @3 :UInt32;
}

struct SliceAnswer {
  requestsPerS @0 :Float32;
  tokensPerS @1 :Float32;
  concurrency @2 :UInt32;
  validMs @3 :UInt32;
}

struct FloorQuery {
  pool @0 :Text;
  validMs @1 :UInt16;          # how long the answer will be relied on
}

struct FloorAnswer {
  tierRank @0 :UInt8;          # lowest tier that the cell still admits
  sure @1 :Bool;
  numbers @2 :List(UInt16);    # cells of the pool at this home, by number
  floors @3 :List(UInt8);      # of each: lowest tier plus one; 0 none, 255 all
  fills @4 :List(UInt16);      # of each: requests, in hundredths of its slots
}

struct Datagram {
  # One UDP message of the membership protocol.
  sender @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  configuration @3 :UInt64;    # highest configuration version heard of
  kind @4 :UInt8;              # see baobabwing.fleet
  target @5 :Text;
  updates @6 :List(MemberUpdate);
  digest @7 :UInt64;           # digest of the sender's live members
  answers @8 :UInt64;          # sequence of the datagram that this one answers
  holds @9 :UInt64;            # configuration version that the sender holds
}

struct MemberUpdate {
  name @0 :Text;
  incarnation @1 :UInt64;
  state @2 :UInt8;
  zone @3 :Text;
  region @4 :Text;
  peer @5 :Text;               # host:port, TCP and UDP
  http @6 :Text;               # host:port for callers
  refutation @7 :UInt32;       # raised by the member to refute its own death
  weight @8 :UInt16 = 100;     # share of homes, in hundredths
  work @9 :Text;               # host:port for requests between gateways, UDP
}
