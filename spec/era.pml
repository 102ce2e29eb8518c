/* A store that comes back from an older copy: what was written since is gone,
   and revisions are given out again. Claims of keyed writes stay at most once.

   Two keys share a document. Key OLD is made before the store comes back, key
   NEW after it; one of them is sent twice, through different hosts, and another
   key writes the document meanwhile. A host confirms the record of the era, reads the
   document, and writes it by compare-and-swap that also expects the record.

   Not modelled: lost replies, clocks (a key's age is given), a second return. */

// mutants: ERA_IGNORED NO_GUARD RECORD_AFTER_GRANT REVISION_ONLY

#define OLD 0
#define NEW 1
#define OTHER 2

byte era = 1;
byte revision = 1;
/* The document: its revision (0: absent) and the claims in it. */
byte docAt = 0;
bool claimed[3];
/* The record: its revision (0: absent) and the era that it names. */
byte recordAt = 0;
byte recordEra = 0;

byte runs[3];

/* The copy. */
byte copyRevision, copyDocAt;
bool copyClaimed[3];

/* Other writes, of the document too, which make revisions meet again. */
active proctype Others() {
  do
  :: d_step { era == 1 && revision < 4 -> revision++ }
  :: d_step { era == 1 && revision < 4 -> revision++; docAt = revision }
  :: era == 2 -> break
  od
}

active proctype Store() {
  d_step {
    copyRevision = revision;
    copyDocAt = docAt;
    copyClaimed[0] = claimed[0];
    copyClaimed[1] = claimed[1];
    copyClaimed[2] = claimed[2]
  }
  d_step {
    revision = copyRevision;
    docAt = copyDocAt;
    claimed[0] = copyClaimed[0];
    claimed[1] = copyClaimed[1];
    claimed[2] = copyClaimed[2];
    era = 2
  }
}

inline confirmRecord() {
  /* The era is that of the read's reply. */
  d_step { known = era; guard = recordAt; named = recordEra }
  if
  :: known == 2 && named != 2 ->
     d_step {
       if
       :: recordAt == guard -> revision++; recordAt = revision; recordEra = 2
       :: else -> skip
       fi
     }
     goto confirm
  :: else -> skip
  fi
}

proctype Host(byte key) {
  byte known, guard, named, readEra, at, replyEra;
  bool done, c0, c1, c2;
  key != NEW || era == 2;
confirm:
  skip;
#ifdef MUTANT_RECORD_AFTER_GRANT
  d_step { known = era; guard = recordAt }
#else
  confirmRecord();
#endif
  d_step {
    readEra = era; at = docAt;
    c0 = claimed[0]; c1 = claimed[1]; c2 = claimed[2]
  }
#ifndef MUTANT_REVISION_ONLY
  if
  :: readEra != known -> goto confirm
  :: else -> skip
  fi;
#endif
  if
  :: (key == OLD && c0) || (key == NEW && c1) || (key == OTHER && c2) ->
     goto refused
#ifndef MUTANT_ERA_IGNORED
  /* Made before the rise: whether it ran is not known. */
  :: key != NEW && known == 2 -> goto refused
#endif
  :: else -> skip
  fi;
  d_step {
    done = false;
    replyEra = era;
    if
#ifdef MUTANT_NO_GUARD
    :: docAt == at ->
#else
    :: docAt == at && recordAt == guard ->
#endif
       claimed[0] = c0 || key == OLD;
       claimed[1] = c1 || key == NEW;
       claimed[2] = c2 || key == OTHER;
       revision++;
       docAt = revision;
       done = true
    :: else -> skip
    fi
  }
  if
#ifdef MUTANT_REVISION_ONLY
  :: done -> skip
#else
  :: done && replyEra == known -> skip
#endif
  :: else -> goto confirm
  fi;
  runs[key]++;
  assert(runs[key] <= 1);
refused:
  skip;
  /* Equal ends are one state. */
  d_step {
    known = 0; guard = 0; named = 0; readEra = 0; at = 0; replyEra = 0;
    done = false; c0 = false; c1 = false; c2 = false
  }
}

init {
  atomic {
    if
    :: run Host(OLD); run Host(OLD); run Host(NEW)
    :: run Host(NEW); run Host(NEW); run Host(OTHER)
    fi
  }
}
