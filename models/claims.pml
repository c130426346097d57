/* At most once for one idempotency key (src/libnode/entry_keys.cc,
 * claim_desk.cc, key_registry.cc, src/libplatform/claim_operation.cc).
 *
 * Two entry nodes; a caller that sends the same keyed request to either,
 * without waiting; the platform's insert-if-absent, whose write may take
 * effect late and whose answer may be lost; a backend server that may run or
 * refuse what it is sent, also after its sender is gone. A node may stand still
 * between any two steps (a pause), restart with a new incarnation and no
 * memory, and drop a settled record with age. There is no time in the model: a
 * deadline or a give-up may come at any moment.
 *
 * Promises:
 *   - the request runs at most once;
 *   - an asking that was told "not run" is never dispatched, before or after;
 *   - "ran" is told only if it ran;
 *   - with ASSERT_KEY_NEVER_RAN also: "not run" is told only while no earlier
 *     asking with the same key has run.
 *
 * With TICKET the key is a ticket of node 0, incarnation 0: no platform.
 * With DOUBT_ON_UNKNOWN a claim that stays unknown is told "may have run".
 *
 * Mutations, each of which must be caught:
 *   MUTATION_LEASE            a claim lapses while its holder is paused
 *   MUTATION_RUN_ON_UNKNOWN   a node dispatches though the claim is unknown
 *   MUTATION_FORGOTTEN_RUNS   a home without a record runs what is forwarded
 *   MUTATION_NEW_HOME         (TICKET) another node runs for a dead home
 */
#ifndef ASKS
#define ASKS 3
#endif
#define NODES 2
#define MAX_CLAIMS 6
#define RESTARTS 1

#define NO_RECORD 0
#define CLAIMING 1
#define RUNNING 2
#define UNCLAIMED 3
#define IDLE 4
#define DONE 5
#define DOUBT 6

#define NOBODY 0 /* claim ids start at 1 */
#define BIT(a) (1 << (a))

byte runs;
byte not_run; /* askings that were told so, as bits */
byte asked;   /* askings sent so far */

byte state[NODES];
byte claim[NODES];   /* of the record; NOBODY until it asks */
byte waiters[NODES]; /* askings that wait for the record's result, as bits */
byte incarnation[NODES];
byte restarts;
bool ticket_too_old;

byte holder; /* the platform's row */
byte claim_node[MAX_CLAIMS];
byte claim_incarnation[MAX_CLAIMS];
byte claims = 1;

chan inbox0 = [ASKS] of { byte, bool, byte }; /* asking, forwarded, incarnation */
chan inbox1 = [ASKS] of { byte, bool, byte };
chan inserts = [4] of { byte };        /* claim id */
chan reply0 = [4] of { byte, byte };   /* claim id, holder */
chan reply1 = [4] of { byte, byte };
chan work = [4] of { byte, byte };     /* node, incarnation */
chan result0 = [4] of { byte, bool };  /* incarnation, ran */
chan result1 = [4] of { byte, bool };

inline TellNotRun(mask) {
  not_run = not_run | (mask);
#ifdef ASSERT_KEY_NEVER_RAN
  assert((mask) == 0 || runs == 0)
#endif
}

/* StartRunning: the only place that dispatches. */
inline Dispatch(n) {
  assert((waiters[n] & not_run) == 0);
  state[n] = RUNNING;
  work!n, incarnation[n]
}

inline BeginClaim(n) {
  if
  :: claim[n] == NOBODY ->
     assert(claims < MAX_CLAIMS);
     claim[n] = claims;
     claim_node[claims] = n;
     claim_incarnation[claims] = incarnation[n];
     claims++
  :: else
  fi;
  state[n] = CLAIMING;
  if
  :: nfull(inserts) -> inserts!claim[n]
  :: true /* the message to the delegate is lost */
  fi
}

/* An unreachable home, or a lost forward or answer, is "may have run", which
 * needs no step of its own: nothing is asserted of it. */
inline ForwardTo(other, inc, a) {
  if
  :: other == 0 && nfull(inbox0) -> inbox0!a, true, inc
  :: other == 1 && nfull(inbox1) -> inbox1!a, true, inc
  :: true
  fi
}

inline OnAsking(n, a, forwarded) {
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
     :: else /* may have run */
     fi
#else
     if
     :: forwarded ->
#ifdef MUTATION_FORGOTTEN_RUNS
        waiters[n] = BIT(a); Dispatch(n)
#else
        skip /* the record was dropped with age: may have run */
#endif
     :: else -> waiters[n] = BIT(a); BeginClaim(n)
     fi
#endif
  :: state[n] == CLAIMING || state[n] == RUNNING ->
     waiters[n] = waiters[n] | BIT(a)
  :: state[n] == UNCLAIMED -> waiters[n] = BIT(a); BeginClaim(n)
  :: state[n] == IDLE -> waiters[n] = BIT(a); Dispatch(n)
  :: state[n] == DONE -> assert(runs == 1)
  :: state[n] == DOUBT /* may have run */
  fi
}

inline OnClaimKnown(n, c, h) {
  if
  :: state[n] != CLAIMING || claim[n] != c /* late, or of a life before */
  :: else ->
     if
     :: h == c -> Dispatch(n)
     :: else ->
        /* Another's: the record goes, the askings are passed on once. A holder
         * on this very node is an incarnation or record that is gone. */
        state[n] = NO_RECORD; claim[n] = NOBODY;
        if
        :: claim_node[h] != n && waiters[n] != 0 ->
           i = 0;
           do
           :: i < ASKS ->
              if
              :: (waiters[n] & BIT(i)) != 0 ->
                 ForwardTo(claim_node[h], claim_incarnation[h], i)
              :: else
              fi;
              i++
           :: else -> break
           od
        :: else /* may have run */
        fi;
        waiters[n] = 0
     fi
  fi
}

/* The claim desk gave up, or the deadline passed while claiming. */
inline OnClaimUnknown(n) {
#ifdef MUTATION_RUN_ON_UNKNOWN
  Dispatch(n)
#else
#ifndef DOUBT_ON_UNKNOWN
  TellNotRun(waiters[n]);
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
     :: else -> state[n] = IDLE; TellNotRun(waiters[n])
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
       :: flag && inc != incarnation[_pid] /* home gone: may have run */
       :: else -> OnAsking(_pid, a, flag)
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
  :: atomic { state[_pid] == RUNNING -> state[_pid] = DOUBT; waiters[_pid] = 0 }
  /* The deadline passes; the call lingers for its late answer. */
  :: atomic { state[_pid] == RUNNING && waiters[_pid] != 0 ->
       waiters[_pid] = 0 }
  /* A settled record is dropped with age, a ticket's only once it is refused. */
  :: atomic { state[_pid] >= UNCLAIMED ->
       ticket_too_old = true;
       state[_pid] = NO_RECORD; claim[_pid] = NOBODY }
  :: atomic { restarts < RESTARTS && asked > 0 ->
       restarts++; incarnation[_pid]++;
       state[_pid] = NO_RECORD; claim[_pid] = NOBODY; waiters[_pid] = 0 }
  od
}

active proctype Platform() {
  byte c;
end:
  do
  :: atomic { inserts?c ->
       if
       :: holder == NOBODY -> holder = c
       :: else
       fi;
       if
       :: claim_node[c] == 0 && nfull(reply0) -> reply0!c, holder
       :: claim_node[c] == 1 && nfull(reply1) -> reply1!c, holder
       :: true /* the answer is lost after the write took effect */
       fi;
       c = 0 }
#ifdef MUTATION_LEASE
  :: atomic { holder != NOBODY -> holder = NOBODY }
#endif
  od
}

active proctype BackendServer() {
  byte n, inc;
  bool ran;
end:
  do
  :: atomic { work?n, inc ->
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
  :: atomic { asked < ASKS -> inbox0!asked, false, 0; asked++ }
  :: atomic { asked < ASKS -> inbox1!asked, false, 0; asked++ }
  :: asked == ASKS -> break
  od
}
