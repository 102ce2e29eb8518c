/*
 * Models how settings changes are committed and spread. Each of two operators
 * sends one change, and sends it again through another host while its outcome
 * is unknown. Two hosts serve from the newest revision they have; one of them
 * is starting.
 *
 * The tree has two keys; a key holds the number of the change that set it. The
 * store holds one manifest that is changed by compare-and-swap on `version`. A
 * swap can be lost before it takes effect, its reply can be lost afterwards,
 * and it can take effect long after its sender gave up. A read may return the
 * previous manifest. The store can have one outage, at any time.
 */

// mutants: BLIND_OVERWRITE NO_COLLISION REAPPLY LOST_REPLY_IS_FAILURE
// mutants: RESEND_IS_FIRST NO_SETTLE ACCEPT_LOWER READY_EARLY
// mutants: PROBE_ACCEPTS PROBE_UNKNOWN PROBE_REFUSES PROBE_FROM_PEER

#define CHANGES 2
#define HOST_TRIES 2 /* swaps that one host sends for a change */
#define SENDS 2      /* hosts that a change is sent through */
#define SWAPS 8      /* CHANGES * HOST_TRIES * SENDS */
#define HOSTS 2
#define STARTING 1

mtype = {None, Accepted, Refused, NotApplied, Unknown};
mtype = {DifferentKeys, SameKey, SecondNeedsFirst};

typedef Manifest {
  byte version;
  byte revision;
  byte key[2];
  bool accepted[CHANGES]; /* ids of accepted changes */
  bool refused[CHANGES];  /* ids of changes refused for good */
};

typedef Swap {
  bool pending;
  byte expected;
  Manifest next;
  bool abandoned; /* its sender no longer waits for the reply */
  bool answered;
  bool succeeded;
};

mtype scenario;
bool resends; /* true: operators resend; false: hosts run.
                 Never both, which keeps the state space small. */
bool storeUp = true;
Manifest current;
Manifest previous;
Swap swap[SWAPS];

byte effects[CHANGES];
mtype reported[CHANGES] = None;

byte inForce[HOSTS];
bool ready[HOSTS];

inline copy(to, from) {
  to.version = from.version;
  to.revision = from.revision;
  to.key[0] = from.key[0];
  to.key[1] = from.key[1];
  to.accepted[0] = from.accepted[0];
  to.accepted[1] = from.accepted[1];
  to.refused[0] = from.refused[0];
  to.refused[1] = from.refused[1];
}

#define keyOf(c) ((scenario == SameKey) -> 0 : (c))

/* A change reported as accepted was applied once and is in the store; one
 * reported as refused or not applied was never applied. */
inline checkReported() {
  assert(reported[0] != Accepted ||
         (effects[0] == 1 && current.key[keyOf(0)] == 1));
  assert(reported[1] != Accepted ||
         (effects[1] == 1 && current.key[keyOf(1)] == 2));
  assert((reported[0] != Refused && reported[0] != NotApplied) ||
         effects[0] == 0);
  assert((reported[1] != Refused && reported[1] != NotApplied) ||
         effects[1] == 0);
}

inline report(c, outcome) {
  reported[c] = outcome;
  checkReported();
#ifdef MUTANT_PROBE_ACCEPTS
  assert(reported[0] != Accepted || reported[1] != Accepted);
#endif
#ifdef MUTANT_PROBE_UNKNOWN
  assert(outcome != Unknown);
#endif
#ifdef MUTANT_PROBE_REFUSES
  assert(outcome != Refused);
#endif
}

inline clear(manifest) {
  manifest.version = 0;
  manifest.revision = 0;
  manifest.key[0] = 0;
  manifest.key[1] = 0;
  manifest.accepted[0] = false;
  manifest.accepted[1] = false;
  manifest.refused[0] = false;
  manifest.refused[1] = false;
}

inline executeSwap(n) {
  d_step {
#ifdef MUTANT_BLIND_OVERWRITE
    swap[n].succeeded = true;
#else
    swap[n].succeeded = (swap[n].expected == current.version);
#endif
    if
    :: swap[n].succeeded ->
       copy(previous, current);
       copy(current, swap[n].next);
       current.version = previous.version + 1;
       if
       :: current.accepted[n / 4] && current.revision != previous.revision ->
          effects[n / 4]++
       :: else -> skip
       fi;
       assert(effects[n / 4] <= 1);
       checkReported()
    :: else -> skip
    fi;
    swap[n].pending = false;
    swap[n].answered = !swap[n].abandoned;
    swap[n].succeeded = swap[n].succeeded && !swap[n].abandoned;
    swap[n].abandoned = false;
    swap[n].expected = 0;
    clear(swap[n].next)
  }
}

active proctype Store() {
  do
  :: atomic { storeUp && swap[0].pending -> executeSwap(0) }
  :: atomic { storeUp && swap[1].pending -> executeSwap(1) }
  :: atomic { storeUp && swap[2].pending -> executeSwap(2) }
  :: atomic { storeUp && swap[3].pending -> executeSwap(3) }
  :: atomic { storeUp && swap[4].pending -> executeSwap(4) }
  :: atomic { storeUp && swap[5].pending -> executeSwap(5) }
  :: atomic { storeUp && swap[6].pending -> executeSwap(6) }
  :: atomic { storeUp && swap[7].pending -> executeSwap(7) }
  od
}

active proctype Outage() {
  storeUp = false;
  storeUp = true
}

/* Prepares the swap that applies change c to the manifest `seen`; `applicable`
 * says whether the change may be applied to it. */
inline prepare(c, seen, target, applicable) {
  d_step {
    copy(target, seen);
    target.revision = seen.revision + 1;
    target.accepted[c] = true;
    applicable = true;
#ifndef MUTANT_NO_COLLISION
    /* Both operators based their change on the empty tree. */
    applicable = (seen.key[keyOf(c)] == 0);
#endif
    applicable = applicable &&
            !(scenario == SecondNeedsFirst && c == 1 && seen.key[0] == 0);
    target.key[keyOf(c)] = c + 1;
  }
}

/* Prepares the swap that records that change c is refused. */
inline prepareRefusal(c, seen, target) {
  d_step {
    copy(target, seen);
    target.refused[c] = true
  }
}

inline setUnavailable(c, mayBeApplied, outcome) {
  if
  :: mayBeApplied -> outcome = Unknown
  :: else -> outcome = NotApplied
  fi
}

inline sendSwap(c, n, refusal) {
  if
  :: atomic { !storeUp -> clear(swap[n].next);
       setUnavailable(c, mayBeApplied, outcome) }
  :: atomic { storeUp ->
       swap[n].expected = seen.version; swap[n].pending = true };
     if
     :: atomic { swap[n].answered ->
          if
          :: swap[n].succeeded && refusal -> outcome = Refused
          :: swap[n].succeeded && !refusal -> outcome = Accepted
          :: else -> skip
          fi;
          swap[n].answered = false;
          swap[n].succeeded = false }
     /* The request or its reply is lost, or takes effect later. */
     :: atomic { true ->
          swap[n].abandoned = swap[n].pending;
          swap[n].answered = false;
          swap[n].succeeded = false;
          mayBeApplied = true;
          if
          :: !replyLost || seen.version > lostAtVersion ->
             lostAtVersion = seen.version
          :: else -> skip
          fi;
          replyLost = true;
#ifdef MUTANT_LOST_REPLY_IS_FAILURE
          outcome = NotApplied
#else
          if
          :: refusal -> outcome = Unknown
          :: else -> skip
          fi
#endif
        }
     fi
  fi
}

/* Decides the outcome or the next swap from the manifest that was read. */
inline decideFromRead(c, resent, n) {
  if
#ifndef MUTANT_REAPPLY
  :: seen.accepted[c] -> outcome = Accepted
  :: seen.refused[c] -> outcome = Refused
  :: else ->
#else
  :: true ->
#endif
     mayBeApplied = resent || (replyLost && seen.version <= lostAtVersion);
     prepare(c, seen, swap[n].next, applicable);
     if
#ifdef MUTANT_NO_SETTLE
     :: !applicable -> outcome = Refused; clear(swap[n].next)
#else
     :: !applicable && !mayBeApplied -> outcome = Refused; clear(swap[n].next)
     :: !applicable && mayBeApplied -> prepareRefusal(c, seen, swap[n].next)
#endif
     :: applicable -> skip
     fi
  fi
}

/* Handling of one change by one host. */
inline commit(c, resent, first) {
  outcome = None;
  mayBeApplied = resent;
  do
  :: outcome != None -> break
  :: atomic { outcome == None && tries == HOST_TRIES ->
       setUnavailable(c, mayBeApplied, outcome) }
  :: outcome == None && tries < HOST_TRIES ->
     if
     :: atomic { storeUp ->
          copy(seen, current); decideFromRead(c, resent, first + tries) }
     :: atomic { storeUp && previous.version != current.version ->
          copy(seen, previous); decideFromRead(c, resent, first + tries) }
     :: atomic { !storeUp -> setUnavailable(c, mayBeApplied, outcome) }
     fi;
     if
     :: outcome == None -> sendSwap(c, first + tries, !applicable)
     :: else -> skip
     fi;
     atomic { clear(seen); applicable = false; tries++ }
  od;
  atomic {
    tries = 0;
    replyLost = false;
    lostAtVersion = 0;
    mayBeApplied = false;
    report(c, outcome)
  }
}

proctype Operator(byte c) {
  Manifest seen;
  byte tries;
  byte lostAtVersion;
  bool replyLost;
  bool mayBeApplied;
  bool applicable;
  mtype outcome = None;
  commit(c, false, c * 4);
  if
  :: resends && outcome == Unknown ->
#ifdef MUTANT_RESEND_IS_FIRST
     commit(c, false, c * 4 + HOST_TRIES)
#else
     commit(c, true, c * 4 + HOST_TRIES)
#endif
  :: else -> skip
  fi
}

/* Offers host h a revision from the store or from its peer; it accepts only a
 * higher one than it has in force. */
inline offerRevision(h, offered) {
#ifdef MUTANT_ACCEPT_LOWER
  if
  :: offered != inForce[h] && offered != 0 ->
#else
  if
  :: offered > inForce[h] ->
#endif
     assert(offered > inForce[h]);
     inForce[h] = offered;
     ready[h] = true
  :: else -> skip
  fi;
  assert(!ready[h] || inForce[h] != 0)
}

proctype Host(byte h) {
  byte peer = 1 - h;
#ifdef MUTANT_READY_EARLY
  if
  :: h == STARTING && !storeUp ->
     atomic { ready[h] = true; offerRevision(h, 0) }
  :: storeUp
  fi;
#endif
  do
  :: atomic { storeUp && current.revision != inForce[h] ->
       offerRevision(h, current.revision) }
  :: atomic { storeUp && previous.revision != inForce[h] ->
       offerRevision(h, previous.revision) }
  :: atomic { inForce[peer] != inForce[h] -> offerRevision(h, inForce[peer]);
#ifdef MUTANT_PROBE_FROM_PEER
       assert(storeUp || h != STARTING || !ready[h]);
#endif
     }
  od
}

init {
  atomic {
    if
    :: scenario = DifferentKeys
    :: scenario = SameKey
    :: scenario = SecondNeedsFirst
    fi;
    run Operator(0);
    run Operator(1);
    if
    :: resends = true
    :: scenario == DifferentKeys ->
       run Host(0);
       run Host(STARTING)
    fi
  }
}
