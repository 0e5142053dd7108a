/*
 * A quota that holders hand out in parts: nodes lend their part to one holder at a
 * time, and holders borrow from each other over frames that are lost, late or doubled.
 *
 * Each node's part brings one request a tick. docs/internals/model-quotas.rst names the
 * function that each step stands for. The bounds are set with -D; -DMISTAKE_... puts
 * one mistake in, which the checker must then find.
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

/* a loan on its way; it may be doubled, and come late */
typedef Loan {
  byte to;
  byte number;
  byte amount;
}

typedef Lender {
  byte holder;           /* to which the node lends its part */
  bool counted[HOLDERS]; /* where it is counted, also until its lease has ended */
}

byte level[HOLDERS];
byte open_number[HOLDERS]; /* of the question that a holder waits for an answer to */
Lender node[NODES];
Loan loan;
Loan copy;

byte numbers = 0;
byte ticks = 0;
byte switches = 0;
byte restarts = 0;
byte borrows = 0;

/* what is true, for the properties only */
byte issued = 0;  /* requests that the quota has allowed up to now */
byte handed = 0;

/* while a node changes its holder, the lease of the one before lasts for a tick */
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
                /* its lease ends before the next tick */
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

/* a node believes in another holder from now on, and tells only that one */
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

/* a holder asks the other, which lowers its own part before it answers */
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

/* it knows nothing of before, and the nodes lend their parts to it again */
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
