/*
 * Settings changes and their spread: two operators, each of whom sends one
 * change and sends it again through another host while its outcome is unknown,
 * and two hosts that serve from their newest revision, one of which starts.
 *
 * The tree is two keys; a key holds the number of the change that set it. The
 * store holds one manifest that is changed by compare-and-swap on `version`; a
 * swap can be lost before its effect, its reply after, and it can take effect
 * long after its sender gave up. Reads may be one manifest behind. The store
 * has an outage at any time.
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

mtype = {None, Accepted, Refused, NotMade, Unknown};
mtype = {DifferentKeys, SameKey, SecondNeedsFirst};

typedef Manifest {
  byte version;
  byte revision;
  byte key[2];
  bool done[CHANGES];    /* ids of accepted changes */
  bool refused[CHANGES]; /* ids of changes refused for good */
};

typedef Swap {
  bool pending;
  byte expected;
  Manifest next;
  bool abandoned; /* nobody waits for the answer */
  bool answered;
  bool won;
};

mtype scenario;
bool resends; /* else hosts serve, which keeps the state space small */
bool up = true;
Manifest now;
Manifest before;
Swap swap[SWAPS];

byte effects[CHANGES];
mtype told[CHANGES] = None;

byte inForce[HOSTS];
bool ready[HOSTS];

inline copy(to, from) {
  to.version = from.version;
  to.revision = from.revision;
  to.key[0] = from.key[0];
  to.key[1] = from.key[1];
  to.done[0] = from.done[0];
  to.done[1] = from.done[1];
  to.refused[0] = from.refused[0];
  to.refused[1] = from.refused[1];
}

#define keyOf(c) ((scenario == SameKey) -> 0 : (c))

/* An accepted change is in the store and stays; a refused one never is. */
inline checkTold() {
  assert(told[0] != Accepted || (effects[0] == 1 && now.key[keyOf(0)] == 1));
  assert(told[1] != Accepted || (effects[1] == 1 && now.key[keyOf(1)] == 2));
  assert((told[0] != Refused && told[0] != NotMade) || effects[0] == 0);
  assert((told[1] != Refused && told[1] != NotMade) || effects[1] == 0);
}

inline tell(c, outcome) {
  told[c] = outcome;
  checkTold();
#ifdef MUTANT_PROBE_ACCEPTS
  assert(told[0] != Accepted || told[1] != Accepted);
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
  manifest.done[0] = false;
  manifest.done[1] = false;
  manifest.refused[0] = false;
  manifest.refused[1] = false;
}

inline takeSwap(n) {
  d_step {
#ifdef MUTANT_BLIND_OVERWRITE
    swap[n].won = true;
#else
    swap[n].won = (swap[n].expected == now.version);
#endif
    if
    :: swap[n].won ->
       copy(before, now);
       copy(now, swap[n].next);
       now.version = before.version + 1;
       if
       :: now.done[n / 4] && now.revision != before.revision ->
          effects[n / 4]++
       :: else -> skip
       fi;
       assert(effects[n / 4] <= 1);
       checkTold()
    :: else -> skip
    fi;
    swap[n].pending = false;
    swap[n].answered = !swap[n].abandoned;
    swap[n].won = swap[n].won && !swap[n].abandoned;
    swap[n].abandoned = false;
    swap[n].expected = 0;
    clear(swap[n].next)
  }
}

active proctype Store() {
  do
  :: atomic { up && swap[0].pending -> takeSwap(0) }
  :: atomic { up && swap[1].pending -> takeSwap(1) }
  :: atomic { up && swap[2].pending -> takeSwap(2) }
  :: atomic { up && swap[3].pending -> takeSwap(3) }
  :: atomic { up && swap[4].pending -> takeSwap(4) }
  :: atomic { up && swap[5].pending -> takeSwap(5) }
  :: atomic { up && swap[6].pending -> takeSwap(6) }
  :: atomic { up && swap[7].pending -> takeSwap(7) }
  od
}

active proctype Outage() {
  up = false;
  up = true
}

/* Prepares the swap that a host sends after it has read `seen`. */
inline prepare(c, seen, target, sound) {
  d_step {
    copy(target, seen);
    target.revision = seen.revision + 1;
    target.done[c] = true;
    sound = true;
#ifndef MUTANT_NO_COLLISION
    /* Both operators saw the empty tree. */
    sound = (seen.key[keyOf(c)] == 0);
#endif
    sound = sound &&
            !(scenario == SecondNeedsFirst && c == 1 && seen.key[0] == 0);
    target.key[keyOf(c)] = c + 1;
  }
}

/* Prepares the swap that records a refusal. */
inline prepareRefusal(c, seen, target) {
  d_step {
    copy(target, seen);
    target.refused[c] = true
  }
}

inline unavailable(c, uncertain, outcome) {
  if
  :: uncertain -> outcome = Unknown
  :: else -> outcome = NotMade
  fi
}

inline sendSwap(c, n, refusal) {
  if
  :: atomic { !up -> clear(swap[n].next);
       unavailable(c, uncertain, outcome) }
  :: atomic { up -> swap[n].expected = seen.version; swap[n].pending = true };
     if
     :: atomic { swap[n].answered ->
          if
          :: swap[n].won && refusal -> outcome = Refused
          :: swap[n].won && !refusal -> outcome = Accepted
          :: else -> skip
          fi;
          swap[n].answered = false;
          swap[n].won = false }
     /* The reply is lost, or the request, or it is only late. */
     :: atomic { true ->
          swap[n].abandoned = swap[n].pending;
          swap[n].answered = false;
          swap[n].won = false;
          uncertain = true;
          if
          :: !wasLost || seen.version > lostAt -> lostAt = seen.version
          :: else -> skip
          fi;
          wasLost = true;
#ifdef MUTANT_LOST_REPLY_IS_FAILURE
          outcome = NotMade
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

/* Decides what follows from the manifest that was read. */
inline decide(c, resent, n) {
  if
#ifndef MUTANT_REAPPLY
  :: seen.done[c] -> outcome = Accepted
  :: seen.refused[c] -> outcome = Refused
  :: else ->
#else
  :: true ->
#endif
     uncertain = resent || (wasLost && seen.version <= lostAt);
     prepare(c, seen, swap[n].next, sound);
     if
#ifdef MUTANT_NO_SETTLE
     :: !sound -> outcome = Refused; clear(swap[n].next)
#else
     :: !sound && !uncertain -> outcome = Refused; clear(swap[n].next)
     :: !sound && uncertain -> prepareRefusal(c, seen, swap[n].next)
#endif
     :: sound -> skip
     fi
  fi
}

/* One host's handling of a change. */
inline commit(c, resent, first) {
  outcome = None;
  uncertain = resent;
  do
  :: outcome != None -> break
  :: atomic { outcome == None && tries == HOST_TRIES ->
       unavailable(c, uncertain, outcome) }
  :: outcome == None && tries < HOST_TRIES ->
     if
     :: atomic { up -> copy(seen, now); decide(c, resent, first + tries) }
     :: atomic { up && before.version != now.version ->
          copy(seen, before); decide(c, resent, first + tries) }
     :: atomic { !up -> unavailable(c, uncertain, outcome) }
     fi;
     if
     :: outcome == None -> sendSwap(c, first + tries, !sound)
     :: else -> skip
     fi;
     atomic { clear(seen); sound = false; tries++ }
  od;
  atomic {
    tries = 0;
    wasLost = false;
    lostAt = 0;
    uncertain = false;
    tell(c, outcome)
  }
}

proctype Operator(byte c) {
  Manifest seen;
  byte tries;
  byte lostAt;
  bool wasLost;
  bool uncertain;
  bool sound;
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

/* A host takes a revision from the store or from its peer. */
inline offer(h, offered) {
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
  :: h == STARTING && !up -> atomic { ready[h] = true; offer(h, 0) }
  :: up
  fi;
#endif
  do
  :: atomic { up && now.revision != inForce[h] -> offer(h, now.revision) }
  :: atomic { up && before.revision != inForce[h] ->
       offer(h, before.revision) }
  :: atomic { inForce[peer] != inForce[h] -> offer(h, inForce[peer]);
#ifdef MUTANT_PROBE_FROM_PEER
       assert(up || h != STARTING || !ready[h]);
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
