// Messages between the nodes. Fields may be added, never renumbered: nodes of
// two releases run side by side and skip fields that they do not know.

namespace py eelgrassmount.gen

struct Header {
  1: string name
  2: string value
}

// The request context between nodes. Times are durations in milliseconds.
struct Context {
  1: string root_id
  2: string call_id
  3: string parent_id
  4: string class_name
  5: i32 remaining_ms
  6: i32 attempts_left
  7: i32 tier
  8: i32 priority
  9: i32 depth
  10: bool idempotent
  11: string key
  12: string digest
}

enum Route {
  RUN = 0
  OWN = 1
}

// A call of a service. RUN asks the receiver to run it on its own backend
// server, OWN asks it as the owner of the key.
struct Call {
  1: Context context
  2: string service_name
  3: string method
  4: string path
  5: list<Header> headers
  6: binary body
  7: Route route
}

enum VerdictKind {
  ANSWERED = 0
  NOT_RUN = 1
  MAY_HAVE_RUN = 2
}

// Load of one service as its sender sees it.
struct ServiceLoad {
  1: string service_name
  2: i32 threshold
  3: i32 headroom
  4: i32 retry_after_ms
}

struct Outcome {
  1: string call_id
  2: VerdictKind kind
  3: string reason
  4: i32 retry_after_ms
  5: i32 status
  6: list<Header> headers
  7: binary body
  8: i32 attempts_left
  9: list<ServiceLoad> loads
}

struct Cancel {
  1: string call_id
}

enum CallState {
  UNKNOWN = 0
  PENDING = 1
  DONE = 2
}

// What became of a call. The receiver of a question about a call it has not
// seen remembers the id and never runs it: UNKNOWN means not run.
struct FateQuestion {
  1: string call_id
}

struct FateAnswer {
  1: string call_id
  2: CallState state
  3: Outcome outcome
}

struct Hello {
  1: string address
  2: string failure_domain
  3: string region
  4: string incarnation
  5: i32 release
}

// With an address, the receiver is asked to ping that node and to reply only
// when it answered.
struct Ping {
  1: i64 sequence
  2: string address
}

// One node as the members know it.
struct Member {
  1: string address
  2: string failure_domain
  3: string region
  4: string incarnation
  5: i64 heartbeat
  6: i32 state
  7: string service_name
  8: i32 server_state
  9: i32 headroom
  10: i64 started
  11: i32 threshold
}

// What one failure domain tells another about one service.
struct ServiceSummary {
  1: string failure_domain
  2: string service_name
  3: i64 sequence
  4: i32 servers
  5: i32 headroom
  6: list<string> addresses
  7: i32 threshold
}

// A digest asks for a reply. Buckets are digests of parts of what the sender
// knows; wanted names the parts that it asks for.
struct Gossip {
  1: list<Member> members
  2: list<ServiceSummary> summaries
  3: i64 config_version
  4: map<i32, i64> slot_versions
  5: list<QuarantineNote> quarantine
  6: i64 digest
  7: bool full
  8: list<i64> buckets
  9: list<i32> wanted
}

struct QuarantineNote {
  1: string digest
  2: i32 crashes
  3: i32 remaining_ms
  4: list<string> calls
  5: bool cleared
}

struct ConfigQuestion {
  1: i64 version
}

struct ConfigAnswer {
  1: i64 version
  2: binary body
  3: i64 offset
}

// A key of one slot, replicated from the slot's primary to its backup.
struct KeyMark {
  1: string key
  2: string digest
  3: i32 age_ms
  4: Outcome outcome
  5: string call_id
}

struct MarkQuestion {
  1: i32 slot
  2: i64 version
  3: list<KeyMark> marks
}

struct MarkAnswer {
  1: bool accepted
  2: i64 version
}

// The whole table of a slot, sent to a new backup or a successor.
struct SlotTransfer {
  1: i32 slot
  2: i64 version
  3: list<KeyMark> marks
  4: bool last
}

struct SlotView {
  1: i32 slot
  2: i64 version
  3: string primary
  4: string backup
  5: bool lost
}

// With the digest of the asker's views, which is compared with the one's own.
struct SlotQuestion {
  1: string failure_domain
  2: optional i64 digest
}

struct SlotAnswer {
  1: string failure_domain
  2: list<SlotView> views
  3: optional bool same
}

// Exactly one of the optional fields is set. A message with reply set answers
// the message of the same sequence number that went the other way.
struct Message {
  1: i64 sequence
  2: bool reply
  3: optional Hello hello
  4: optional Call call
  5: optional Outcome outcome
  6: optional Cancel cancel
  7: optional FateQuestion fate_question
  8: optional FateAnswer fate_answer
  9: optional Ping ping
  10: optional Gossip gossip
  11: optional ConfigQuestion config_question
  12: optional ConfigAnswer config_answer
  13: optional MarkQuestion mark_question
  14: optional MarkAnswer mark_answer
  15: optional SlotTransfer slot_transfer
  16: optional SlotQuestion slot_question
  17: optional SlotAnswer slot_answer
}

// Frames between the nodes of a deployment that runs beside its backend servers.
// Each travels behind a length and a byte that names its kind.

// What a server has said about itself. ``started_ms`` is 0 if it is not known, and
// ``rate_limit``, in requests a second, is absent without a limit.
struct ServerNotice {
  1: string identity
  2: i64 started_ms
  3: bool leaving
  4: optional double rate_limit
}

// The first frame of a link, in both directions. ``notice`` is about the server of the
// node that accepts the link, which may have forgotten it in a restart.
struct RelayHello {
  1: string node_name
  2: string incarnation
  3: string service_name
  4: i64 config_version
  5: string address
  6: string failure_domain
  7: optional ServerNotice notice
}

// A call to run on the receiver's backend server. ``head`` is the block of headers
// that the server gets; ``resumed`` marks a call that went out on a link that broke,
// to the receiver's ``incarnation``.
struct RelayCall {
  1: i64 sequence
  2: string request_id
  3: string route_name
  4: string service_name
  5: string caller_service
  6: i32 remaining_ms
  // of the request of a client that the call belongs to; 0 is refused last
  7: i32 priority
  8: bool idempotent
  9: bool resumed
  10: string method
  11: string target
  12: binary head
  13: binary body
  15: string incarnation
  // whether a running server made the call
  16: bool inner
  // whether a run that leads to the call was a repeat
  17: bool repeated
  // runs that the request still needs, as far as is known, this one included
  18: i32 left
  // whether another node has refused the call and counted it
  19: bool asked_before
  // whether an earlier sending of the call may have reached a server
  20: bool again
}

enum RelayOutcome {
  ANSWERED = 0
  NOT_RUN = 1
  MAY_HAVE_RUN = 2
}

struct RelayReply {
  1: i64 sequence
  2: i32 outcome
  3: string reason
  4: i32 status
  5: binary head
  6: binary body
  7: i32 in_flight
  8: i32 queued
  // of a call refused by a rate limit: when it could start; absent on other replies
  9: optional i32 wait_ms
  // of a queued call that is moved: the node whose server has a free slot for it
  10: optional string moved_to
}

struct RelayCancel {
  1: i64 sequence
}

// Mean duration of a route's runs on one server, in milliseconds.
struct RouteTime {
  1: string route_name
  2: double run_ms
}

// How many calls of another route one run of a route makes.
struct RouteCalls {
  1: string run_route
  2: string called_route
  3: double calls_per_run
}

// How often a route has lately been asked for on one VM, by clients and server.
struct RouteCount {
  1: string route_name
  2: double count
}

// What a node tells the nodes that send it calls. ``demand`` is the work that
// arrives at its server as a part of what it can do, in thousandths, and ``wait`` the
// mean wait at its gate as a part of what is allowed there, in thousandths.
// The part of its calls that a server rejects, and the requests by which retries are
// limited, in each part of the last two windows, the latest first.
struct ServerRejections {
  1: i32 rejected_ppm
  2: list<i32> requests
}

struct RelayReport {
  1: bool accepting
  2: i32 in_flight
  3: i32 queued
  4: i32 limit
  5: i32 demand
  6: i64 config_version
  7: list<RouteTime> times
  8: list<RouteCalls> calls
  9: i32 failures_ppm
  10: list<RouteCount> counts
  11: i32 wait
  // runs that failed as a call of theirs did, in parts of a million
  12: i32 lost_ppm
  // the part of ``limit`` that a rate limit of the server leaves; absent without one
  13: optional double usable_slots
  14: optional ServerNotice notice
  // absent while the server rejects no calls
  15: optional ServerRejections rejections
}

struct RelaySuspects {
  1: string crash_id
  2: list<string> digests
}

struct RelayConfigRequest {
  1: i64 known_version
}

struct RelayConfig {
  1: i64 version
  2: binary document
  // of the sender
  3: optional string node_name
}

// How often routes were asked for on the VMs of one service, on all together.
struct ServiceCounts {
  1: string service_name
  2: i32 nodes
  3: list<RouteCount> counts
}

// Requests a second of one route and rank that clients offer.
struct OfferedRate {
  1: string route_name
  2: i32 rank
  3: double rate
}

// Requests a second of one route and rank that a group of callers offers.
struct GroupRate {
  1: string route_name
  2: i32 rank
  3: string group
  4: double rate
}

// Counts of one or more nodes, added up. ``offered`` holds requests of clients a
// second, ``runs`` the runs of servers by route, and ``calls`` all calls of those runs,
// not those of one. ``groups`` holds the heaviest groups of callers; absent without any.
struct RelayTally {
  1: i32 nodes
  2: list<OfferedRate> offered
  3: list<ServiceCounts> asked
  4: list<RouteCount> runs
  5: list<RouteCalls> calls
  6: optional list<GroupRate> groups
}

// A record of the nodes' topic of the log; one without a value drops its key.
struct RelayRecord {
  1: string key
  2: binary value
  3: i64 offset
}

// Asks a node that reads the log for its news, again from time to time.
// ``next_offset`` is where the records of the sender end; ``tally`` holds its counts.
struct RelaySubscribe {
  1: string node_name
  2: string failure_domain
  3: i64 next_offset
  4: RelayTally tally
  // whether the sender asks for counts; its own go along then
  5: bool with_counts
  // of the log, in which the offset counts; -1 if it is not known
  6: i64 era
  // by the clock of the sender, for the answer
  7: optional i64 sent_ms
}

// What a node that reads the log knows: whether it can read it, or hears from one
// that can, the records from the offset that it was asked for, and the counts of all
// nodes (to nodes of its failure domain) or those of its failure domain (to others).
// ``request_ms`` is ``sent_ms`` of the latest request.  When the news are sent, the
// sender knows all records that the log accepted more than ``log_age_ms`` ago.
struct RelayNews {
  1: string node_name
  2: bool reads
  3: bool hears
  4: i64 config_version
  5: i64 next_offset
  6: list<RelayRecord> records
  7: RelayTally tally
  8: i64 era
  9: optional i64 request_ms
  10: optional i64 log_age_ms
}

// Requests of one team that a node has let begin without asking, less those that it
// gives back, and those that it asks for.
struct QuotaUse {
  1: string team_name
  2: i32 used
  3: i32 wanted
}

// A node's question to a holder of quotas, also without any use: the sender lends its
// part of all quotas to ``holders``, which are none where it lends it elsewhere.
struct RelayQuotaAsk {
  1: string node_name
  2: i64 number
  3: list<string> holders
  4: list<QuotaUse> uses
}

// What a holder answers on one team: how many of the ``wanted`` requests may begin, and
// after how many seconds another may, and each further one. While it is ``free``, the
// node needs not ask.
struct QuotaGrant {
  1: string team_name
  2: i32 wanted
  3: i32 granted
  4: bool free
  5: double wait_s
  6: double gap_s
}

// The answer to the question of this number; 0 where there was none.
struct RelayQuotaGrants {
  1: string node_name
  2: i64 number
  3: list<QuotaGrant> grants
}

// Asks another holder for requests of a team's quota, also for parts of one.
struct RelayQuotaBorrow {
  1: string node_name
  2: i64 number
  3: string team_name
  4: double wanted
}

// Hands requests over to another holder, which are the sender's no longer.
struct RelayQuotaLoan {
  1: string node_name
  2: i64 number
  3: double amount
}

// Offers free slots of a server to a node with queued calls for the same service.
struct RelaySlotOffer {
  1: string node_name
  2: string service_name
  3: i32 slots
}

// The record of a node in the deployment's topic.
struct NodeRecord {
  1: string node_name
  2: string address
  3: string failure_domain
  4: string service_name
}

// The record of what all nodes have learned of the calls that runs make, for nodes
// that start when nobody is there to ask.
struct LearnedRecord {
  1: list<RouteCalls> calls
}
