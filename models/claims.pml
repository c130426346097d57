/* At-most-once execution for one idempotency key (entry_keys.cc,
 * claim_coordinator.cc and key_registry.cc in src/libnode/entry,
 * src/libplatform/claim_operation.cc).
 *
 * The model has two entry nodes; a caller that sends the same keyed request
 * several times, to either node, without waiting for an answer; the platform's
 * insert-if-absent, whose write may take effect late and whose answer may be
 * lost; and a backend server that runs or refuses each attempt, even if the
 * sender has gone. A node may pause between any two steps, restart with a new
 * incarnation and no state, and drop an old record that is no longer claiming
 * or running. The model has no time: a deadline or a timeout may occur at any
 * moment.
 *
 * Checked properties:
 *   - the request runs at most once;
 *   - a copy of the request that was answered "not run" is never dispatched,
 *     before or after;
 *   - "ran" is answered only if the request ran;
 *   - with ASSERT_KEY_NEVER_RAN also: "not run" is answered only while no copy
 *     with the same key has run.
 *
 * TICKET: the key is a ticket of node 0, incarnation 0; no platform is used.
 * DOUBT_ON_UNKNOWN: a claim whose result stays unknown is answered "may have
 * run" instead of "not run".
 *
 * Mutations, each of which must violate an assertion:
 *   MUTATION_LEASE            a claim expires while its holder is paused
 *   MUTATION_RUN_ON_UNKNOWN   a node dispatches although the claim is unknown
 *   MUTATION_FORGOTTEN_RUNS   a home without a record runs a forwarded request
 *   MUTATION_NEW_HOME         (TICKET) another node runs for a dead home
 */
#ifndef COPIES
#define COPIES 3
#endif
#define NODES 2
#define MAX_CLAIMS 6
#define MAX_RESTARTS 1

#define NO_RECORD 0
#define CLAIMING 1
#define RUNNING 2
#define UNCLAIMED 3
#define IDLE 4
#define DONE 5
#define OUTCOME_UNKNOWN 6

#define NO_CLAIM 0 /* claim ids start at 1 */
#define BIT(a) (1 << (a))

byte runs;
byte not_run; /* bit set of the copies answered "not run" */
byte sent;    /* copies sent so far */

byte state[NODES];
byte claim[NODES];   /* claim id of the record; NO_CLAIM before the first one */
byte waiters[NODES]; /* bit set of the copies that wait for the result */
byte incarnation[NODES];
byte restarts;
bool ticket_too_old;

byte holder; /* claim id in the platform's row */
byte claim_node[MAX_CLAIMS];
byte claim_incarnation[MAX_CLAIMS];
byte next_claim = 1;

/* copy, forwarded, incarnation */
chan inbox0 = [COPIES] of { byte, bool, byte };
chan inbox1 = [COPIES] of { byte, bool, byte };
chan inserts = [4] of { byte };        /* claim id */
chan reply0 = [4] of { byte, byte };   /* claim id, holder */
chan reply1 = [4] of { byte, byte };
chan attempts = [4] of { byte, byte }; /* node, incarnation */
chan result0 = [4] of { byte, bool };  /* incarnation, ran */
chan result1 = [4] of { byte, bool };

inline AnswerNotRun(mask) {
  not_run = not_run | (mask);
#ifdef ASSERT_KEY_NEVER_RAN
  assert((mask) == 0 || runs == 0)
#endif
}

/* StartRunning() in the code: the only place that dispatches. */
inline Dispatch(n) {
  assert((waiters[n] & not_run) == 0);
  state[n] = RUNNING;
  attempts!n, incarnation[n]
}

inline BeginClaim(n) {
  if
  :: claim[n] == NO_CLAIM ->
     assert(next_claim < MAX_CLAIMS);
     claim[n] = next_claim;
     claim_node[next_claim] = n;
     claim_incarnation[next_claim] = incarnation[n];
     next_claim++
  :: else
  fi;
  state[n] = CLAIMING;
  if
  :: nfull(inserts) -> inserts!claim[n]
  :: true /* the claim is lost on its way to the delegate */
  fi
}

/* An unreachable home and a lost forward or answer are answered "may have run".
 * This needs no step in the model, as nothing is asserted about it. */
inline ForwardTo(other, inc, a) {
  if
  :: other == 0 && nfull(inbox0) -> inbox0!a, true, inc
  :: other == 1 && nfull(inbox1) -> inbox1!a, true, inc
  :: true
  fi
}

inline OnRequest(n, a, forwarded) {
  if
  :: state[n] == NO_RECORD ->
#ifdef TICKET
     if
     :: n == 0 && incarnation[0] == 0 && !ticket_too_old ->
        waiters[n] = BIT(a); Dispatch(n)
     :: n == 1 && !forwarded -> ForwardTo(0, 0, a)
#ifdef MUTATION_NEW_HOME
     :: n == 1 && incarnation[0] > 0 -> waiters[n] = BIT(a); Dispatch(n)
#endif
     :: else /* answered "may have run" */
     fi
#else
     if
     :: forwarded ->
#ifdef MUTATION_FORGOTTEN_RUNS
        waiters[n] = BIT(a); Dispatch(n)
#else
        skip /* the record was dropped with age: answered "may have run" */
#endif
     :: else -> waiters[n] = BIT(a); BeginClaim(n)
     fi
#endif
  :: state[n] == CLAIMING || state[n] == RUNNING ->
     waiters[n] = waiters[n] | BIT(a)
  :: state[n] == UNCLAIMED -> waiters[n] = BIT(a); BeginClaim(n)
  :: state[n] == IDLE -> waiters[n] = BIT(a); Dispatch(n)
  :: state[n] == DONE -> assert(runs == 1)
  :: state[n] == OUTCOME_UNKNOWN /* answered "may have run" */
  fi
}

inline OnClaimKnown(n, c, h) {
  if
  :: state[n] != CLAIMING || claim[n] != c /* late, or of an earlier record */
  :: else ->
     if
     :: h == c -> Dispatch(n)
     :: else ->
        /* Another claim holds the key: drops the record and forwards the
         * waiting copies to the holder's node. A holder on this same node
         * belongs to an earlier incarnation or a dropped record. */
        state[n] = NO_RECORD; claim[n] = NO_CLAIM;
        if
        :: claim_node[h] != n && waiters[n] != 0 ->
           i = 0;
           do
           :: i < COPIES ->
              if
              :: (waiters[n] & BIT(i)) != 0 ->
                 ForwardTo(claim_node[h], claim_incarnation[h], i)
              :: else
              fi;
              i++
           :: else -> break
           od
        :: else /* answered "may have run" */
        fi;
        waiters[n] = 0
     fi
  fi
}

/* The claim timed out, or the deadline passed while claiming. */
inline OnClaimUnknown(n) {
#ifdef MUTATION_RUN_ON_UNKNOWN
  Dispatch(n)
#else
#ifndef DOUBT_ON_UNKNOWN
  AnswerNotRun(waiters[n]);
#endif
  waiters[n] = 0; state[n] = UNCLAIMED
#endif
}

inline OnResult(n, inc, ran) {
  if
  :: inc != incarnation[n] || state[n] != RUNNING
  :: else ->
     if
     :: ran -> state[n] = DONE; assert(runs == 1)
     :: else -> state[n] = IDLE; AnswerNotRun(waiters[n])
     fi;
     waiters[n] = 0
  fi
}

active [NODES] proctype Node() {
  byte a, inc, c, h, i;
  bool flag;
end:
  do
  :: atomic { (_pid == 0 && nempty(inbox0)) || (_pid == 1 && nempty(inbox1)) ->
       if
       :: _pid == 0 -> inbox0?a, flag, inc
       :: _pid == 1 -> inbox1?a, flag, inc
       fi;
       if
       :: flag && inc != incarnation[_pid] /* home restarted: "may have run" */
       :: else -> OnRequest(_pid, a, flag)
       fi;
       a = 0; inc = 0; flag = false; i = 0 }
  :: atomic { (_pid == 0 && nempty(reply0)) || (_pid == 1 && nempty(reply1)) ->
       if
       :: _pid == 0 -> reply0?c, h
       :: _pid == 1 -> reply1?c, h
       fi;
       OnClaimKnown(_pid, c, h);
       c = 0; h = 0; i = 0 }
  :: atomic { state[_pid] == CLAIMING -> OnClaimUnknown(_pid) }
  :: atomic { (_pid == 0 && nempty(result0)) ||
              (_pid == 1 && nempty(result1)) ->
       if
       :: _pid == 0 -> result0?inc, flag
       :: _pid == 1 -> result1?inc, flag
       fi;
       OnResult(_pid, inc, flag);
       inc = 0; flag = false }
  /* The link to the serving node is lost. */
  :: atomic { state[_pid] == RUNNING ->
       state[_pid] = OUTCOME_UNKNOWN; waiters[_pid] = 0 }
  /* The deadline passes; the record still accepts the late answer. */
  :: atomic { state[_pid] == RUNNING && waiters[_pid] != 0 ->
       waiters[_pid] = 0 }
  /* A record that is not claiming or running is dropped with age. A record of a
   * ticket is dropped only once the ticket is too old to be accepted. */
  :: atomic { state[_pid] >= UNCLAIMED ->
       ticket_too_old = true;
       state[_pid] = NO_RECORD; claim[_pid] = NO_CLAIM }
  :: atomic { restarts < MAX_RESTARTS && sent > 0 ->
       restarts++; incarnation[_pid]++;
       state[_pid] = NO_RECORD; claim[_pid] = NO_CLAIM; waiters[_pid] = 0 }
  od
}

active proctype Platform() {
  byte c;
end:
  do
  :: atomic { inserts?c ->
       if
       :: holder == NO_CLAIM -> holder = c
       :: else
       fi;
       if
       :: claim_node[c] == 0 && nfull(reply0) -> reply0!c, holder
       :: claim_node[c] == 1 && nfull(reply1) -> reply1!c, holder
       :: true /* the answer is lost; the write took effect */
       fi;
       c = 0 }
#ifdef MUTATION_LEASE
  :: atomic { holder != NO_CLAIM -> holder = NO_CLAIM }
#endif
  od
}

active proctype BackendServer() {
  byte n, inc;
  bool ran;
end:
  do
  :: atomic { attempts?n, inc ->
       if
       :: runs++; ran = true; assert(runs <= 1)
       :: ran = false
       fi;
       if
       :: n == 0 && nfull(result0) -> result0!inc, ran
       :: n == 1 && nfull(result1) -> result1!inc, ran
       :: true /* the answer is lost */
       fi;
       n = 0; inc = 0; ran = false }
  od
}

active proctype Caller() {
  do
  :: atomic { sent < COPIES -> inbox0!sent, false, 0; sent++ }
  :: atomic { sent < COPIES -> inbox1!sent, false, 0; sent++ }
  :: sent == COPIES -> break
  od
}
