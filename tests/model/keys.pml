/* Model of at most one run per key: one slot, one key, three nodes.
 *
 * A frozen, slow or dead node takes no steps, so these states are not modelled
 * separately. Suspicions are not modelled either: each node may propose a new
 * view at any time. Messages may be lost, delayed and reordered. Proposals reach
 * the log at any later time, or never.
 */

#ifndef VIEWS
#define VIEWS 3		/* accepted views, including the first */
#endif
#ifndef SENDINGS
#define SENDINGS 2	/* attempts of the key by the client */
#endif
#ifndef MESSAGES
#define MESSAGES 2	/* messages in transit at the same time */
#endif
#ifndef PROPOSALS
#define PROPOSALS 1	/* proposals in transit to the log at the same time */
#endif
#ifndef TRIES
#define TRIES 2		/* proposals written in total */
#endif

#define NODES 3
#define NOBODY 3

/* state of the key in a node's table */
#define NONE 0
#define MARKED 1
#define RUNNING 2
#define ELSEWHERE 3
#define DONE 4

/* messages */
#define MARK 1
#define ACK 2
#define FREED 3
#define RESULT 4
#define COPY 5
#define COPIED 6

typedef View { byte primary; byte backup; bool lost };
typedef Node {
	byte version;
	bool synced; bool opened;
	bool stalled; bool lone;
	byte stage; byte mark; byte runner;
	bool ran;		/* the run has reached the backend server */
	bool seen;		/* the key had run when the current attempt arrived */
	byte full_asked;	/* number of the open view check, 0 if none */
};
typedef Message { byte kind; byte from; byte to; byte version; byte stage; byte mark; byte runner };
typedef Proposal { bool used; byte base; byte primary; byte backup; bool lost };

View view[VIEWS];
byte current;
Node node[NODES];
Message message[MESSAGES];
Proposal proposal[PROPOSALS];
byte marks;
byte sent;
byte tries;
byte runs;
bool retired;

#define is_primary(n) (view[node[n].version].primary == n)
#define is_backup(n) (view[node[n].version].backup == n)
#define partner(n) view[node[n].version].backup
#define waiting(n) (view[node[n].version].lost && !node[n].opened)

/* used inside atomic steps only */
hidden byte i, x, v, w, other;
hidden byte kept;

inline find_other(n)
{
	if
	:: is_primary(n) -> other = partner(n)
	:: else -> other = view[node[n].version].primary
	fi
}

inline clear(slot)
{
	message[slot].kind = 0; message[slot].from = 0; message[slot].to = 0;
	message[slot].version = 0; message[slot].stage = 0; message[slot].mark = 0;
	message[slot].runner = 0
}

inline send(what, source, target, state, number, holder)
{
	if
	:: target != NOBODY && target != source ->
		i = 0;
		do
		:: i < MESSAGES && message[i].kind -> i++
		:: else -> break
		od;
		if
		:: i < MESSAGES ->
			message[i].kind = what; message[i].from = source; message[i].to = target;
			message[i].version = node[source].version;
			message[i].stage = state; message[i].mark = number; message[i].runner = holder
		:: else		/* lost */
		fi
	:: else
	fi
}

inline forget(n)
{
	node[n].stage = NONE; node[n].mark = 0; node[n].runner = 0; node[n].seen = 0
}

/* adopt_view */
inline adopt(n, target)
{
	kept = is_primary(n) && view[node[n].version].lost && node[n].opened;
	node[n].version = target;
	node[n].synced = 0; node[n].lone = 0; node[n].full_asked = 0;
	if
	:: is_primary(n) ->
		node[n].synced = (partner(n) == NOBODY);
#ifdef MISTAKE_LOST_OPENS
		node[n].opened = 1
#else
		node[n].opened = (view[target].lost && kept)
#endif
#ifdef MISTAKE_NO_TABLE
		; if :: node[n].stage == ELSEWHERE || node[n].stage == DONE -> forget(n) :: else fi
#endif
	:: else ->
		node[n].opened = 0;
		if
		:: !is_backup(n) && node[n].stage != MARKED && node[n].stage != RUNNING -> forget(n)
		:: else
		fi
	fi
}

inline propose(basis, first, second, loss)
{
	i = 0;
	do
	:: i < PROPOSALS && proposal[i].used -> i++
	:: else -> break
	od;
	proposal[i].used = 1; proposal[i].base = basis; proposal[i].primary = first;
	proposal[i].backup = second; proposal[i].lost = loss;
	tries++
}

/* frees a mark: the call was not run under it */
inline give_up(n)
{
	find_other(n);
	send(FREED, n, other, NONE, node[n].mark, n);
	forget(n)
}

#if MESSAGES == 1
#define copying(n) (message[0].kind == COPY)
#else
#define copying(n) (message[0].kind == COPY || message[1].kind == COPY)
#endif
#define can_propose (tries < TRIES && !proposal[PROPOSALS - 1].used)
#ifdef MISTAKE_LONE
#define may_run_alone(n) 1
#else
#define may_run_alone(n) node[n].lone
#endif

#ifdef MISTAKE_LAST_WINS
#define LAST_WINS 1
#else
#define LAST_WINS 0
#endif

#ifdef MISTAKE_ACK_ANY_VERSION
#define ANY_VERSION 1
#else
#define ANY_VERSION 0
#endif

#ifdef MISTAKE_ACK_ANY_VERSION
#define fits(n, x) (message[x].from != n)
#else
#define fits(n, x) (message[x].version == node[n].version && is_backup(n) && view[node[n].version].primary == message[x].from && !node[n].stalled)
#endif

#ifdef MISTAKE_FACT_ANY_MARK
#define names(n, x) 1
#else
#define names(n, x) (node[n].mark == message[x].mark && node[n].runner == message[x].runner)
#endif

/* answer_marks, answer_transfer and the replies, at node n for message x */
inline receive(n, x)
{
	if
	:: message[x].kind == MARK && fits(n, x) && (node[n].synced || ANY_VERSION) && node[n].stage != RUNNING ->
		if
		:: message[x].stage == NONE	/* only checks whether the view is current */
		:: message[x].stage != NONE && (node[n].stage == NONE || node[n].runner != message[x].from || node[n].mark < message[x].mark) ->
			node[n].stage = ELSEWHERE; node[n].mark = message[x].mark;
			node[n].runner = message[x].from
		:: else
		fi;
		node[n].opened = view[node[n].version].lost;
		message[x].kind = ACK;
		message[x].to = message[x].from; message[x].from = n
	:: message[x].kind == ACK && message[x].stage != NONE && node[n].stage == MARKED &&
		node[n].mark == message[x].mark ->
		if
		:: (node[n].version == message[x].version && !node[n].stalled || ANY_VERSION) -> node[n].stage = RUNNING
		:: else -> give_up(n)	/* the code sends a new mark; here a retry does */
		fi;
		clear(x)
	:: message[x].kind == ACK && message[x].stage == NONE ->
		if
		:: node[n].full_asked == message[x].mark && node[n].version == message[x].version &&
			!node[n].stalled && node[n].stage == NONE ->
			assert(!node[n].seen);
			node[n].full_asked = 0; node[n].seen = 0
		:: else
		fi;
		clear(x)
	:: (message[x].kind == FREED || message[x].kind == RESULT) ->
		if
		:: node[n].stage == ELSEWHERE && names(n, x) ->
			node[n].stage = message[x].stage;
			if
			:: is_primary(n) && partner(n) != NOBODY ->
				message[x].from = n; message[x].to = partner(n)
			:: else -> clear(x)
			fi;
			if :: node[n].stage == NONE -> forget(n) :: else fi
		:: else -> clear(x)
		fi
	:: message[x].kind == COPY && fits(n, x) ->
		if
		:: !node[n].synced && node[n].stage != MARKED && node[n].stage != RUNNING -> forget(n)
		:: else
		fi;
		if
		:: node[n].stage == NONE && message[x].stage != NONE ->
			node[n].stage = (message[x].stage == DONE -> DONE : ELSEWHERE);
			node[n].mark = message[x].mark; node[n].runner = message[x].runner
		:: else
		fi;
		node[n].synced = 1;
		message[x].kind = COPIED;
		message[x].to = message[x].from; message[x].from = n
	:: message[x].kind == COPIED ->
		if
		:: node[n].version == message[x].version && is_primary(n) -> node[n].synced = 1
		:: else
		fi;
		clear(x)
	:: else -> clear(x)
	fi
}

proctype Runs(byte n)
{
end:	do
	/* Owner.run: an attempt arrives at a node that regards itself as the primary */
	:: atomic { sent < SENDINGS && !retired && is_primary(n) && node[n].stage == NONE &&
		node[n].synced && !waiting(n) && !node[n].stalled && !node[n].full_asked ->
		sent++;
		node[n].seen = (runs > 0);
		if
		:: marks++;
			node[n].stage = MARKED; node[n].mark = marks; node[n].runner = n;
			if
#ifdef MISTAKE_RUN_BEFORE_ACK
			:: send(MARK, n, partner(n), MARKED, node[n].mark, n); node[n].stage = RUNNING
#endif
			:: partner(n) == NOBODY && may_run_alone(n) -> node[n].stage = RUNNING
			:: partner(n) == NOBODY && !may_run_alone(n) -> forget(n)
			:: partner(n) != NOBODY -> send(MARK, n, partner(n), MARKED, node[n].mark, n)
			fi
		:: partner(n) != NOBODY ->	/* the table is full */
#ifdef MISTAKE_FULL_UNCONFIRMED
			assert(!node[n].seen)
#else
			marks++;
			node[n].full_asked = marks;
			send(MARK, n, partner(n), NONE, marks, n)
#endif
		fi }
	/* a retry during a run joins the run */
	:: atomic { sent < SENDINGS && !retired && is_primary(n) && !node[n].seen &&
		(node[n].stage == MARKED || node[n].stage == RUNNING) && runs > 0 && !node[n].ran ->
		sent++; node[n].seen = 1 }
	/* the mark is not acknowledged in time: may have run */
	:: atomic { node[n].stage == MARKED ->
#ifdef MISTAKE_ALONE_WITHOUT_LOG
		node[n].stage = RUNNING
#else
#ifdef MISTAKE_UNREACHABLE_NOT_RUN
		assert(!node[n].seen);
#endif
		give_up(n)
#endif
		}
	:: atomic { node[n].full_asked -> node[n].full_asked = 0; node[n].seen = 0 }
	/* the run: the backend server answers, or certainly did not run the call */
	:: atomic { node[n].stage == RUNNING && !node[n].ran ->
		if
		:: runs++; node[n].ran = 1; assert(runs <= 1)
		:: assert(!node[n].seen); give_up(n)
		fi }
	:: atomic { node[n].stage == RUNNING && node[n].ran ->
		node[n].ran = 0; node[n].stage = DONE; node[n].seen = 0;
		find_other(n);
		send(RESULT, n, other, DONE, node[n].mark, n) }
	od
}

proctype Holds(byte n)
{
end:	do
	/* Replica._sync */
	:: atomic { is_primary(n) && !node[n].synced && partner(n) != NOBODY && !copying(n) ->
#ifdef MISTAKE_NO_TRANSFER
		node[n].synced = 1; node[partner(n)].synced = 1
#else
		send(COPY, n, partner(n), node[n].stage, node[n].mark, node[n].runner)
#endif
		}
	/* Follower.fetch_views: a view that another node has received */
	:: atomic { !node[n].stalled && node[n].version < current ->
		v = node[n].version + 1;
		adopt(n, v) }
	/* Follower.catch_up: the end of the log */
	:: atomic { node[n].version < current || node[n].stalled || (is_primary(n) && partner(n) == NOBODY && !node[n].lone) ->
		if :: node[n].version < current -> adopt(n, current) :: else fi;
		node[n].stalled = 0;
		node[n].lone = (is_primary(n) && partner(n) == NOBODY) }
	/* plan_proposals */
	:: atomic { can_propose && is_primary(n) ->
		v = node[n].version;
		if
		:: propose(v, n, (n + 1) % NODES, waiting(n))
		:: propose(v, n, (n + 2) % NODES, waiting(n))
		:: propose(v, n, NOBODY, waiting(n))
		:: node[n].synced && partner(n) != NOBODY -> propose(v, partner(n), n, waiting(n))
		fi }
	:: atomic { can_propose && is_backup(n) ->
		v = node[n].version;
#ifdef MISTAKE_UNSYNCED_TAKEOVER
		kept = 0;
#else
		kept = (waiting(n) || !node[n].synced);
#endif
		if
		:: propose(v, n, (n + 1) % NODES, kept)
		:: propose(v, n, (n + 2) % NODES, kept)
		:: propose(v, n, NOBODY, kept)
		fi }
	:: atomic { can_propose && !is_primary(n) && !is_backup(n) ->
		v = node[n].version;
		propose(v, n, NOBODY, 1) }
	/* one key window has passed since a lost view was adopted: the key is not
	 * retried any more, and a node that has not received the view was stalled */
	:: atomic { is_primary(n) && waiting(n) ->
		node[n].opened = 1;
		if :: sent > 0 -> retired = 1 :: else fi;
		x = 0;
		do
		:: x < NODES ->
			if
			:: node[x].version < node[n].version ->
				/* a pair that has not received the view by now was stalled; a
				 * primary without a backup may also have been partitioned */
				node[x].lone = 0;
#ifndef MISTAKE_NO_GUARD
				if :: partner(x) != NOBODY -> node[x].stalled = 1 :: else fi
#endif
			:: else
			fi;
			x++
		:: else -> break
		od }
	od
}

proctype Network()
{
end:	do
	:: atomic { x = 0;
		do
		:: x < MESSAGES - 1 -> x++
		:: break
		od;
		if
		:: message[x].kind -> w = message[x].to;
			if
			:: receive(w, x)
			:: clear(x)	/* lost */
			fi
		:: else
		fi }
	/* fold_record: the first proposal on a version wins */
	:: atomic { proposal[0].used ->
		x = 0;
		if
		:: 1
		:: PROPOSALS > 1 && proposal[PROPOSALS - 1].used -> x = PROPOSALS - 1
		fi;
		if
		:: (proposal[x].base == current || LAST_WINS) && current < VIEWS - 1 ->
			current++;
			view[current].primary = proposal[x].primary;
			view[current].backup = proposal[x].backup;
			view[current].lost = proposal[x].lost
		:: else
		fi;
		if
		:: PROPOSALS > 1 && x == 0 && proposal[PROPOSALS - 1].used ->
			proposal[0].base = proposal[PROPOSALS - 1].base;
			proposal[0].primary = proposal[PROPOSALS - 1].primary;
			proposal[0].backup = proposal[PROPOSALS - 1].backup;
			proposal[0].lost = proposal[PROPOSALS - 1].lost;
			x = PROPOSALS - 1
		:: else
		fi;
		proposal[x].used = 0; proposal[x].base = 0; proposal[x].primary = 0;
		proposal[x].backup = 0; proposal[x].lost = 0 }
	od
}

init
{
	atomic {
		view[0].primary = 0;
		view[0].backup = 1;
		node[0].synced = 1;
		node[1].synced = 1;
		run Runs(0); run Runs(1); run Runs(2);
		run Holds(0); run Holds(1); run Holds(2);
		run Network()
	}
}
