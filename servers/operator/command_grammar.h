#pragma once

#include <tao/pegtl.hpp>
#include <tao/pegtl/contrib/uri.hpp>

// PEG grammar of the command language, see docs/operators/language.md. A rule used with Must has a member `kExpected`,
// which becomes part of the error if the rule does not match.
namespace teaselrudder::grammar {

namespace pegtl = tao::pegtl;

struct NameCharacter : pegtl::sor<pegtl::alnum, pegtl::one<'_', '-', '.'>> {};
struct Comment : pegtl::seq<pegtl::two<'-'>, pegtl::until<pegtl::eolf>> {};
struct Skip : pegtl::star<pegtl::sor<pegtl::space, Comment>> {};

/// A case-insensitive keyword. The lookahead makes errors point at the beginning of the word.
template <typename Text>
struct Word : pegtl::seq<pegtl::at<Text, pegtl::not_at<NameCharacter>>, Text, Skip> {};

/// Raises an error with Rule::kExpected if `Rule` does not match.
template <typename Rule>
using Must = pegtl::must<Rule>;

struct NameText : pegtl::seq<pegtl::sor<pegtl::alnum, pegtl::one<'_'>>, pegtl::star<NameCharacter>> {};
struct Name : pegtl::seq<NameText, Skip> {
  static constexpr const char* kExpected = "a name";
};
struct NumberText : pegtl::plus<pegtl::digit> {};
struct Number : pegtl::seq<pegtl::at<NumberText, pegtl::not_at<NameCharacter>>, NumberText, Skip> {
  static constexpr const char* kExpected = "a number";
};
struct DurationUnit
    : pegtl::sor<TAO_PEGTL_ISTRING("ms"), TAO_PEGTL_ISTRING("s"), TAO_PEGTL_ISTRING("m"), TAO_PEGTL_ISTRING("h")> {};
struct DurationText : pegtl::seq<NumberText, DurationUnit> {};
struct DurationValue : pegtl::seq<pegtl::at<DurationText, pegtl::not_at<NameCharacter>>, DurationText, Skip> {
  static constexpr const char* kExpected = "a duration such as 500ms, 10s, 5m or 1h";
};
struct IpText
    : pegtl::sor<pegtl::uri::IPv4address, pegtl::seq<pegtl::one<'['>, pegtl::uri::IPv6address, pegtl::one<']'>>> {};
struct PortText : NumberText {};
struct EndpointForm : pegtl::seq<IpText, pegtl::one<':'>, PortText, pegtl::not_at<NameCharacter>> {};
struct EndpointValue : pegtl::seq<pegtl::at<EndpointForm>, EndpointForm, Skip> {
  static constexpr const char* kExpected = "an IP address and a port, such as 127.0.0.1:5432 or [::1]:5432";
};
struct YesNoText : pegtl::sor<TAO_PEGTL_ISTRING("yes"), TAO_PEGTL_ISTRING("no")> {};
struct YesNo : pegtl::seq<pegtl::at<YesNoText, pegtl::not_at<NameCharacter>>, YesNoText, Skip> {
  static constexpr const char* kExpected = "yes or no";
};
struct FreshnessText
    : pegtl::sor<TAO_PEGTL_ISTRING("fresh"), TAO_PEGTL_ISTRING("own_writes"), TAO_PEGTL_ISTRING("max_age")> {};
struct FreshnessValue : pegtl::seq<pegtl::at<FreshnessText, pegtl::not_at<NameCharacter>>, FreshnessText, Skip> {
  static constexpr const char* kExpected = "fresh, own_writes or max_age";
};
struct UrgencyText
    : pegtl::sor<TAO_PEGTL_ISTRING("urgent"), TAO_PEGTL_ISTRING("normal"), TAO_PEGTL_ISTRING("background")> {};
struct UrgencyValue : pegtl::seq<pegtl::at<UrgencyText, pegtl::not_at<NameCharacter>>, UrgencyText, Skip> {
  static constexpr const char* kExpected = "urgent, normal or background";
};

// SET GROUP
struct MemberName : Name {};
struct At : pegtl::seq<Word<TAO_PEGTL_ISTRING("at")>, Must<EndpointValue>> {};
struct DomainName : Name {};
struct In : pegtl::seq<Word<TAO_PEGTL_ISTRING("in")>, Must<DomainName>> {};
struct SlotCount : Number {};
struct Slots : pegtl::seq<Word<TAO_PEGTL_ISTRING("slots")>, Must<SlotCount>> {};
struct ConnectionCount : Number {};
struct Connections : pegtl::seq<Word<TAO_PEGTL_ISTRING("connections")>, Must<ConnectionCount>> {};
struct MemberOption : pegtl::sor<At, In, Slots, Connections> {};
struct Member : pegtl::seq<Word<TAO_PEGTL_ISTRING("member")>, Must<MemberName>, pegtl::star<MemberOption>> {};
struct Members : pegtl::plus<Member> {
  static constexpr const char* kExpected = "MEMBER";
};
struct SetGroupName : Name {};
struct SetGroupRule : pegtl::seq<Word<TAO_PEGTL_ISTRING("group")>, Must<SetGroupName>, Must<Members>> {};

// SET SERVICE
struct ServiceGroup : Name {};
struct ServiceMaxAge : DurationValue {};
struct ServiceIdempotent : YesNo {};
struct ServiceReadOnly : YesNo {};
struct ServiceDeadline : DurationValue {};
struct ServiceInFlight : Number {};
struct ServiceOption : pegtl::sor<pegtl::seq<Word<TAO_PEGTL_ISTRING("group")>, Must<ServiceGroup>>,
                                  pegtl::seq<Word<TAO_PEGTL_ISTRING("freshness")>, Must<FreshnessValue>>,
                                  pegtl::seq<Word<TAO_PEGTL_ISTRING("max_age")>, Must<ServiceMaxAge>>,
                                  pegtl::seq<Word<TAO_PEGTL_ISTRING("urgency")>, Must<UrgencyValue>>,
                                  pegtl::seq<Word<TAO_PEGTL_ISTRING("idempotent")>, Must<ServiceIdempotent>>,
                                  pegtl::seq<Word<TAO_PEGTL_ISTRING("read_only")>, Must<ServiceReadOnly>>,
                                  pegtl::seq<Word<TAO_PEGTL_ISTRING("deadline")>, Must<ServiceDeadline>>,
                                  pegtl::seq<Word<TAO_PEGTL_ISTRING("max_in_flight")>, Must<ServiceInFlight>>> {};
struct ServiceOptions : pegtl::plus<ServiceOption> {
  static constexpr const char* kExpected =
      "GROUP, FRESHNESS, MAX_AGE, URGENCY, IDEMPOTENT, READ_ONLY, DEADLINE or MAX_IN_FLIGHT";
};
struct SetServiceName : Name {};
struct SetServiceRule : pegtl::seq<Word<TAO_PEGTL_ISTRING("service")>, Must<SetServiceName>, Must<ServiceOptions>> {};

struct SetTarget : pegtl::sor<SetGroupRule, SetServiceRule> {
  static constexpr const char* kExpected = "GROUP or SERVICE";
};
struct Set : pegtl::seq<Word<TAO_PEGTL_ISTRING("set")>, Must<SetTarget>> {};

// DROP
struct DropGroupName : Name {};
struct DropServiceName : Name {};
struct DropTarget : pegtl::sor<pegtl::seq<Word<TAO_PEGTL_ISTRING("group")>, Must<DropGroupName>>,
                               pegtl::seq<Word<TAO_PEGTL_ISTRING("service")>, Must<DropServiceName>>> {
  static constexpr const char* kExpected = "GROUP or SERVICE";
};
struct Drop : pegtl::seq<Word<TAO_PEGTL_ISTRING("drop")>, Must<DropTarget>> {};

// DRAIN and UNDRAIN
struct DrainHostName : Name {};
struct DrainDomainName : Name {};
struct DrainGroupText : NameText {};
struct DrainMemberText : NameText {};
struct UpstreamForm : pegtl::seq<DrainGroupText, pegtl::one<'/'>, DrainMemberText> {};
struct DrainUpstreamName : pegtl::seq<pegtl::at<UpstreamForm>, UpstreamForm, Skip> {
  static constexpr const char* kExpected = "a group and a member, such as g1/m1";
};
struct DrainTarget : pegtl::sor<pegtl::seq<Word<TAO_PEGTL_ISTRING("host")>, Must<DrainHostName>>,
                                pegtl::seq<Word<TAO_PEGTL_ISTRING("upstream")>, Must<DrainUpstreamName>>,
                                pegtl::seq<Word<TAO_PEGTL_ISTRING("domain")>, Must<DrainDomainName>>> {
  static constexpr const char* kExpected = "HOST, UPSTREAM or DOMAIN";
};
struct DrainWord : Word<TAO_PEGTL_ISTRING("drain")> {};
struct UndrainWord : Word<TAO_PEGTL_ISTRING("undrain")> {};
struct Drain : pegtl::seq<pegtl::sor<DrainWord, UndrainWord>, Must<DrainTarget>> {};

// SHOW
struct ShowText : pegtl::sor<TAO_PEGTL_ISTRING("hosts"), TAO_PEGTL_ISTRING("groups"), TAO_PEGTL_ISTRING("upstreams"),
                             TAO_PEGTL_ISTRING("services"), TAO_PEGTL_ISTRING("queues"), TAO_PEGTL_ISTRING("refusals"),
                             TAO_PEGTL_ISTRING("retries"), TAO_PEGTL_ISTRING("configuration"),
                             TAO_PEGTL_ISTRING("versions"), TAO_PEGTL_ISTRING("decisions")> {};
struct ShowWhat : pegtl::seq<pegtl::at<ShowText, pegtl::not_at<NameCharacter>>, ShowText, Skip> {
  static constexpr const char* kExpected =
      "HOSTS, GROUPS, UPSTREAMS, SERVICES, QUEUES, REFUSALS, RETRIES, CONFIGURATION, VERSIONS or DECISIONS";
};
struct QuotedCharacter : pegtl::sor<pegtl::two<'\''>, pegtl::not_one<'\''>> {};
struct QuotedText : pegtl::star<QuotedCharacter> {};
struct Quoted : pegtl::seq<pegtl::one<'\''>, QuotedText, pegtl::one<'\''>> {};
struct PlainText : pegtl::plus<pegtl::sor<NameCharacter, pegtl::one<':', '/', '[', ']'>>> {};
struct Value : pegtl::seq<pegtl::at<pegtl::sor<Quoted, PlainText>>, pegtl::sor<Quoted, PlainText>, Skip> {
  static constexpr const char* kExpected = "a value or a text in single quotes";
};
struct OfValue : Value {};
struct Of : pegtl::seq<Word<TAO_PEGTL_ISTRING("of")>, Must<OfValue>> {};
struct WhereColumn : Name {
  static constexpr const char* kExpected = "a column";
};
struct Equals : pegtl::seq<pegtl::one<'='>, Skip> {
  static constexpr const char* kExpected = "=";
};
struct WhereValue : Value {};
struct Where : pegtl::seq<Word<TAO_PEGTL_ISTRING("where")>, Must<WhereColumn>, Must<Equals>, Must<WhereValue>> {};
struct Semicolon : pegtl::seq<pegtl::one<';'>, Skip> {};
struct QueryEnd : pegtl::at<pegtl::eof> {
  static constexpr const char* kExpected = "OF, WHERE or the end of the command; a query is a command of its own";
};
struct Show : pegtl::seq<Word<TAO_PEGTL_ISTRING("show")>, Must<ShowWhat>, pegtl::opt<Of>, pegtl::opt<Where>,
                         pegtl::opt<Semicolon>, Must<QueryEnd>> {};

// Commands
struct BasedOnVersion : Number {};
struct OnWord : Word<TAO_PEGTL_ISTRING("on")> {
  static constexpr const char* kExpected = "ON";
};
struct VersionWord : Word<TAO_PEGTL_ISTRING("version")> {
  static constexpr const char* kExpected = "VERSION";
};
struct BasedOn : pegtl::seq<Word<TAO_PEGTL_ISTRING("based")>, Must<OnWord>, Must<VersionWord>, Must<BasedOnVersion>> {};
struct ChangeStart : pegtl::at<NameCharacter> {};
struct Change : pegtl::seq<ChangeStart, pegtl::sor<Set, Drop, Drain>> {
  static constexpr const char* kExpected = "SET, DROP, DRAIN or UNDRAIN";
};
struct End : pegtl::eof {
  static constexpr const char* kExpected = "';' or the end of the command";
};
struct LaterChange : pegtl::seq<Semicolon, pegtl::not_at<pegtl::eof>, Must<Change>> {};
struct Changes : pegtl::seq<Change, pegtl::star<LaterChange>> {};
struct BasedChanges : pegtl::seq<BasedOn, Must<Change>, pegtl::star<LaterChange>> {};
struct Statement : pegtl::sor<Show, BasedChanges, Changes> {
  static constexpr const char* kExpected = "SHOW, SET, DROP, DRAIN, UNDRAIN or BASED ON VERSION";
};
struct CommandRule : pegtl::seq<Skip, Must<Statement>, pegtl::opt<Semicolon>, Must<End>> {};

}  // namespace teaselrudder::grammar
