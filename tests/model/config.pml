/*
 * Model of the configuration: publishes and rewrites on the log, retention of the
 * log, and nodes that read the retained records and receive versions from peers.
 *
 * docs/internals/model.rst lists the function for each step. The bounds are set
 * with -D; -DMISTAKE_... seeds one mistake, which the checker must find.
 */

#ifndef NODES
#define NODES 2
#endif
#ifndef RECORDS
#define RECORDS 5
#endif
#ifndef PUBLISHES
#define PUBLISHES 3
#endif
#ifndef REWRITES
#define REWRITES 2
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif
#ifndef LATE
#define LATE 1
#endif
#ifndef ANSWERS
#define ANSWERS 1
#endif

#define NONE 255

#define NOTHING 0
#define PUBLISH 1
#define REWRITE 2

/* a text is represented by the number of the publish that contains it */
typedef Record {
  byte kind;
  byte version; /* of a publish: the version it is based on */
  byte through; /* of a publish: where its author had read to; not on the log */
  byte text;
}

typedef Node {
  byte start;
  byte next;
  bool exact;
  byte version;
  byte text;
  byte board;      /* the version in force at this node */
  byte board_text;
  bool sent;
}

Record records[RECORDS];
byte tail = 0;
byte first = 0;

Node node[NODES];
Record out[NODES]; /* created but not yet appended: the author may be paused */
Record late;       /* sent without an answer, and still in transit */

/* one answer between nodes, in transit */
byte answer_to = NONE;
byte answer_version;
byte answer_text;
byte answer_through;

byte publishes = 0;
byte rewrites = 0;
byte restarts = 0;
byte lates = 0;
byte answers = 0;

/* true state, used by the properties only */
byte true_version[RECORDS + 1];
byte true_text[RECORDS + 1];
byte accepted_text[PUBLISHES + 1];
byte anchor = 0; /* the newest offset from which a new reader can learn the state */

hidden byte scan;
hidden byte fresh_version;
hidden byte fresh_text;
hidden byte fresh_exact; /* the variables from here on are conditions, except count */
hidden byte found;
hidden byte accepted;
hidden byte told_true;
hidden byte count;

/* an exact reader applies one record */
inline decide(in_force, in_text, at) {
  if
#ifdef MISTAKE_NO_BASE_CHECK
  :: records[at].kind == PUBLISH ->
#else
  :: records[at].kind == PUBLISH && records[at].version == in_force ->
#endif
    in_force = in_force + 1;
    in_text = records[at].text
#ifdef MISTAKE_REWRITE_WINS
  :: records[at].kind == REWRITE ->
    in_force = records[at].version;
    in_text = records[at].text
#endif
  :: else
  fi
}

/* an inexact reader, having read since..until, learns the state at offset kept */
inline begin(in_force, in_text, known_version, known_text, since, kept, until) {
  in_force = known_version;
  in_text = known_text;
#ifndef MISTAKE_NO_REPLAY
  scan = (since > kept -> since : kept); /* earlier records were never read */
  do
  :: scan < until -> decide(in_force, in_text, scan); scan++
  :: else -> break
  od;
  scan = 0
#endif
}

inline is_trusted(since, at) {
#ifdef MISTAKE_TRUST_REWRITE
  found = records[at].kind == REWRITE
#else
  found = records[at].kind == REWRITE && records[at].through >= since
#endif
}

inline take_board(i, new_version, new_text) {
  if
#ifdef MISTAKE_GO_DOWN
  :: new_version != node[i].board ->
#else
  :: new_version > node[i].board ->
#endif
    assert(new_version > node[i].board); /* the version never decreases */
    node[i].board = new_version;
    node[i].board_text = new_text;
    assert(accepted_text[new_version] == new_text) /* only accepted texts */
  :: else
  fi
}

inline check_node(i) {
  assert(!node[i].exact ||
    (node[i].version == true_version[node[i].next] &&
     node[i].text == true_text[node[i].next]))
}

/* a new reader of all retained records knows the version in force */
inline check_fresh() {
#ifdef BOUNDED_RETENTION
  fresh_exact = (first == 0);
  fresh_version = 0;
  fresh_text = 0;
  count = first;
  do
  :: count < tail ->
    if
    :: fresh_exact -> decide(fresh_version, fresh_text, count)
    :: else ->
      is_trusted(first, count);
      if
      :: found ->
        fresh_exact = true;
        begin(fresh_version, fresh_text, records[count].version,
              records[count].text, records[count].through, first, count + 1)
      :: else
      fi
    fi;
    count++
  :: else -> break
  od;
  count = 0;
  assert(fresh_exact);
  assert(fresh_version == true_version[tail] && fresh_text == true_text[tail]);
  fresh_exact = false; fresh_version = 0; fresh_text = 0; found = false
#else
  skip
#endif
}

inline append(made) {
  records[tail].kind = made.kind;
  records[tail].version = made.version;
  records[tail].text = made.text;
  records[tail].through = (made.kind == REWRITE -> made.through : 0);
  true_version[tail + 1] = true_version[tail];
  true_text[tail + 1] = true_text[tail];
  if
  :: made.kind == PUBLISH && made.version == true_version[tail] ->
    true_version[tail + 1] = made.version + 1;
    true_text[tail + 1] = made.text;
    accepted_text[made.version + 1] = made.text
#ifdef MISTAKE_ANY_ANCHOR
  :: made.kind == REWRITE -> anchor = tail
#else
  :: made.kind == REWRITE && made.through == tail -> anchor = tail
#endif
  :: else
  fi;
  tail++;
  check_fresh()
}

inline clear(made) {
  made.kind = NOTHING;
  made.version = 0;
  made.through = 0;
  made.text = 0
}

inline read_one(i) {
  if
  :: first > node[i].next ->
#ifndef MISTAKE_IGNORE_GAP
    node[i].start = first;
    node[i].exact = false;
    node[i].version = 0;
    node[i].text = 0;
#endif
    node[i].next = first
  :: else ->
    node[i].next = node[i].next + 1;
    if
    :: node[i].exact -> decide(node[i].version, node[i].text, node[i].next - 1)
    :: else ->
      is_trusted(node[i].start, node[i].next - 1);
      if
      :: found ->
        node[i].exact = true;
        count = node[i].next - 1;
        begin(node[i].version, node[i].text, records[count].version,
              records[count].text, records[count].through,
              node[i].start, node[i].next);
        count = 0
      :: else
      fi;
      found = false
    fi
  fi;
  check_node(i);
  if
  :: node[i].exact -> take_board(i, node[i].version, node[i].text)
  :: else
  fi
}

/* the author of a publish reads on from the offset that it had reached */
inline settle(i) {
  found = false;
  accepted = false;
  if
  :: first > out[i].through -> found = true /* record dropped: outcome unknown, none reported */
  :: else ->
    count = out[i].version;
    scan = out[i].through;
    do
    :: scan < tail ->
      if
      :: records[scan].kind == PUBLISH && records[scan].text == out[i].text ->
#ifdef MISTAKE_LAST_COPY
        accepted = (records[scan].version == count);
#else
        accepted = accepted || (!found && records[scan].version == count);
#endif
        found = true
      :: else
      fi;
      if
      :: records[scan].kind == PUBLISH && records[scan].version == count -> count++
      :: else
      fi;
      scan++
    :: else -> break
    od;
    scan = 0;
    count = 0;
#ifdef MISTAKE_ANSWER_IS_ACCEPTANCE
    accepted = true;
#endif
#ifdef MISTAKE_SILENCE_IS_REFUSAL
    found = true;
#endif
    if
    :: found -> /* outcome reported: accepted or rejected */
      was_accepted(out[i].text);
      assert(accepted == told_true)
    :: else
    fi
  fi;
  told_true = false;
  accepted = false;
  if
  :: found -> clear(out[i]); node[i].sent = false
  :: else -> node[i].sent = false /* not on the log: retry */
  fi;
  found = false
}

/* whether a text was accepted, or will be when the late record arrives */
inline was_accepted(wanted) {
  told_true = false;
  count = 1;
  do
  :: count <= PUBLISHES ->
    told_true = told_true || (accepted_text[count] == wanted);
    count++
  :: else -> break
  od;
  count = 0;
  if
  :: late.kind == PUBLISH && late.text == wanted &&
     late.version == true_version[tail] -> told_true = true
  :: else
  fi
}

inline take_answer(i) {
  if
#ifdef MISTAKE_GO_DOWN
  :: true ->
#else
  :: answer_version >= node[i].board ->
#endif
    take_board(i, answer_version, answer_text);
    if
    :: answer_through == NONE
    :: answer_through != NONE && answer_through >= node[i].next ->
      node[i].exact = true;
      node[i].start = answer_through;
      node[i].next = answer_through;
      node[i].version = answer_version;
      node[i].text = answer_text
#ifdef MISTAKE_TRUST_PEER
    :: answer_through < node[i].next && !node[i].exact ->
      node[i].exact = true;
      node[i].version = answer_version;
      node[i].text = answer_text
#else
    :: answer_through < node[i].next && !node[i].exact &&
       answer_through >= node[i].start ->
      node[i].exact = true;
      begin(node[i].version, node[i].text, answer_version, answer_text,
            answer_through, node[i].start, node[i].next)
#endif
    :: else
    fi;
    check_node(i)
  :: else
  fi;
  answer_to = NONE;
  answer_version = 0;
  answer_text = 0;
  answer_through = 0
}

inline forget(i) {
  node[i].start = 0;
  node[i].next = 0;
  node[i].exact = true;
  node[i].version = 0;
  node[i].text = 0;
  node[i].board = 0;
  node[i].board_text = 0;
  node[i].sent = false;
  clear(out[i])
}

proctype Run(byte me) {
  byte other;
end:
  do
  :: d_step { node[me].next < tail || first > node[me].next -> read_one(me) }

  /* an operator publishes at this node, based on its current version */
  :: d_step { node[me].exact && node[me].version == node[me].board &&
              out[me].kind == NOTHING && publishes < PUBLISHES ->
      publishes++;
      out[me].kind = PUBLISH;
      out[me].version = node[me].version;
      out[me].through = node[me].next;
      out[me].text = publishes
    }

  /* this node rewrites the version in force */
  :: d_step { node[me].exact && node[me].version > 0 &&
              out[me].kind == NOTHING && rewrites < REWRITES ->
      rewrites++;
      out[me].kind = REWRITE;
      out[me].version = node[me].version;
      out[me].through = node[me].next;
      out[me].text = node[me].text
    }

  :: d_step { out[me].kind == REWRITE && tail < RECORDS ->
      append(out[me]);
      clear(out[me])
    }

  :: d_step { out[me].kind == PUBLISH && !node[me].sent && tail < RECORDS ->
      append(out[me]);
      node[me].sent = true
    }

  /* no answer, and the record has not arrived yet */
  :: d_step { out[me].kind == PUBLISH && !node[me].sent && late.kind == NOTHING &&
              lates < LATE ->
      lates++;
      late.kind = PUBLISH;
      late.version = out[me].version;
      late.text = out[me].text;
      node[me].sent = true
    }

  :: d_step { out[me].kind == PUBLISH && node[me].sent -> settle(me) }

  :: atomic { answer_to == NONE && answers < ANSWERS ->
      answers++;
      select(other : 0 .. NODES - 1);
      if
      :: other != me ->
        answer_to = other;
        answer_version = node[me].board;
        answer_text = node[me].board_text;
        answer_through =
          (node[me].exact && node[me].version == node[me].board
           -> node[me].next : NONE)
      :: else
      fi;
      other = 0
    }

  :: d_step { answer_to == me -> take_answer(me) }

  :: d_step { restarts < RESTARTS -> restarts++; forget(me) }
  od
}

proctype Platform() {
end:
  do
  :: d_step { late.kind != NOTHING && tail < RECORDS -> append(late); clear(late) }
#ifdef BOUNDED_RETENTION
  /* the newest usable rewrite is retained */
  :: d_step { first < anchor -> first++; check_fresh() }
#else
  :: d_step { first < tail -> first++ }
#endif
  od
}

init {
  byte i = 0;
  atomic {
    do
    :: i < NODES -> node[i].exact = true; run Run(i); i++
    :: else -> break
    od;
    run Platform();
    i = 0
  }
}
