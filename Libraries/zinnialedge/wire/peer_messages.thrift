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
    7: string idempotencyKey;
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
}

struct RelayedError {
    1: required string kind;
    2: required string message;
    3: optional i64 retryAfterMilliseconds;
}

/// Exactly one of the fields after `call` is set.
struct PeerMessage {
    /// Pairs an answer with its query on one connection.
    1: required i64 call;
    2: optional RelayedQuery query;
    3: optional RelayedAnswer answer;
    4: optional RelayedError error;
}
