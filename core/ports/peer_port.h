#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/ids.h"
#include "core/request.h"
#include "tl/expected.hpp"

namespace teaselrudder {

/// State of a host as the other hosts see it. A later state wins over an earlier one of the same incarnation.
enum class HostState { kAlive, kSuspect, kLeaving, kDead };

/// What one host knows of a host.
struct HostRecord {
  HostId host;
  FailureDomainId failure_domain;
  Endpoint peer_endpoint;
  Incarnation incarnation;
  HostState state = HostState::kAlive;

  friend bool operator==(const HostRecord&, const HostRecord&) = default;
};

/// Asks a host to serve a request or a step of a transaction.
struct SubmitRequest {
  RequestEnvelope envelope;
};

/// Asks a host whether it is alive and exchanges knowledge of hosts.
struct Probe {
  HostRecord sender;
  ConfigurationVersion configuration_version;
  /// A bounded selection of what the sender knows.
  std::vector<HostRecord> records;
};

/// Asks an owner whether it suspects the primary of `term`.
struct SuspicionQuery {
  GroupId group;
  MemberId member;
  Term term;
};

/// Asks for the configuration if it is newer than `known`.
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
  /// False if the asked host does not monitor the group.
  bool monitored = false;
  /// True if the asked host has no recent report of the member.
  bool suspected = false;
  /// Highest term of which the asked host knows a primary.
  Term known_term;
};

/// Answer to FetchConfiguration.
struct ConfigurationReply {
  ConfigurationVersion version;
  /// The document in JSON; empty if the asker's version is not older.
  std::string document;
};

/// Answer of another host; the alternative follows from the call.
using PeerResponse = std::variant<SubmitReply, ProbeReply, SuspicionReply, ConfigurationReply>;

/// Kinds of failure of a call to another host.
enum class PeerErrorKind {
  kUnreachable,  // No connection came about; the call was not delivered.
  kLost,         // The connection broke after the call was sent.
  kTimeout,      // No answer came in time.
  kBadMessage,   // A message could not be decoded or exceeds its bound.
};

/// A failed call to another host.
struct PeerError {
  PeerErrorKind kind = PeerErrorKind::kUnreachable;
  /// False only if the other host certainly did not act on the call and never will.
  bool may_have_been_delivered = true;
  std::string message;
};

/// Calls between the hosts of this system. Results arrive as events of PeerEvents.
class PeerPort {
 public:
  PeerPort() = default;
  PeerPort(const PeerPort&) = delete;
  PeerPort& operator=(const PeerPort&) = delete;
  virtual ~PeerPort() = default;

  /// Calls the host at `peer`. One event on_peer_answered follows, at the latest after `timeout`.
  virtual void call(PeerCallId call, const Endpoint& peer, PeerRequest request, Duration timeout) = 0;

  /// Answers a call that came in with on_peer_request. An answer whose asker is gone is dropped.
  virtual void answer(PeerCallId call, PeerResponse response) = 0;
};

/// Receives calls of other hosts and answers to own calls.
class PeerEvents {
 public:
  PeerEvents() = default;
  PeerEvents(const PeerEvents&) = delete;
  PeerEvents& operator=(const PeerEvents&) = delete;
  virtual ~PeerEvents() = default;

  /// Another host calls; PeerPort::answer() with the same id must follow.
  virtual void on_peer_request(PeerCallId call, PeerRequest request, TimePoint now) = 0;
  /// The asker of an unanswered call is gone.
  virtual void on_peer_request_cancelled(PeerCallId call, TimePoint now) = 0;
  virtual void on_peer_answered(PeerCallId call, tl::expected<PeerResponse, PeerError> outcome, TimePoint now) = 0;
};

}  // namespace teaselrudder
