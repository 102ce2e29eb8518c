/*
 * Keyed writes: one key, two hosts, one caller that resends.
 *
 * The key's entry lives in one store document that is changed by
 * compare-and-swap. A host dispatches only under a claim that it has seen in
 * the store and that holds its own attempt; here an attempt is named by its
 * send number, since each send makes one.
 *
 * Faults: every store call may be refused; a swap's reply may be lost before,
 * after or long before its effect; hosts pause at each step (interleaving) and
 * crash at each step; sends reach a host late; the caller gives up at any time.
 */

// mutants: DISPATCH_UNCONFIRMED LEASE_ONLY LOST_REPLY_IS_FAILURE TAKE_OVER
// mutants: RELEASE_AFTER_DISPATCH REOPEN_FOR_OLD_SEND RESEND_NOT_RUN
// mutants: RELEASE_ANY_CLAIM
// mutants: PROBE_RUNS PROBE_REPLAYS PROBE_REOPENS

#define SENDS 3
#define MAX_CRASHES 1

mtype = {Absent, Claimed, Released, Finished, Unknown};
mtype = {Taken, Beaten, Refused, Lost};

/* The entry in the store. */
mtype state = Absent;
byte owner = 0;     /* attempt of the last claim */
byte closed = 0;    /* send number up to which "not run" is final */
byte revision = 0;

/* A claim whose reply is lost and that may land later, or never. */
byte lateOwner = 0;
byte lateRevision = 0;

byte lease = 0;     /* holder, used by a mutant only */

/* What really happened, and what the caller was told. */
byte executions = 0;
byte executedBy = 0;
byte toldNotRun = 0;
byte current = 0;
byte reopened = 0;

bool crash[2];
byte crashes = 0;
byte abandoned[2];  /* attempt whose claim has to be released */

chan inbox[2] = [SENDS] of {byte};

/* A caller hears only of its current send. */
inline answerRan(answered, writer) {
  atomic {
    if
    :: answered == current ->
       assert(executions == 1 && writer == executedBy);
#ifdef MUTANT_PROBE_REPLAYS
       assert(answered == writer);
#endif
    :: else
    fi
  }
}

inline answerNotRun(answered) {
  atomic {
    if
    :: answered == current ->
       assert(executions == 0);
       toldNotRun = answered
    :: else
    fi
  }
}

/* Says nothing that could be false. */
inline answerUnknown(answered) {
  skip
}

inline readEntry() {
  atomic {
    if
    :: readable = true;
       seen = state; seenOwner = owner; seenClosed = closed;
       seenRevision = revision
    :: readable = false
    fi
  }
}

inline apply(newState, newOwner, newClosed) {
  state = newState; owner = newOwner; closed = newClosed;
  revision++
}

/* Swaps the entry that was read for a claim. */
inline swap(newState, newOwner, newClosed) {
  atomic {
    if
    :: result = Refused
    :: revision == seenRevision -> apply(newState, newOwner, newClosed);
       result = Taken
    :: revision != seenRevision -> result = Beaten
    :: revision == seenRevision -> apply(newState, newOwner, newClosed);
       result = Lost
    :: lateOwner == 0 ->
       lateRevision = seenRevision; lateOwner = newOwner;
       result = Lost
    :: lateOwner != 0 -> result = Lost
    fi
  }
}

/* The claim can't be confirmed: this attempt is never dispatched. An earlier
 * send of the key may have run, so that only a first send is known not run. */
inline refuse(sent) {
  if
  :: mayHaveLanded -> abandoned[h] = sent
  :: else
  fi;
#ifdef MUTANT_RESEND_NOT_RUN
  answerNotRun(sent)
#else
  if
  :: sent == 1 -> answerNotRun(sent)
  :: else -> answerUnknown(sent)
  fi
#endif
}

inline execute(sent) {
  atomic {
    executions++;
    executedBy = sent;
    assert(executions <= 1);
    assert(sent > toldNotRun);
#ifdef MUTANT_PROBE_RUNS
    assert(false);
#endif
#ifdef MUTANT_PROBE_REOPENS
    assert(reopened != sent);
#endif
  }
}

proctype Host(byte h) {
  byte n;
  mtype seen;
  byte seenOwner, seenClosed, seenRevision;
  bool readable, mayHaveLanded;
  mtype result, outcome;

  do
  :: {
     inbox[h]?n;

claim:
     readEntry();
     if
     :: !readable -> refuse(n); goto done
     :: readable && seen == Finished -> answerRan(n, seenOwner); goto done
     :: readable && seen == Unknown -> answerUnknown(n); goto done
     :: readable && seen == Claimed && seenOwner == n -> goto dispatch
     :: readable && seen == Claimed && seenOwner != n ->
#ifdef MUTANT_TAKE_OVER
        skip
#else
        answerUnknown(n); goto done
#endif
     :: readable && seen == Released && n <= seenClosed ->
#ifdef MUTANT_REOPEN_FOR_OLD_SEND
        skip
#else
        answerNotRun(n); goto done
#endif
     :: readable && (seen == Absent || (seen == Released && n > seenClosed)) ->
        if
        :: seen == Released -> reopened = n
        :: else
        fi
     fi;

#ifdef MUTANT_LEASE_ONLY
     if
     :: atomic { lease == 0 -> lease = n }; goto dispatch
     :: lease != 0 -> answerUnknown(n); goto done
     fi;
#endif
     swap(Claimed, n, seenClosed);
     if
     :: result == Taken -> goto dispatch
     :: result == Beaten -> goto claim
     :: result == Refused -> refuse(n); goto done
     :: result == Lost ->
#ifdef MUTANT_DISPATCH_UNCONFIRMED
        goto dispatch
#endif
#ifdef MUTANT_LOST_REPLY_IS_FAILURE
        /* Answers as if the claim had failed, then tries once more. */
        answerNotRun(n);
#endif
        mayHaveLanded = true; goto claim
     fi;

dispatch:
     if
     :: execute(n); outcome = Finished
     :: execute(n); outcome = Unknown      /* reply lost or late */
     :: outcome = Unknown                  /* lost on the way there */
     :: outcome = Released                 /* refused: nothing ran */
     fi;
#ifdef MUTANT_RELEASE_AFTER_DISPATCH
     if
     :: outcome == Unknown -> outcome = Released; answerUnknown(n)
     :: outcome == Released -> answerNotRun(n)
     :: else -> answerRan(n, n)
     fi;
#else
     if
     :: outcome == Unknown -> answerUnknown(n)
     :: outcome == Released -> answerNotRun(n)
     :: else -> answerRan(n, n)
     fi;
#endif

     /* Reads and swaps until the entry is no longer its own: a lost reply or a
      * refused call only delays the one change, so that it is one step here. */
     seen = 0; seenOwner = 0; seenClosed = 0; seenRevision = 0; result = 0;
     atomic {
       if
       :: !(state == Claimed && owner == n) -> goto done
       :: state == Claimed && owner == n ->
          if
          :: outcome == Released -> apply(Released, n, n)
          :: else -> apply(outcome, n, closed)
          fi
       fi
     };
done:
     skip;
     d_step {
       n = 0; mayHaveLanded = false; readable = false; outcome = 0; result = 0;
       seen = 0; seenOwner = 0; seenClosed = 0; seenRevision = 0
     }
     } unless {
       atomic {
         crash[h] -> crash[h] = false; abandoned[h] = 0;
         n = 0; mayHaveLanded = false; readable = false; outcome = 0; result = 0;
         seen = 0; seenOwner = 0; seenClosed = 0; seenRevision = 0
       }
     }
  od
}

/* Releases abandoned claims in the background. An absent entry is closed too,
 * so that a claim on its way can't land any more. */
proctype Releaser(byte h) {
  do
  :: atomic {
       abandoned[h] != 0 ->
       if
#ifdef MUTANT_RELEASE_ANY_CLAIM
       :: state == Absent || state == Claimed ->
#else
       :: state == Absent || (state == Claimed && owner == abandoned[h]) ->
#endif
          apply(Released, abandoned[h], abandoned[h])
       :: else
       fi;
       abandoned[h] = 0
     }
  od
}

proctype Network() {
  do
  :: atomic {
       lateOwner != 0 ->
       if
       :: revision == lateRevision -> apply(Claimed, lateOwner, closed)
       :: else
       fi;
       lateOwner = 0; lateRevision = 0
     }
  od
}

proctype Faults() {
  do
  :: atomic { crashes < MAX_CRASHES && !crash[0] -> crash[0] = true; crashes++ }
  :: atomic { crashes < MAX_CRASHES && !crash[1] -> crash[1] = true; crashes++ }
#ifdef MUTANT_LEASE_ONLY
  :: lease != 0 -> lease = 0
#endif
  od
}

/* Sends again whether it was answered or gave up waiting. */
proctype Caller() {
  do
  :: atomic {
       current < SENDS ->
       current++;
       /* The hosts are alike, so that the first send may name one of them. */
       if
       :: inbox[0]!current
       :: current > 1 -> inbox[1]!current
       fi
     }
  od
}

init {
  atomic {
    run Host(0); run Host(1);
    run Releaser(0); run Releaser(1);
    run Network(); run Faults(); run Caller()
  }
}
