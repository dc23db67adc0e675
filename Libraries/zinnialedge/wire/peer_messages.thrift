// The messages between daemons, in Thrift's compact protocol. A message over TCP is preceded by its length in four
// bytes, most significant first. `Meta/generate-thrift` makes the code in generated/ from this file.

namespace cpp zinnialedge.wire.generated

/// A whole query that another daemon must run.
struct RelayedQuery {
    1: required string id;
    2: required string serviceName;
    3: required string requestKind;
    4: string key;
    5: string body;
    6: string ticket;
    /// What is left of the deadline.
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

/// One object of the platform's store, told by one daemon to another.
struct PushedObject {
    1: required string key;
    2: required i64 version;
    /// Missing when the object was deleted at that version.
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

/// Asks for the objects of a range of keys that are newer than the ones known. They come as pushed objects.
struct ObjectsAsked {
    1: required Place replyTo;
    /// The range begins after this key.
    2: string after;
    /// In the order of their keys; the range ends with the last of them.
    3: list<KnownVersion> known;
    /// The range has no end.
    4: bool isLastPage;
}

/// Exactly one of the fields after `call` is set.
struct PeerMessage {
    /// Pairs an answer with its query on one connection.
    1: required i64 call;
    2: optional RelayedQuery query;
    3: optional RelayedAnswer answer;
    4: optional RelayedError error;
    5: optional PushedObject pushed;
    6: optional ObjectsAsked asked;
}

/// What one daemon says of another, or of itself.
struct MemberUpdate {
    1: required string name;
    2: required i64 incarnation;
    3: required i32 version;
    4: required i32 status;
    /// The rest is missing when the status is suspect or dead.
    5: optional string partner;
    6: optional string region;
    7: optional string dataCentre;
    8: optional Place callers;
    9: optional Place peers;
}

/// One UDP message between daemons.
struct MembershipDatagram {
    1: required i32 kind;
    2: required i64 sequence;
    3: required MemberUpdate sender;
    4: required i64 configurationDigest;
    /// Whom a ping is for, whom an acknowledgement speaks of, or after which name a page begins.
    5: string subject;
    6: optional Place subjectPlace;
    7: list<MemberUpdate> updates;
    8: bool isLastPage;
}
