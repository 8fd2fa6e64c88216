#pragma once

#include <cstddef>
#include <string>

#include "core/ports/peer_port.h"
#include "drivers/rpc/peer_schema.h"
#include "tl/expected.hpp"

namespace teaselrudder {

/// Largest message between hosts, in bytes. It holds a configuration document of the largest size.
inline constexpr std::size_t kMaxPeerMessageBytes = std::size_t{1} << 20;
/// Bytes that a received message may have beyond kMaxPeerMessageBytes, for the framing of the RPC protocol.
inline constexpr std::size_t kPeerMessageSlackBytes = std::size_t{64} << 10;
/// Bounds on lists in messages. The parameter and column bounds are those of PostgreSQL; the others are far above
/// regular use, and the message size limits them further.
inline constexpr std::size_t kMaxPeerStatements = 1024;
inline constexpr std::size_t kMaxPeerParameters = 65535;
inline constexpr std::size_t kMaxPeerColumns = 1664;
inline constexpr std::size_t kMaxPeerRows = 65536;
inline constexpr std::size_t kMaxPeerHostRecords = 1024;
/// Longest transaction handle and request id, in bytes.
inline constexpr std::size_t kMaxPeerHandleLength = 256;
/// Longest detail of a refusal, in bytes. A longer one is cut when the message is written.
inline constexpr std::size_t kMaxPeerDetailLength = 1024;
/// Highest hop count that a message may state. The limit on forwards is enforced by the decision layers.
inline constexpr std::uint32_t kMaxPeerHops = 255;
/// Highest valid term: members keep terms as signed 64-bit numbers.
inline constexpr std::uint64_t kMaxPeerTerm = (std::uint64_t{1} << 63) - 1;

/// Kinds of fault of a message between hosts.
enum class PeerCodecErrorKind {
  kMalformed,     // The message is truncated or its pointers are inconsistent.
  kUnknownValue,  // An enumeration or union has a value that this version does not know.
  kListTooLong,   // A list exceeds its bound.
  kBadText,       // A name or text is empty, too long or not of the required form.
  kBadTerm,       // A term is out of range, or a position has no term.
  kOutOfRange,    // A number is out of range.
};

/// A message that was rejected, with the field at fault.
struct PeerCodecError {
  PeerCodecErrorKind kind = PeerCodecErrorKind::kMalformed;
  std::string message;
};

/// Writes a message. Values outside the bounds above are written as they are and rejected by the reader, except that
/// the detail of a refusal is cut and a negative remaining time becomes zero.
void encode_message(const RequestEnvelope& from, rpc::RequestEnvelope::Builder to);
void encode_message(const Probe& from, rpc::ProbeMessage::Builder to);
void encode_message(const SuspicionQuery& from, rpc::SuspicionQuery::Builder to);
void encode_message(const FetchConfiguration& from, rpc::ConfigurationQuery::Builder to);
void encode_message(const SubmitReply& from, rpc::AnswerEnvelope::Builder to);
void encode_message(const ProbeReply& from, rpc::ProbeReply::Builder to);
void encode_message(const SuspicionReply& from, rpc::SuspicionReply::Builder to);
void encode_message(const ConfigurationReply& from, rpc::ConfigurationSnapshot::Builder to);

/// Reads a message and checks every field. Never throws.
tl::expected<PeerRequest, PeerCodecError> decode_message(rpc::RequestEnvelope::Reader from);
tl::expected<PeerRequest, PeerCodecError> decode_message(rpc::ProbeMessage::Reader from);
tl::expected<PeerRequest, PeerCodecError> decode_message(rpc::SuspicionQuery::Reader from);
tl::expected<PeerRequest, PeerCodecError> decode_message(rpc::ConfigurationQuery::Reader from);
tl::expected<PeerResponse, PeerCodecError> decode_message(rpc::AnswerEnvelope::Reader from);
tl::expected<PeerResponse, PeerCodecError> decode_message(rpc::ProbeReply::Reader from);
tl::expected<PeerResponse, PeerCodecError> decode_message(rpc::SuspicionReply::Reader from);
tl::expected<PeerResponse, PeerCodecError> decode_message(rpc::ConfigurationSnapshot::Reader from);

}  // namespace teaselrudder
