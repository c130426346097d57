/* Settings: operators race to change them through the platform.
 *
 * Each operator's node reads the head, then moves it by compare-and-set
 * together with its change id. The platform may answer, lose the answer after
 * the write took effect, lose the request, or hold the write back and let it
 * take effect at any later time. The node settles doubt by reading its change
 * id: found is accepted; not found is final only after the condition failed,
 * since until then a held write may still come.
 *
 * Readers take versions from the platform's head or from each other, and
 * restart at any time, forgetting everything.
 *
 * Promises:
 *   - a version has one winner (table row `winner`, written once);
 *   - "accepted" is told only for a change that is in the history for good,
 *     "lost the race" only for one that never takes effect;
 *   - a version in force at a node only rises, until the node restarts, and
 *     a restarted node is not ready below what the platform named as head.
 *
 * Mutations: see MUTATION_ below; each breaks a promise and must be caught. */

#define OPERATORS 2
#define READERS 2
#define MAX_VERSION 2 /* one for each operator */
#define NOBODY 99

/* The platform: the head, and who won each version. */
byte head = 0;
byte winner[MAX_VERSION + 1] = NOBODY;
bool recorded[OPERATORS]; /* the change row */

/* One write of each operator that the network holds back. */
bool held[OPERATORS];
byte held_expected[OPERATORS];

/* What operators were told. */
mtype = {untold, accepted, lost, unknown};
mtype told[OPERATORS] = untold;

/* The compare-and-set, one transaction with the change row. A change that is
 * recorded already is refused by the condition too, as the head moved. */
inline move_head(who, expected, done) {
  d_step {
    if
#ifdef MUTATION_BLIND_WRITE
    :: (head < MAX_VERSION) ->
      head = expected + 1;
#else
    :: (head == expected && head < MAX_VERSION) ->
      head = head + 1;
#endif
      /* one winner for a version */
      assert(winner[head] == NOBODY);
      winner[head] = who;
      recorded[who] = true;
      assert(told[who] != lost);
      done = true
    :: else ->
      done = false
    fi
  }
}

/* The held writes may take effect at any time, or never. */
active proctype network() {
  bool done;
  byte who;
end:
  do
  :: atomic {
      held[0] -> who = 0; held[0] = false
    }
    move_head(who, held_expected[who], done)
  :: atomic {
      held[1] -> who = 1; held[1] = false
    }
    move_head(who, held_expected[who], done)
  od
}

active [OPERATORS] proctype operator() {
  byte me = _pid - 1; /* the network is process 0 */
  byte base;
  byte tries = 0;
  bool done = false;
  bool condition_failed = false;

  base = head;

send:
  if
  :: tries == 2 ->
    told[me] = unknown; /* 503: may have been accepted */
    goto finished
  :: else -> tries++
  fi;
  condition_failed = false;
  if
  :: /* answered */
    move_head(me, base, done);
    if
    :: done -> goto won
    :: else -> condition_failed = true
    fi
  :: /* took effect, answer lost */
    move_head(me, base, done)
  :: /* request lost */
    skip
  :: /* held back; the network carries one such write for each operator */
    atomic {
      !held[me] -> held[me] = true; held_expected[me] = base
    }
  fi;

#ifdef MUTATION_NO_READ_BACK
  if
  :: condition_failed -> goto beaten
  :: else -> goto send
  fi;
#endif

  /* read the change id */
  if
  :: recorded[me] -> goto won
  :: else ->
    if
#ifdef MUTATION_ABSENT_IS_LOST
    :: true -> goto beaten
#else
    :: condition_failed -> goto beaten
    :: else -> goto send
#endif
    fi
  fi;

won:
  skip;
  d_step {
    told[me] = accepted;
    assert(recorded[me]);
    assert(winner[1] == me || winner[2] == me)
  };
  goto finished;

beaten:
  skip;
  /* told 409: the change is not in force and never will be */
  d_step {
    told[me] = lost;
    assert(!recorded[me])
  }

finished:
  skip
}

/* What each reader has in force; 0 before it has learnt any. */
byte in_force[READERS];

active [READERS] proctype reader() {
  byte me = _pid - 1 - OPERATORS;
  byte seen;
  byte named = 0; /* the highest head that the platform named to this life */
  byte before;
end:
  do
  :: /* poll the head, then fetch: the head may move between */
    d_step {
      seen = head;
      if
      :: seen > named -> named = seen
      :: else
      fi
    };
    goto adopt
  :: /* a peer's snapshot, which may be old when it arrives */
    d_step {
      seen = in_force[1 - me]
    };
adopt:
    skip;
    d_step {
      before = in_force[me];
      if
#ifdef MUTATION_TAKE_LOWER
      :: true -> in_force[me] = seen
#else
      :: seen > in_force[me] -> in_force[me] = seen
      :: else
#endif
      fi;
      assert(in_force[me] >= before); /* versions only rise */
      assert(in_force[me] <= head); /* only what was accepted */
      assert(in_force[me] >= named); /* ready: not below the named head */
      before = 0;
      seen = 0
    }
  :: /* a host is replaced: it keeps nothing */
    d_step {
      in_force[me] = 0;
      named = 0
    }
  od
}
