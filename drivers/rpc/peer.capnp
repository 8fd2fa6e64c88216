@0xf5006f4a2618e6ab;
# RPC interface and messages between hosts. drivers/rpc/peer_codec.h converts the messages and validates every field.
# Generate the C++ code with: capnp compile -oc++ drivers/rpc/peer.capnp

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("teaselrudder::rpc");

enum Freshness { fresh @0; ownWrites @1; maxAge @2; }
enum Urgency { urgent @0; normal @1; background @2; }
enum TransactionStep { none @0; begin @1; continue @2; commit @3; rollback @4; }
enum HostState { alive @0; suspect @1; leaving @2; dead @3; }
enum Ran { no @0; yes @1; unknown @2; }

struct OptionalText {
  union {
    absent @0 :Void;
    present @1 :Text;
  }
}

struct Statement {
  sql @0 :Text;
  parameters @1 :List(OptionalText);
}

struct SessionPosition {
  term @0 :UInt64;
  position @1 :UInt64;
  uncertain @2 :Bool;
}

struct RequestEnvelope {
  service @0 :Text;
  group @1 :Text;
  statements @2 :List(Statement);
  step @3 :TransactionStep;
  transaction @4 :Text;
  session @5 :SessionPosition;
  freshness @6 :Freshness;
  maxAgeMicros @7 :Int64;
  urgency @8 :Urgency;
  remainingMicros @9 :Int64;
  # Time left until the request's deadline, measured by the sender when it sent the message.
  idempotent @10 :Bool;
  readOnly @11 :Bool;
  requestId @12 :Text;
  hops @13 :UInt32;
  target @14 :Text;
  # Id of the member that must execute the request. Empty if the receiver may choose the member.
  term @15 :UInt64;
}

struct Row {
  values @0 :List(OptionalText);
}

struct ResultSet {
  columns @0 :List(Text);
  rows @1 :List(Row);
  affected @2 :UInt64;
}

struct Answer {
  results @0 :List(ResultSet);
  requestId @1 :Text;
  servedBy @2 :Text;
  byPrimary @3 :Bool;
  transaction @4 :Text;
}

struct Refusal {
  reason @0 :Text;
  # Sent as a name, not as an enum value, so that new reasons can be added in any order.
  ran @1 :Ran;
  retryAfterMicros @2 :Int64 = -1;
  # Negative if retrying cannot succeed.
  detail @3 :Text;
  sqlstate @4 :Text;
}

struct AnswerEnvelope {
  session @0 :SessionPosition;
  union {
    answer @1 :Answer;
    refusal @2 :Refusal;
  }
}

struct HostRecord {
  host @0 :Text;
  failureDomain @1 :Text;
  ip @2 :Text;
  port @3 :UInt16;
  incarnation @4 :UInt64;
  state @5 :HostState;
}

struct ProbeMessage {
  sender @0 :HostRecord;
  configurationVersion @1 :UInt64;
  records @2 :List(HostRecord);
}

struct ProbeReply {
  responder @0 :HostRecord;
  configurationVersion @1 :UInt64;
  records @2 :List(HostRecord);
}

struct SuspicionQuery {
  group @0 :Text;
  member @1 :Text;
  term @2 :UInt64;
}

struct SuspicionReply {
  monitored @0 :Bool;
  suspected @1 :Bool;
  knownTerm @2 :UInt64;
}

struct ConfigurationQuery {
  knownVersion @0 :UInt64;
}

struct ConfigurationSnapshot {
  version @0 :UInt64;
  document @1 :Text;
}

interface Peer {
  submit @0 RequestEnvelope -> AnswerEnvelope;
  # Executes a request outside of any transaction.
  transact @1 RequestEnvelope -> AnswerEnvelope;
  # Executes one step of a transaction: begin, continue, commit or rollback.
  probe @2 ProbeMessage -> ProbeReply;
  suspects @3 SuspicionQuery -> SuspicionReply;
  fetchConfiguration @4 ConfigurationQuery -> ConfigurationSnapshot;
}
