#pragma once

#include <cstddef>
#include <string>

#include "core/ports/peer_port.h"
#include "drivers/rpc/peer_schema.h"
#include "tl/expected.hpp"

namespace teaselrudder {

/// Maximum size of a message between hosts in bytes. A configuration document of the maximum size fits into it.
inline constexpr std::size_t kMaxPeerMessageBytes = std::size_t{1} << 20;
/// Number of bytes by which a received message may exceed kMaxPeerMessageBytes, for the framing of the RPC protocol.
inline constexpr std::size_t kPeerFramingBytes = std::size_t{64} << 10;
/// Maximum lengths of lists in messages. The limits for parameters and columns are those of PostgreSQL; the others are
/// far above regular use, and kMaxPeerMessageBytes limits the lists further.
inline constexpr std::size_t kMaxPeerStatements = 1024;
inline constexpr std::size_t kMaxPeerParameters = 65535;
inline constexpr std::size_t kMaxPeerColumns = 1664;
inline constexpr std::size_t kMaxPeerRows = 65536;
inline constexpr std::size_t kMaxPeerHostRecords = 1024;
/// Maximum length of a transaction handle and of a request id in bytes.
inline constexpr std::size_t kMaxPeerHandleLength = 256;
/// Maximum length of the detail text of a refusal in bytes. The encoder truncates longer texts.
inline constexpr std::size_t kMaxPeerDetailLength = 1024;
/// Highest hop count that the decoder accepts. The limit on forwarding is much lower and enforced by the servers.
inline constexpr std::uint32_t kMaxPeerHops = 255;
/// Highest valid term: members store terms as signed 64-bit integers.
inline constexpr std::uint64_t kMaxPeerTerm = (std::uint64_t{1} << 63) - 1;

/// Reasons why a message is rejected.
enum class PeerCodecErrorKind {
  kMalformed,     // The message is truncated or its pointers are inconsistent.
  kUnknownValue,  // An enum or union has a value that this version does not know.
  kListTooLong,   // A list exceeds its maximum length.
  kInvalidText,   // A name or text is empty, too long or not in the required format.
  kInvalidTerm,   // A term is out of range, or a log position has no term.
  kOutOfRange,    // A number is out of range.
};

/// Describes why a message was rejected. `message` names the invalid field.
struct PeerCodecError {
  PeerCodecErrorKind kind = PeerCodecErrorKind::kMalformed;
  std::string message;
};

/// Encodes a message. The encoder does not check the limits above; the decoder at the receiver rejects values that
/// exceed them. Two values are adjusted: the detail of a refusal is truncated, and a negative remaining time becomes
/// zero.
void encode_message(const RequestEnvelope& from, rpc::RequestEnvelope::Builder to);
void encode_message(const Probe& from, rpc::ProbeMessage::Builder to);
void encode_message(const SuspicionQuery& from, rpc::SuspicionQuery::Builder to);
void encode_message(const FetchConfiguration& from, rpc::ConfigurationQuery::Builder to);
void encode_message(const SubmitReply& from, rpc::AnswerEnvelope::Builder to);
void encode_message(const ProbeReply& from, rpc::ProbeReply::Builder to);
void encode_message(const SuspicionReply& from, rpc::SuspicionReply::Builder to);
void encode_message(const ConfigurationReply& from, rpc::ConfigurationSnapshot::Builder to);

/// Decodes a message and validates every field. Never throws.
tl::expected<PeerRequest, PeerCodecError> decode_message(rpc::RequestEnvelope::Reader from);
tl::expected<PeerRequest, PeerCodecError> decode_message(rpc::ProbeMessage::Reader from);
tl::expected<PeerRequest, PeerCodecError> decode_message(rpc::SuspicionQuery::Reader from);
tl::expected<PeerRequest, PeerCodecError> decode_message(rpc::ConfigurationQuery::Reader from);
tl::expected<PeerResponse, PeerCodecError> decode_message(rpc::AnswerEnvelope::Reader from);
tl::expected<PeerResponse, PeerCodecError> decode_message(rpc::ProbeReply::Reader from);
tl::expected<PeerResponse, PeerCodecError> decode_message(rpc::SuspicionReply::Reader from);
tl::expected<PeerResponse, PeerCodecError> decode_message(rpc::ConfigurationSnapshot::Reader from);

}  // namespace teaselrudder
