/* Retry credits over a chain of hops (src/libnode/shared/credit_ledger.h).
 *
 * A hop runs at a backend server and makes one nested call to the level below.
 * Any answer may be lost at any time. The hop whose answer is lost continues
 * with the credits granted to it, and its late answer is dropped. An attempt
 * may be refused as not run, refused by a draining server (the first such retry
 * costs no credit), or fail. Each level may retry, and a backend server may
 * repeat a nested call that has failed. Checked properties:
 *   - credits held anywhere plus credits spent never exceed CREDITS;
 *   - each level runs at most 1 + (credits spent) times.
 *
 * The sizes are small, because hops whose answers were lost run concurrently
 * with all others. The search is complete for 3 levels with 1 credit, and for 1
 * or 2 levels with 2 or 3 credits. NO_DRAINING leaves out the free retries.
 *
 * Mutations, each of which must violate an assertion:
 *   MUTATION_INFLATED_RETURN  an answer returns more than was granted, uncapped
 *   MUTATION_REFUND_LOST      the credits of a lost answer are returned,
 *                             although the hop below may still spend them
 *   MUTATION_REPEAT_KEEPS_LOAN  a server's repeat of a nested call keeps the
 *                             credits granted to it and returns them as well
 */
#ifndef DEPTH
#define DEPTH 3
#endif
#ifndef CREDITS
#define CREDITS 1
#endif
#define MAX_HOPS 24

#define NO_ANSWER 0
#define OK 1
#define FAILED 2
#define REFUSED 3
#define DRAINING 4
#define LOST 5

byte answer[MAX_HOPS];   /* by hop: its result */
byte returned[MAX_HOPS]; /* by hop: credits returned with the answer */
byte next_hop;
byte runs[DEPTH + 1];
byte held; /* credits in all ledgers and in answers in flight */
byte spent;

#define CHECK_CREDITS assert(held + spent <= CREDITS)

inline Return(ledger, granted, returned_credits) {
#ifdef MUTATION_INFLATED_RETURN
  ledger = ledger + returned_credits + 1; held = held + 1;
#else
  if
  :: returned_credits > granted ->
     held = held - (returned_credits - granted); ledger = ledger + granted
  :: else -> ledger = ledger + returned_credits
  fi;
#endif
  CHECK_CREDITS
}

inline Spend(ledger) { ledger--; held--; spent++; CHECK_CREDITS }

/* Hop `id` at `level` with its credits (level 0 is the caller's entry node),
 * and the nested call that it makes to level + 1. */
proctype Hop(byte id; byte level; byte hop_credits) {
  byte call_credits, granted_to_call, granted, child, status;
  bool free_retry_used;

  if
  :: level == 0 -> goto nested
  :: level > 0 ->
     atomic { answer[id] = REFUSED; returned[id] = hop_credits; goto end }
#ifndef NO_DRAINING
  :: level > 0 ->
     atomic { answer[id] = DRAINING; returned[id] = hop_credits; goto end }
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
  :: level == DEPTH ->
     atomic { answer[id] = OK; returned[id] = hop_credits; goto end }
  :: level == DEPTH ->
     atomic { answer[id] = FAILED; returned[id] = hop_credits; goto end }
  fi;

nested: /* GrantToNested: half, to leave credits for a concurrent nested call */
  atomic {
    granted_to_call = (level == 0 -> hop_credits : (hop_credits + 1) / 2);
    hop_credits = hop_credits - granted_to_call;
    call_credits = granted_to_call; free_retry_used = false
  }

attempt: /* GrantToAttempt */
  atomic {
    granted = (call_credits > 1 -> call_credits - 1 : call_credits);
    call_credits = call_credits - granted;
    assert(next_hop < MAX_HOPS);
    child = next_hop; next_hop++;
    run Hop(child, level + 1, granted)
  }
  if
  :: atomic { answer[child] != NO_ANSWER ->
       status = answer[child];
       Return(call_credits, granted, returned[child]);
       answer[child] = NO_ANSWER; returned[child] = 0; granted = 0; child = 0 }
  :: atomic { true ->
       status = LOST;
#ifdef MUTATION_REFUND_LOST
       call_credits = call_credits + granted; held = held + granted;
       CHECK_CREDITS;
#endif
       granted = 0; child = 0 }
  fi;
  if
  :: status == OK
  :: status != OK && status != DRAINING && call_credits > 0 ->
     atomic { Spend(call_credits); status = NO_ANSWER; goto attempt }
  :: status == DRAINING && !free_retry_used ->
     atomic { free_retry_used = true; status = NO_ANSWER; goto attempt }
  :: status != OK -> status = FAILED /* no retry: no credit or retry budget */
  fi;

  atomic { /* ReportToParent */
    hop_credits = hop_credits + call_credits; call_credits = 0;
    if
    :: level == 0 -> goto end
    :: level > 0 && status == OK
    :: level > 0 && status != OK /* the server passes the failure on */
    :: level > 0 && status != OK && hop_credits > 0 ->
       /* the backend server repeats the nested call for one credit:
        * RefuseNestedRetry */
#ifdef MUTATION_REPEAT_KEEPS_LOAN
       granted_to_call = (hop_credits + 1) / 2;
       Spend(hop_credits);
       call_credits = granted_to_call; held = held + granted_to_call;
       CHECK_CREDITS;
       goto attempt
#else
       Spend(hop_credits);
       goto nested
#endif
    fi;
    answer[id] = status; returned[id] = hop_credits
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
