/*
 * Models one unit of a workspace's rate that two lenders own one after the other
 * and lend to two borrowers, and the floors that hosts own without a message.
 *
 * Lender 0 owns the unit until the store's confirmation of its entry is too old;
 * lender 1 takes over then. A borrower states in its request what it still
 * holds. Time passes in ticks; each lease is a number of ticks that are left.
 *
 * Faults: replies are lost or late; lender 0 is cut off from the store, from
 * lender 1 and from borrower 1; it restarts and forgets its loans; borrowers are
 * suspended; a host joins of which the others read late or never.
 */

// mutants: LOAN_END_NOT_AWAITED FLOOR_TWICE CLOCK_STOPS

#define RATE 1
#define LEASE 2
#define CONFIRMED 2
#define FLOOR 12
/* Lender 0 with both borrowers, lender 1 with borrower 1: it takes over when
 * lender 0 is cut off together with borrower 0. */
#define PAIRS 3
#define LENDER(p) ((p) / 2)
#define BORROWER(p) ((p) == 0 -> 0 : 1)
#define LINKED(p) (!cut || LENDER(p) == BORROWER(p))

/* By pair of a lender and a borrower: what the lender counts, and what the
 * borrower holds. */
byte loan[PAIRS], loanLeft[PAIRS];
byte held[PAIRS], heldLeft[PAIRS];
/* A request and the ticks left of the lease that its reply may bring, and the
 * units in the reply. */
bool asked[PAIRS];
byte askLeft[PAIRS];
bool replied[PAIRS];
byte granted[PAIRS];

byte owner = 0;
byte wait[2];
byte confirmed = CONFIRMED;
bool cut = false;
bool suspended[2];
byte restarts = 0, suspensions = 0;

/* Hosts that each of two hosts and the joining one divide the floor by; 0 if
 * the host uses none. */
byte knownHosts[3];

#ifdef MUTANT_FLOOR_TWICE
#define FLOOR_OF(n) (FLOOR / (n))
#else
#define FLOOR_OF(n) (FLOOR / ((n) + 1))
#endif

inline awaitLoans(lender) {
#ifdef MUTANT_LOAN_END_NOT_AWAITED
  wait[lender] = 0
#else
  wait[lender] = LEASE
#endif
}

proctype Borrower(byte p) {
  do
  :: atomic {
       !suspended[BORROWER(p)] && !asked[p] ->
       /* It cuts what it holds before it asks. */
       if
       :: held[p] = 0; heldLeft[p] = 0
       :: skip
       fi;
       asked[p] = true; askLeft[p] = LEASE
     }
  :: atomic {
       !suspended[BORROWER(p)] && replied[p] && LINKED(p) ->
       if
       :: askLeft[p] > 0 && granted[p] > 0 ->
          held[p] = granted[p]; heldLeft[p] = askLeft[p]
       :: else
       fi;
       replied[p] = false; granted[p] = 0; asked[p] = false; askLeft[p] = 0
     }
  /* The reply is lost, or its time is over: a later one isn't used. */
  :: atomic {
       !suspended[BORROWER(p)] && asked[p] ->
       replied[p] = false; granted[p] = 0; asked[p] = false; askLeft[p] = 0
     }
  od
}

proctype Lender(byte p) {
  byte other;
  do
  :: atomic {
       asked[p] && !replied[p] && LINKED(p) && owner == LENDER(p) &&
       wait[LENDER(p)] == 0 && (LENDER(p) == 1 || confirmed > 0) ->
       other = (p == 2 -> 2 : 1 - p);
       if
       :: held[p] < loan[p] -> loan[p] = held[p]
       :: else
       fi;
       granted[p] = RATE - (p == 2 -> 0 : loan[other]);
       if
       :: granted[p] > loan[p] -> loan[p] = granted[p]
       :: else
       fi;
       loanLeft[p] = LEASE; replied[p] = true; other = 0
     }
  od
}

inline tickPair(p) {
  if
  :: loanLeft[p] > 0 -> loanLeft[p]--
  :: else
  fi;
  if
  :: loanLeft[p] == 0 -> loan[p] = 0
  :: else
  fi;
#ifdef MUTANT_CLOCK_STOPS
  if
  :: suspended[BORROWER(p)] -> skip
  :: else ->
#endif
  if
  :: heldLeft[p] > 0 -> heldLeft[p]--
  :: else
  fi;
  if
  :: heldLeft[p] == 0 -> held[p] = 0
  :: else
  fi;
  if
  :: askLeft[p] > 0 -> askLeft[p]--
  :: else
  fi
#ifdef MUTANT_CLOCK_STOPS
  fi
#endif
}

proctype Clock() {
  do
  :: atomic {
       tickPair(0); tickPair(1); tickPair(2);
       if
       :: wait[0] > 0 -> wait[0]--
       :: else
       fi;
       if
       :: wait[1] > 0 -> wait[1]--
       :: else
       fi;
       if
       :: cut && confirmed > 0 -> confirmed--
       :: !cut && owner == 0 -> confirmed = CONFIRMED
       :: else
       fi;
       /* The store has removed the entry of lender 0. */
       if
       :: owner == 0 && confirmed == 0 -> owner = 1; awaitLoans(1)
       :: else
       fi
     }
  od
}

proctype Faults() {
  do
  :: atomic { !cut -> cut = true }
  :: atomic { cut && owner == 0 -> cut = false }
  :: atomic {
       restarts < 1 -> restarts++;
       loan[0] = 0; loanLeft[0] = 0; loan[1] = 0; loanLeft[1] = 0;
       awaitLoans(0)
     }
  :: atomic { suspensions < 1 -> suspensions++; suspended[0] = true }
  :: atomic { suspensions < 1 -> suspensions++; suspended[1] = true }
  :: atomic { suspended[0] -> suspended[0] = false }
  :: atomic { suspended[1] -> suspended[1] = false }
  od
}

#define IN_USE(p) (suspended[BORROWER(p)] -> 0 : held[p])
#define FLOOR_IN_USE(h) (knownHosts[h] == 0 -> 0 : FLOOR_OF(knownHosts[h]))

proctype Monitor() {
  assert(IN_USE(0) + IN_USE(1) + IN_USE(2) <= RATE)
}

init {
  atomic {
    /* A third host joins, and each of the two others may have read of it. */
    if
    :: knownHosts[0] = 2
    :: knownHosts[0] = 3
    fi;
    if
    :: knownHosts[1] = 2
    :: knownHosts[1] = 3
    fi;
    if
    :: knownHosts[2] = 0
    :: knownHosts[2] = 3
    fi;
    assert(FLOOR_IN_USE(0) + FLOOR_IN_USE(1) + FLOOR_IN_USE(2) <= FLOOR);
    knownHosts[0] = 0; knownHosts[1] = 0; knownHosts[2] = 0;
    run Borrower(0); run Borrower(1); run Borrower(2);
    run Lender(0); run Lender(1); run Lender(2);
    run Clock(); run Faults(); run Monitor()
  }
}
