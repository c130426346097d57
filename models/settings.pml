/* Settings: concurrent changes by several operators through the platform.
 *
 * Each operator's node reads the head, then moves it by compare-and-set
 * together with its change id. The platform may answer, lose the answer after
 * the write took effect, lose the request, or delay the write until any later
 * time. The node resolves an unknown outcome by reading its change id. If the
 * id is found, the change is accepted. If it is not found, the change has
 * failed only if the condition failed before, since otherwise a delayed write
 * may still take effect.
 *
 * Readers take versions from the platform's head or from each other, and may
 * restart at any time without any stored state.
 *
 * Checked properties:
 *   - each version is written by exactly one operator (`winner`, written once);
 *   - "accepted" is answered only for a change that is permanently in the
 *     history, "lost the race" only for one that never takes effect;
 *   - the version in force at a node only increases until the node restarts,
 *     and a restarted node is not ready below the head that the platform
 *     reported.
 *
 * Mutations: the MUTATION_ macros below. Each violates one of these properties
 * and must be caught. */

#define OPERATORS 2
#define READERS 2
#define MAX_VERSION 2 /* one for each operator */
#define NO_OPERATOR 99

/* The platform: the head, and the operator that wrote each version. */
byte head = 0;
byte winner[MAX_VERSION + 1] = NO_OPERATOR;
bool recorded[OPERATORS]; /* the row of the operator's change id exists */

/* At most one delayed write of each operator. */
bool delayed[OPERATORS];
byte delayed_expected[OPERATORS];

/* The answer to each operator. */
mtype = {unanswered, accepted, lost_race, unknown};
mtype answer[OPERATORS] = unanswered;

/* The compare-and-set of the head, in one transaction with the change row.
 * A change that is already recorded fails the condition: the head has moved. */
inline move_head(writer, expected, moved) {
  d_step {
    if
#ifdef MUTATION_BLIND_WRITE
    :: (head < MAX_VERSION) ->
      head = expected + 1;
#else
    :: (head == expected && head < MAX_VERSION) ->
      head = head + 1;
#endif
      /* exactly one operator writes a version */
      assert(winner[head] == NO_OPERATOR);
      winner[head] = writer;
      recorded[writer] = true;
      assert(answer[writer] != lost_race);
      moved = true
    :: else ->
      moved = false
    fi
  }
}

/* A delayed write may take effect at any time, or never. */
active proctype network() {
  bool moved;
  byte writer;
end:
  do
  :: atomic {
      delayed[0] -> writer = 0; delayed[0] = false
    }
    move_head(writer, delayed_expected[writer], moved)
  :: atomic {
      delayed[1] -> writer = 1; delayed[1] = false
    }
    move_head(writer, delayed_expected[writer], moved)
  od
}

active [OPERATORS] proctype operator() {
  byte operator_index = _pid - 1; /* the network is process 0 */
  byte base;
  byte attempts = 0;
  bool moved = false;
  bool condition_failed = false;

  base = head;

send:
  if
  :: attempts == 2 ->
    answer[operator_index] = unknown; /* 503: may have been accepted */
    goto finished
  :: else -> attempts++
  fi;
  condition_failed = false;
  if
  :: /* answered */
    move_head(operator_index, base, moved);
    if
    :: moved -> goto change_accepted
    :: else -> condition_failed = true
    fi
  :: /* took effect, answer lost */
    move_head(operator_index, base, moved)
  :: /* request lost */
    skip
  :: /* delayed; at most one such write for each operator */
    atomic {
      !delayed[operator_index] -> delayed[operator_index] = true;
      delayed_expected[operator_index] = base
    }
  fi;

#ifdef MUTATION_NO_READ_BACK
  if
  :: condition_failed -> goto change_lost
  :: else -> goto send
  fi;
#endif

  /* read the change id */
  if
  :: recorded[operator_index] -> goto change_accepted
  :: else ->
    if
#ifdef MUTATION_ABSENT_IS_LOST
    :: true -> goto change_lost
#else
    :: condition_failed -> goto change_lost
    :: else -> goto send
#endif
    fi
  fi;

change_accepted:
  skip;
  d_step {
    answer[operator_index] = accepted;
    assert(recorded[operator_index]);
    assert(winner[1] == operator_index || winner[2] == operator_index)
  };
  goto finished;

change_lost:
  skip;
  /* 409: the change is not in force and never will be */
  d_step {
    answer[operator_index] = lost_race;
    assert(!recorded[operator_index])
  }

finished:
  skip
}

/* The version in force at each reader; 0 before it has received one. */
byte in_force[READERS];

active [READERS] proctype reader() {
  byte reader_index = _pid - 1 - OPERATORS;
  byte seen;
  byte reported_head = 0; /* highest head that the platform reported since the
                             restart */
  byte before;
end:
  do
  :: /* polls the head, then fetches; the head may move in between */
    d_step {
      seen = head;
      if
      :: seen > reported_head -> reported_head = seen
      :: else
      fi
    };
    goto adopt
  :: /* receives a peer's snapshot, which may be old when it arrives */
    d_step {
      seen = in_force[1 - reader_index]
    };
adopt:
    skip;
    d_step {
      before = in_force[reader_index];
      if
#ifdef MUTATION_TAKE_LOWER
      :: true -> in_force[reader_index] = seen
#else
      :: seen > in_force[reader_index] -> in_force[reader_index] = seen
      :: else
#endif
      fi;
      assert(in_force[reader_index] >= before); /* versions only increase */
      assert(in_force[reader_index] <= head); /* only accepted versions */
      /* ready: not below the reported head */
      assert(in_force[reader_index] >= reported_head);
      before = 0;
      seen = 0
    }
  :: /* the host is replaced and loses all state */
    d_step {
      in_force[reader_index] = 0;
      reported_head = 0
    }
  od
}
