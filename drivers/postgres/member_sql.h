#pragma once

/// All SQL that this adapter itself sends to members. The functions must exist on each member in the schema
/// `teaselrudder` (docs/design.md, section 7.1).
namespace teaselrudder::member_sql {

inline constexpr char kBegin[] = "BEGIN";
inline constexpr char kBeginReadOnly[] = "BEGIN READ ONLY";
inline constexpr char kCommit[] = "COMMIT";
inline constexpr char kRollback[] = "ROLLBACK";
inline constexpr char kMemberStatus[] = "SELECT * FROM teaselrudder.member_status()";
inline constexpr char kRaiseTerm[] = "SELECT * FROM teaselrudder.raise_term($1, $2)";
inline constexpr char kPromote[] = "SELECT * FROM teaselrudder.promote($1, $2)";
inline constexpr char kFollow[] = "SELECT * FROM teaselrudder.follow($1, $2)";
inline constexpr char kRequireTerm[] = "SELECT teaselrudder.require_term($1)";
/// Fails with kDivisionByZero if the request id is already recorded. The error makes the member skip the statements
/// that follow in the same pipeline, so that a write needs no round trip between recording its id and its statements.
inline constexpr char kRecordRequest[] = "SELECT 1 / teaselrudder.record_request($1)::int";
inline constexpr char kVoidRequest[] = "SELECT teaselrudder.void_request($1)";

/// SQLSTATE with which require_term() fails on a member that is not the primary in the given term.
inline constexpr char kNotPrimaryInTerm[] = "TR001";
inline constexpr char kDivisionByZero[] = "22012";
inline constexpr char kTooManyConnections[] = "53300";
inline constexpr char kFeatureNotSupported[] = "0A000";
inline constexpr char kInvalidCharacter[] = "22021";
inline constexpr char kTooManyArguments[] = "54023";
inline constexpr char kActiveTransaction[] = "25001";
inline constexpr char kNoActiveTransaction[] = "25P01";
inline constexpr char kTransactionRolledBack[] = "40000";
inline constexpr char kCompletionUnknown[] = "40003";
inline constexpr char kResolutionUnknown[] = "08007";

}  // namespace teaselrudder::member_sql
