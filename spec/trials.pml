/* Trials of a request that ends each leaf which runs it (core::CrashTrials,
 * core::CrashLedger, registry::TrialFeed).
 *
 * A first volley has ended leaves; its runs are one round in the store. From
 * then on a host runs the request only once it has replaced the store's record,
 * which holds only if that is unchanged since the host read it. Hosts read the
 * store late but in order, take any open trial for lapsed at any time, and end
 * amid a trial. However often the request comes, it is run at most twice more.
 */
// mutants: NO_FENCE CLOSE_FIRST LAPSE_FREE

#define HOSTS 4
#define ROUNDS 3 /* from which on the request is refused */
#define BOUND 2  /* runs after the first volley; callers may see three */

/* The store: the record and its revision, and the rounds of the runs. */
byte revision;
bool open;
byte lapsed;
byte rounds = 1;

byte runs;

inline read_store() {
  d_step {
    known_revision = revision;
    known_open = open;
    known_lapsed = lapsed;
    known_rounds = rounds
  }
}

proctype Host() {
  byte known_revision, known_lapsed, known_rounds, own, round;
  bool known_open, taken;
  read_store();

again:
  if
  :: read_store(); goto again
  /* Refused: leaves ended in too many rounds, or may have. */
  :: known_rounds + known_lapsed >= ROUNDS -> goto again
  :: known_rounds + known_lapsed < ROUNDS ->
#ifndef MUTANT_LAPSE_FREE
     if
     :: known_open && known_rounds + known_lapsed + 1 >= ROUNDS -> goto again
     :: else
     fi;
#endif
     atomic {
       taken = false;
       if
#ifdef MUTANT_NO_FENCE
       :: true ->
#else
       :: revision == known_revision ->
#endif
          taken = true;
          revision++;
#ifndef MUTANT_LAPSE_FREE
          lapsed = known_lapsed + (known_open -> 1 : 0);
#endif
          open = true;
          own = revision;
          round = known_rounds + 1;
          /* The reply tells what it has written itself. */
          known_revision = revision;
          known_open = true;
          known_lapsed = lapsed;
          runs++;
          assert(runs <= BOUND)
       :: else
       fi
     };
     if
     :: !taken -> goto again
     :: taken
     fi;
     if
     /* Its process ends; another one reads the store. */
     :: read_store(); goto again
     /* It learns that a leaf has ended, and closes the trial. */
     :: true
     fi;
#ifdef MUTANT_CLOSE_FIRST
     atomic {
       if
       :: revision == own -> open = false; revision++
       :: else
       fi
     };
     rounds = (round > rounds -> round : rounds);
#else
     atomic {
       rounds = (round > rounds -> round : rounds);
       if
       :: revision == own -> open = false; revision++
       :: else
       fi
     };
#endif
     goto again
  fi
}

init {
  atomic {
    byte i = 0;
    do
    :: i < HOSTS -> run Host(); i++
    :: else -> break
    od
  }
}
