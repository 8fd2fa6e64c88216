@0xb1d5c07e92a44f63;
# UDP datagrams in which hosts report the health of the primaries of database groups to each other.
# drivers/rpc/evidence_socket.h sends, receives and validates them.
# Generate the C++ code with: capnp compile -oc++ drivers/rpc/evidence.capnp

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("teaselrudder::rpc");

struct PrimaryEvidence {
  group @0 :Text;
  primary @1 :Text;
  # Member id of the primary. Empty if the sender knows no primary.
  term @2 :UInt64;
  heardAgeMicros @3 :Int64 = -1;
  # Time since the primary last responded to the sender. Negative if it never responded.
  silentForMicros @4 :Int64;
  commitAgeMicros @5 :Int64 = -1;
  # Time since the last commit that the primary acknowledged. Negative if it acknowledged none.
  commitStalledForMicros @6 :Int64;
  positionTerm @7 :UInt64;
  # Zero if the sender knows no log position.
  position @8 :UInt64;
  positionAgeMicros @9 :Int64;
  leaseRemainingMicros @10 :Int64;
  # Remaining time of the sender's lease on reading at the primary. Zero if it has none.
  leaseToken @11 :UInt64;
  requestsLease @12 :Bool;
  doubtsPrimary @13 :Bool;
  lacksConnection @14 :Bool;
  replacedTerm @15 :UInt64;
  # Term of the primary that the holder of the failover duty is replacing. Zero if the sender knows of none.
  acknowledgedTerm @16 :UInt64;
  acknowledgedPosition @17 :UInt64;
  # Highest position that a caller was told to be committed, as far as the sender knows.
  revokedTerm @18 :UInt64;
  # Term of a primary on which the leases were revoked, and none granted since. Zero if the sender knows of none.
}

struct QuotaTokens {
  account @0 :Text;
  tokens @1 :UInt32;
  request @2 :UInt64;
}

struct QuotaMessage {
  isAnswer @0 :Bool;
  pledgedShards @1 :UInt32;
  creditedShards @2 :UInt32;
  tokens @3 :List(QuotaTokens);
}

struct EvidenceReport {
  sender @0 :Text;
  sentAtMicros @1 :Int64;
  echoMicros @2 :Int64;
  echoHoldMicros @3 :Int64;
  groups @4 :List(PrimaryEvidence);
  dutyToken @5 :UInt64;
  # Zero if the sender does not hold the failover duty.
  storeCurrent @6 :Bool;
  newestDutyToken @7 :UInt64;
  hearsDutyHolder @8 :Bool;
  # The sender holds the failover duty or has recently received a report of its holder.
  quota @9 :QuotaMessage;
  # Set in a message about the quotas of client accounts, which has no groups.
  stopping @10 :Bool;
}
