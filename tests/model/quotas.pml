/*
 * Model of a quota that allocators (here: holders) grant in parts. Each node lends its
 * part to one allocator at a time; allocators borrow from each other over frames that
 * may be lost, late or duplicated.
 *
 * The part of each node refills by one request per tick. docs/internals/model-quotas.rst
 * lists the function for each step. The bounds are set with -D; -DMISTAKE_... seeds
 * one mistake, which the checker must find.
 */

#ifndef HOLDERS
#define HOLDERS 2
#endif
#ifndef NODES
#define NODES 2
#endif
#ifndef TICKS
#define TICKS 3
#endif
#ifndef SWITCHES
#define SWITCHES 2
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif
#ifndef BORROWS
#define BORROWS 2
#endif

#define NONE 255

/* a loan in transit; it may be duplicated or late */
typedef Loan {
  byte to;
  byte number;
  byte amount;
}

typedef Lender {
  byte holder;           /* the allocator that the node lends its part to */
  bool counted[HOLDERS]; /* allocators that count the part until its lease ends */
}

byte level[HOLDERS];
byte open_number[HOLDERS]; /* number of the allocator's open loan request */
Lender node[NODES];
Loan loan;
Loan copy;

byte numbers = 0;
byte ticks = 0;
byte switches = 0;
byte restarts = 0;
byte borrows = 0;

/* true state, used by the properties only */
byte issued = 0;  /* requests allowed by the quota so far */
byte handed = 0;

/* after a node changes its allocator, the previous lease lasts for one tick */
#define ALLOWED (issued + switches)

inline check() {
  assert(handed <= ALLOWED);
}

inline tick() {
  atomic {
    ticks < TICKS ->
    ticks++;
    n = 0;
    do
    :: n < NODES ->
       issued++;
       h = 0;
       do
       :: h < HOLDERS ->
          if
          :: node[n].counted[h] ->
             level[h]++;
             if
             :: h != node[n].holder ->
#ifdef MISTAKE_LEASE_NEVER_ENDS
                skip
#else
                /* the previous lease ends before the next tick */
                node[n].counted[h] = false
#endif
             :: else
             fi
          :: else
          fi;
          h++
       :: else -> break
       od;
       n++
    :: else -> break
    od;
    h = 0;
    n = 0
  }
}

/* a node selects another allocator and notifies only the new one */
inline switch_holder() {
  atomic {
    switches < SWITCHES ->
    switches++;
    if
    :: n = 0
    :: n = NODES - 1
    fi;
    node[n].holder = (node[n].holder + 1) % HOLDERS;
    node[n].counted[node[n].holder] = true;
    n = 0
  }
}

inline hand_out(i) {
  atomic {
    level[i] > 0 ->
    level[i]--;
    handed++;
    check()
  }
}

/* an allocator requests a loan; the lender reduces its part before it answers */
inline borrow(i) {
  atomic {
    borrows < BORROWS && open_number[i] == NONE && loan.to == NONE ->
    borrows++;
    numbers++;
    open_number[i] = numbers;
    loan.to = i;
    loan.number = numbers;
    loan.amount = level[(i + 1) % HOLDERS];
#ifndef MISTAKE_LEND_WITHOUT_LOWERING
    level[(i + 1) % HOLDERS] = 0
#endif
  }
}

inline take_loan(what, i) {
  atomic {
    what.to == i ->
    if
#ifdef MISTAKE_TAKE_ANY_LOAN
    :: true ->
#else
    :: open_number[i] == what.number ->
#endif
       level[i] = level[i] + what.amount;
       open_number[i] = NONE
    :: else
    fi;
    what.to = NONE
  }
}

inline double_loan() {
  atomic {
    loan.to != NONE && copy.to == NONE ->
    copy.to = loan.to;
    copy.number = loan.number;
    copy.amount = loan.amount
  }
}

inline lose_loan() {
  atomic { loan.to != NONE -> loan.to = NONE }
}

inline give_up(i) {
  atomic { open_number[i] != NONE -> open_number[i] = NONE }
}

/* a restarted allocator starts without state; nodes lend their parts to it again */
inline restart(i) {
  atomic {
    restarts < RESTARTS ->
    restarts++;
#ifdef MISTAKE_BEGIN_FULL
    level[i] = NODES;
#else
    level[i] = 0;
#endif
    open_number[i] = NONE
  }
}

active proctype world() {
  byte n = 0;
  byte h = 0;
  do
  :: h < HOLDERS ->
     open_number[h] = NONE;
     h++
  :: else -> break
  od;
  loan.to = NONE;
  copy.to = NONE;
  h = 0;
  do
  :: n < NODES ->
     node[n].holder = n % HOLDERS;
     node[n].counted[n % HOLDERS] = true;
#ifdef MISTAKE_LEND_TO_ALL
     node[n].counted[(n + 1) % HOLDERS] = true;
#endif
     n++
  :: else -> break
  od;
  n = 0;
end:
  do
  :: tick()
  :: switch_holder()
  :: hand_out(0)
  :: hand_out(1)
  :: borrow(0)
  :: borrow(1)
  :: take_loan(loan, 0)
  :: take_loan(loan, 1)
  :: take_loan(copy, 0)
  :: take_loan(copy, 1)
  :: double_loan()
  :: lose_loan()
  :: give_up(0)
  :: give_up(1)
  :: restart(0)
  :: restart(1)
  od
}
