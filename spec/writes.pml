/*
 * Models keyed writes with one key, two hosts and one caller that resends.
 *
 * The key's entry is in one store document that is changed by compare-and-swap.
 * A host dispatches only under a claim that it has read from the store and that
 * names its own attempt. Each send makes one attempt, so an attempt is
 * identified by its send number here.
 *
 * Faults: every store call may be refused; a swap's reply may be lost before,
 * after or long before the swap takes effect; hosts may pause (by interleaving)
 * or crash at each step; sends may reach a host late; the caller may give up at
 * any time.
 */

// mutants: DISPATCH_UNCONFIRMED LEASE_ONLY LOST_REPLY_IS_FAILURE TAKE_OVER
// mutants: RELEASE_AFTER_DISPATCH REOPEN_FOR_OLD_SEND RESEND_NOT_RUN
// mutants: RELEASE_ANY_CLAIM
// mutants: PROBE_RUNS PROBE_REPLAYS PROBE_REOPENS

#define SENDS 3
#define MAX_CRASHES 1

mtype = {Absent, Claimed, Released, Finished, Unknown};
mtype = {Swapped, Conflict, Refused, ReplyLost};

/* The entry in the store. */
mtype state = Absent;
byte owner = 0;          /* attempt that made the last claim */
byte notRunUpTo = 0;     /* sends up to this one never run */
byte revision = 0;

/* A claim whose reply was lost and that may take effect later, or never. */
byte delayedOwner = 0;
byte delayedRevision = 0;

byte lease = 0;     /* lease holder, used by a mutant only */

/* Executions, and the answers that the caller received. */
byte executions = 0;
byte executedBy = 0;
byte reportedNotRun = 0;
byte currentSend = 0;
byte reopenedFor = 0;

bool crash[2];
byte crashes = 0;
byte claimToRelease[2];  /* attempt whose claim is to be released, or 0 */

chan inbox[2] = [SENDS] of {byte};

/* The caller ignores answers to earlier sends. */
inline answerRan(answered, writer) {
  atomic {
    if
    :: answered == currentSend ->
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
    :: answered == currentSend ->
       assert(executions == 0);
       reportedNotRun = answered
    :: else
    fi
  }
}

/* "Unknown" is true of every outcome, so there is nothing to assert. */
inline answerUnknown(answered) {
  skip
}

inline readEntry() {
  atomic {
    if
    :: readable = true;
       seen = state; seenOwner = owner; seenNotRunUpTo = notRunUpTo;
       seenRevision = revision
    :: readable = false
    fi
  }
}

inline apply(newState, newOwner, newNotRunUpTo) {
  state = newState; owner = newOwner; notRunUpTo = newNotRunUpTo;
  revision++
}

/* Replaces the entry that was read by compare-and-swap. */
inline swap(newState, newOwner, newNotRunUpTo) {
  atomic {
    if
    :: result = Refused
    :: revision == seenRevision -> apply(newState, newOwner, newNotRunUpTo);
       result = Swapped
    :: revision != seenRevision -> result = Conflict
    :: revision == seenRevision -> apply(newState, newOwner, newNotRunUpTo);
       result = ReplyLost
    :: delayedOwner == 0 ->
       delayedRevision = seenRevision; delayedOwner = newOwner;
       result = ReplyLost
    :: delayedOwner != 0 -> result = ReplyLost
    fi
  }
}

/* Refuses a send whose claim can't be confirmed, so that this attempt is never
 * dispatched. Only the first send is answered "not run": an earlier send of the
 * key may have run. */
inline refuse(sent) {
  if
  :: claimMayExist -> claimToRelease[h] = sent
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
    assert(sent > reportedNotRun);
#ifdef MUTANT_PROBE_RUNS
    assert(false);
#endif
#ifdef MUTANT_PROBE_REOPENS
    assert(reopenedFor != sent);
#endif
  }
}

proctype Host(byte h) {
  byte n;
  mtype seen;
  byte seenOwner, seenNotRunUpTo, seenRevision;
  bool readable, claimMayExist;
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
     :: readable && seen == Released && n <= seenNotRunUpTo ->
#ifdef MUTANT_REOPEN_FOR_OLD_SEND
        skip
#else
        answerNotRun(n); goto done
#endif
     :: readable &&
        (seen == Absent || (seen == Released && n > seenNotRunUpTo)) ->
        if
        :: seen == Released -> reopenedFor = n
        :: else
        fi
     fi;

#ifdef MUTANT_LEASE_ONLY
     if
     :: atomic { lease == 0 -> lease = n }; goto dispatch
     :: lease != 0 -> answerUnknown(n); goto done
     fi;
#endif
     swap(Claimed, n, seenNotRunUpTo);
     if
     :: result == Swapped -> goto dispatch
     :: result == Conflict -> goto claim
     :: result == Refused -> refuse(n); goto done
     :: result == ReplyLost ->
#ifdef MUTANT_DISPATCH_UNCONFIRMED
        goto dispatch
#endif
#ifdef MUTANT_LOST_REPLY_IS_FAILURE
        /* Answers as if the claim had failed, then retries. */
        answerNotRun(n);
#endif
        claimMayExist = true; goto claim
     fi;

dispatch:
     if
     :: execute(n); outcome = Finished
     :: execute(n); outcome = Unknown      /* reply lost or late */
     :: outcome = Unknown                  /* request lost before it ran */
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

     /* The host reads and swaps until the entry no longer holds its own claim.
      * A lost reply or a refused call only delays this one change, so it is one
      * step here. */
     seen = 0; seenOwner = 0; seenNotRunUpTo = 0; seenRevision = 0; result = 0;
     atomic {
       if
       :: !(state == Claimed && owner == n) -> goto done
       :: state == Claimed && owner == n ->
          if
          :: outcome == Released -> apply(Released, n, n)
          :: else -> apply(outcome, n, notRunUpTo)
          fi
       fi
     };
done:
     skip;
     d_step {
       n = 0; claimMayExist = false; readable = false; outcome = 0; result = 0;
       seen = 0; seenOwner = 0; seenNotRunUpTo = 0; seenRevision = 0
     }
     } unless {
       atomic {
         crash[h] -> crash[h] = false; claimToRelease[h] = 0;
         n = 0; claimMayExist = false; readable = false;
         outcome = 0; result = 0;
         seen = 0; seenOwner = 0; seenNotRunUpTo = 0; seenRevision = 0
       }
     }
  od
}

/* Releases claims that are not dispatched, in the background. An absent entry
 * is closed too, so that a delayed claim can no longer take effect. */
proctype Releaser(byte h) {
  do
  :: atomic {
       claimToRelease[h] != 0 ->
       if
#ifdef MUTANT_RELEASE_ANY_CLAIM
       :: state == Absent || state == Claimed ->
#else
       :: state == Absent || (state == Claimed && owner == claimToRelease[h]) ->
#endif
          apply(Released, claimToRelease[h], claimToRelease[h])
       :: else
       fi;
       claimToRelease[h] = 0
     }
  od
}

proctype Network() {
  do
  :: atomic {
       delayedOwner != 0 ->
       if
       :: revision == delayedRevision ->
          apply(Claimed, delayedOwner, notRunUpTo)
       :: else
       fi;
       delayedOwner = 0; delayedRevision = 0
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

/* Sends again, whether it received an answer or gave up waiting. */
proctype Caller() {
  do
  :: atomic {
       currentSend < SENDS ->
       currentSend++;
       /* The hosts are symmetric, so the first send always goes to host 0. */
       if
       :: inbox[0]!currentSend
       :: currentSend > 1 -> inbox[1]!currentSend
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
