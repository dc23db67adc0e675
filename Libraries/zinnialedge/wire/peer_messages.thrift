// Messages between daemons, encoded in the Thrift compact protocol. Over TCP, each message is preceded by its length as
// a 32-bit big-endian integer. `Meta/generate-thrift` generates the code in generated/ from this file.

namespace cpp zinnialedge.wire.generated

/// A complete query that one daemon relays to another daemon for execution.
struct RelayedQuery {
    1: required string id;
    2: required string serviceName;
    3: required string requestKind;
    4: string key;
    5: string body;
    6: string ticket;
    /// Time that remains until the deadline.
    8: required i64 deadlineMilliseconds;
}

struct RelayedRow {
    1: required string key;
    2: required string value;
}

struct MissingShard {
    1: required i32 shard;
    2: required i32 reason;
}

struct RelayedAnswer {
    1: required string id;
    2: required i64 epoch;
    3: required i64 version;
    4: required i32 shardsAsked;
    5: required i32 shardsAnswered;
    6: list<MissingShard> missing;
    7: list<RelayedRow> rows;
    8: bool isRemembered;
    9: bool isCutOff;
}

struct RelayedError {
    1: required string kind;
    2: required string message;
    3: optional i64 retryAfterMilliseconds;
}

/// One object of the platform's store that one daemon sends to another.
struct PushedObject {
    1: required string key;
    2: required i64 version;
    /// Content of the object; missing when the object was deleted at this version.
    3: optional string body;
}

struct KnownVersion {
    1: required string key;
    2: required i64 version;
}

struct Place {
    1: required string address;
    2: required i32 port;
}

/// Requests all objects in a key range that are newer than the versions known to the sender. The receiver sends each of
/// these objects as a PushedObject.
struct ObjectsAsked {
    1: required Place replyTo;
    /// Exclusive lower bound of the key range.
    2: string after;
    /// Versions known to the sender, in ascending order of their keys. The last key is the inclusive upper bound of the range.
    3: list<KnownVersion> known;
    /// True when the key range has no upper bound.
    4: bool isLastPage;
}

/// Envelope of every message over TCP. Exactly one of the fields after `call` is set.
struct PeerMessage {
    /// Identifier that matches an answer or error to its query on one connection.
    1: required i64 call;
    2: optional RelayedQuery query;
    3: optional RelayedAnswer answer;
    4: optional RelayedError error;
    5: optional PushedObject pushed;
    6: optional ObjectsAsked asked;
}

/// Membership state that one daemon reports about another daemon or about itself.
struct MemberUpdate {
    1: required string name;
    2: required i64 incarnation;
    3: required i32 version;
    4: required i32 status;
    /// This field and all later fields are missing when the status is suspect or dead.
    5: optional string partner;
    6: optional string region;
    7: optional string dataCentre;
    8: optional Place callers;
    9: optional Place peers;
    /// True while the member has lost its links to all leafs.
    10: bool reachesNoLeafs;
    /// Processor share of the member's VM, in cores. Missing when the member does not know it or is of an earlier version.
    11: optional double strength;
}

/// Loss of a leaf while it ran a request. Times are ages at the time of sending.
struct LeafLoss {
    1: required i64 leaf;
    2: required i64 sentMicrosecondsAgo;
    3: required i64 lostMicrosecondsAgo;
    /// True when the leaf has replied since.
    4: bool isRefuted;
}

/// Request under which leafs were lost.
struct SuspectRequest {
    1: required binary digest;
    2: list<LeafLoss> losses;
    3: optional i64 triedMicrosecondsAgo;
    4: optional i64 clearedMicrosecondsAgo;
    /// Number of calls that tried the request again and ended with neither a reply nor a loss.
    5: i32 unansweredTrialCount;
}

/// Requests of one tenant that the sender has accepted since its start.
struct TenantUsage {
    1: required string tenant;
    2: required i64 count;
    /// Number of requests that all daemons together may accept at once, as far as the sender knows.
    3: required double level;
}

/// Usage reports of one daemon that the sender has merged.
struct UsageAcknowledgement {
    /// Hash of the daemon's name.
    1: required i64 member;
    2: required i64 sequence;
    /// Bit i is set when the report with the sequence number `sequence` - 1 - i was merged.
    3: i64 earlierReports;
}

/// Report of the requests that count towards the quotas of tenants.
struct UsageReport {
    1: required i64 sequence;
    2: required i64 ageMs;
    3: bool isAnswerWanted;
    4: bool areLevelsWanted;
    5: bool isEnding;
    6: list<TenantUsage> usages;
    7: list<UsageAcknowledgement> acknowledgements;
}

/// One UDP datagram that a daemon sends to another daemon.
struct MembershipDatagram {
    1: required i32 kind;
    2: required i64 sequence;
    3: required MemberUpdate sender;
    4: required i64 configurationDigest;
    /// Name of the daemon to ping, of the daemon that an acknowledgement is about, or, in a page of members, the exclusive
    /// lower bound of the names in the page.
    5: string subject;
    6: optional Place subjectPlace;
    7: list<MemberUpdate> updates;
    8: bool isLastPage;
    9: list<SuspectRequest> suspects;
    10: optional UsageReport usage;
}
