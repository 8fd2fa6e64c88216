#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/ids.h"
#include "core/request.h"
#include "tl/expected.hpp"

namespace teaselrudder {

/// State of a host as other hosts see it. Within one incarnation a later enumerator overrides an earlier one.
enum class HostState { kAlive, kSuspect, kLeaving, kDead };

/// Membership record of a host.
struct HostRecord {
  HostId host;
  FailureDomainId failure_domain;
  Endpoint peer_endpoint;
  Incarnation incarnation;
  HostState state = HostState::kAlive;

  friend bool operator==(const HostRecord&, const HostRecord&) = default;
};

/// Forwards a request, or a step of a transaction, to the host that is to serve it.
struct SubmitRequest {
  RequestEnvelope envelope;
};

/// Health check that also exchanges membership records.
struct Probe {
  HostRecord sender;
  ConfigurationVersion configuration_version;
  /// A limited number of the sender's membership records.
  std::vector<HostRecord> records;
};

/// Asks another owner of `group`, that is, a host that monitors its members, whether it suspects that `member`, the
/// primary of `term`, has failed.
struct SuspicionQuery {
  GroupId group;
  MemberId member;
  Term term;
};

/// Requests the configuration if its version is higher than `known`.
struct FetchConfiguration {
  ConfigurationVersion known;
};

/// A call from one host to another.
using PeerRequest = std::variant<SubmitRequest, Probe, SuspicionQuery, FetchConfiguration>;

/// Answer to SubmitRequest.
struct SubmitReply {
  RequestOutcome outcome;
};

/// Answer to Probe.
struct ProbeReply {
  HostRecord responder;
  ConfigurationVersion configuration_version;
  std::vector<HostRecord> records;
};

/// Answer to SuspicionQuery.
struct SuspicionReply {
  /// False if the responding host does not monitor the group.
  bool monitored = false;
  /// True if the responding host has no recent status report from the member.
  bool suspected = false;
  /// Highest term for which the responding host knows a primary.
  Term known_term;
};

/// Answer to FetchConfiguration.
struct ConfigurationReply {
  ConfigurationVersion version;
  /// The configuration as a JSON document; empty if the requested `known` version is not older.
  std::string document;
};

/// Answer from another host; its type corresponds to the type of the call.
using PeerResponse = std::variant<SubmitReply, ProbeReply, SuspicionReply, ConfigurationReply>;

/// Why a call to another host failed.
enum class PeerErrorKind {
  kUnreachable,  // The connection could not be opened; the call was not delivered.
  kLost,         // The connection was lost after the call was sent.
  kTimeout,      // No answer arrived before the timeout.
  kBadMessage,   // A message could not be decoded or exceeds its size limit.
};

/// A failed call to another host.
struct PeerError {
  PeerErrorKind kind = PeerErrorKind::kUnreachable;
  /// False only if it is certain that the other host has not processed the call and never will.
  bool may_have_been_delivered = true;
  std::string message;
};

/// Calls between the hosts of this system. Results arrive through PeerEvents.
class PeerPort {
 public:
  PeerPort() = default;
  PeerPort(const PeerPort&) = delete;
  PeerPort& operator=(const PeerPort&) = delete;
  virtual ~PeerPort() = default;

  /// Calls the host at `peer`. One on_peer_answered() event follows, at the latest after `timeout`.
  virtual void call(PeerCallId call, const Endpoint& peer, PeerRequest request, Duration timeout) = 0;

  /// Answers a call received through on_peer_request(). The answer is dropped if the calling host has disconnected.
  virtual void answer(PeerCallId call, PeerResponse response) = 0;
};

/// Receives calls from other hosts, and answers to this host's calls.
class PeerEvents {
 public:
  PeerEvents() = default;
  PeerEvents(const PeerEvents&) = delete;
  PeerEvents& operator=(const PeerEvents&) = delete;
  virtual ~PeerEvents() = default;

  /// Another host called. The receiver must call PeerPort::answer() with the same id.
  virtual void on_peer_request(PeerCallId call, PeerRequest request, TimePoint now) = 0;
  /// The host that sent an unanswered call has disconnected.
  virtual void on_peer_request_cancelled(PeerCallId call, TimePoint now) = 0;
  virtual void on_peer_answered(PeerCallId call, tl::expected<PeerResponse, PeerError> outcome, TimePoint now) = 0;
};

}  // namespace teaselrudder
