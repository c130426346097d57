/* Retry credits over a chain of hops (src/libnode/credit_ledger.h).
 *
 * A hop runs at a backend server and makes one nested call to the level below.
 * Any answer may be lost at any time; the hop that sent it goes on below, with
 * the credits it was lent, and its answer is dropped when it comes. A call may
 * be refused unrun, refused by a leaving server (its retry is free, once), or
 * fail; each layer may retry, and a backend server may repeat a nested call
 * that was given up on. Two promises:
 *   - credits held anywhere plus credits spent never exceed CREDITS;
 *   - each level runs at most 1 + credits spent times.
 *
 * The sizes are small because hops whose answer was lost run beside all others:
 * 3 levels with 1 credit, and 1 or 2 levels with 2 or 3, are searched whole.
 * NO_DRAINING leaves the free retries out.
 *
 * Mutations, each of which must be caught:
 *   MUTATION_INFLATED_RETURN  an answer returns more than was lent, uncapped
 *   MUTATION_REFUND_LOST      a lost answer's credits are given back although
 *                             the hop below may still spend them
 *   MUTATION_REPEAT_KEEPS_LOAN  a server's repeat of a nested call keeps the
 *                             credits lent to it and returns them as well
 */
#ifndef DEPTH
#define DEPTH 3
#endif
#ifndef CREDITS
#define CREDITS 1
#endif
#define MAX_HOPS 24

#define NONE 0
#define OK 1
#define FAILED 2
#define REFUSED 3
#define DRAINING 4
#define LOST 5

byte answer[MAX_HOPS];   /* by hop: how it ended */
byte returned[MAX_HOPS]; /* by hop: credits that came back with the answer */
byte next_hop;
byte runs[DEPTH + 1];
byte held; /* credits in all ledgers and answers under way */
byte spent;

#define CHECK assert(held + spent <= CREDITS)

inline Return(ledger, lent, came_back) {
#ifdef MUTATION_INFLATED_RETURN
  ledger = ledger + came_back + 1; held = held + 1;
#else
  if
  :: came_back > lent ->
     held = held - (came_back - lent); ledger = ledger + lent
  :: else -> ledger = ledger + came_back
  fi;
#endif
  CHECK
}

inline Spend(ledger) { ledger--; held--; spent++; CHECK }

/* The serving hop `id` at `level` (0: the caller's entry node), and the entry
 * of its nested call at level + 1. */
proctype Hop(byte id; byte level; byte hop) {
  byte call, lent_call, lent, child, status;
  bool drained;

  if
  :: level == 0 -> goto nested
  :: level > 0 -> atomic { answer[id] = REFUSED; returned[id] = hop; goto end }
#ifndef NO_DRAINING
  :: level > 0 -> atomic { answer[id] = DRAINING; returned[id] = hop; goto end }
#endif
  :: level > 0 ->
     atomic {
       runs[level]++;
       assert(runs[level] <= 1 + spent);
       assert(runs[level] <= 1 + CREDITS)
     }
  fi;
  if
  :: level < DEPTH -> goto nested
  :: level == DEPTH -> atomic { answer[id] = OK; returned[id] = hop; goto end }
  :: level == DEPTH ->
     atomic { answer[id] = FAILED; returned[id] = hop; goto end }
  fi;

nested: /* LendToNested: half, so that a sibling still finds some */
  atomic {
    lent_call = (level == 0 -> hop : (hop + 1) / 2);
    hop = hop - lent_call; call = lent_call; drained = false
  }

try: /* LendToAttempt */
  atomic {
    lent = (call > 1 -> call - 1 : call);
    call = call - lent;
    assert(next_hop < MAX_HOPS);
    child = next_hop; next_hop++;
    run Hop(child, level + 1, lent)
  }
  if
  :: atomic { answer[child] != NONE ->
       status = answer[child];
       Return(call, lent, returned[child]);
       answer[child] = NONE; returned[child] = 0; lent = 0; child = 0 }
  :: atomic { true ->
       status = LOST;
#ifdef MUTATION_REFUND_LOST
       call = call + lent; held = held + lent; CHECK;
#endif
       lent = 0; child = 0 }
  fi;
  if
  :: status == OK
  :: status != OK && status != DRAINING && call > 0 ->
     atomic { Spend(call); status = NONE; goto try }
  :: status == DRAINING && !drained ->
     atomic { drained = true; status = NONE; goto try }
  :: status != OK -> status = FAILED /* gives up: no credit or no budget */
  fi;

  atomic { /* ReturnToParent */
    hop = hop + call; call = 0;
    if
    :: level == 0 -> goto end
    :: level > 0 && status == OK
    :: level > 0 && status != OK /* the server passes the failure on */
    :: level > 0 && status != OK && hop > 0 ->
       /* the backend server repeats the nested call: RefuseNestedRepeat */
#ifdef MUTATION_REPEAT_KEEPS_LOAN
       lent_call = (hop + 1) / 2;
       Spend(hop);
       call = lent_call; held = held + lent_call; CHECK;
       goto try
#else
       Spend(hop);
       goto nested
#endif
    fi;
    answer[id] = status; returned[id] = hop
  }
end:
  skip
}

init {
  atomic {
    held = CREDITS;
    next_hop = 1;
    run Hop(0, 0, CREDITS)
  }
}
