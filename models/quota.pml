/* Quotas: the tokens of one customer in two data centres.
 *
 * Nodes 0 and 1 are in the first data centre: one of them is the home, and the
 * other takes over when it crashes or stalls. Node 2 is the home of the second.
 * A home without tokens asks the other data centre for a loan, which may be
 * lost. An entry node whose home and deputy are unresponsive gives out its own
 * part and charges the home with it; the charge may be lost.
 *
 * Time is counted in ticks, in each of which a bucket earns one token, up to
 * BURST. A node that becomes the home has the tokens of the time since then.
 * The old home hears of it later: until then two nodes believe that they are
 * the home. Gossip takes GOSSIP_TICKS while both run. A stalled home hears
 * nothing, and resumes with the tokens that it had.
 *
 * Checked property: in a window that begins at any time, no more is given out
 * than the bursts and the tokens earned in it (docs/design/quotas.md), and
 *   - the tokens that a second believed home earned while both ran, and that
 *     its data centre was lent in this time,
 *   - the burst of one data centre for each home that resumes after another
 *     node has taken over,
 *   - the own parts of entry nodes.
 *
 * Mutations: the MUTATION_ macros below. Each violates the bound and must be
 * caught. */

#define BURST 2      /* of one data centre */
#define TICKS 4      /* of the run */
#define GOSSIP_TICKS 1
#define OWN_PART 1   /* of the entry nodes, in the window */
#define MAX_FAULTS 3 /* crashes and stalls */
#define MAX_CHANGES 3 /* times that a node takes itself for the home */

short tokens[3];        /* negative after a charge */
bool believes_home[3];  /* takes itself for the home */
bool is_up[3];
bool stalled[3];
bool replaced[3]; /* another node took over before it resumed */

byte ticks = 0;
byte faults = 0;
byte changes = 0;
byte gossip_ticks = 0; /* since two running nodes believe to be the home */

/* Loans on the way, by the borrower. */
byte loan[3];

byte debt = 0; /* own part that no home is charged with yet */
byte own_part_used = 0;

/* The window. */
bool window_open = false;
/* What the bound still allows in the window. More than MAX_LEFT is not counted:
 * the check is only stricter without it. */
byte left = 2 * BURST;

#ifdef MUTATION_OWN_PART_UNLIMITED
#define MAY_USE_OWN_PART true
#else
#define MAY_USE_OWN_PART (own_part_used < OWN_PART)
#endif

#define RUNS(n) (is_up[n] && !stalled[n])
#define SERVES(n) (RUNS(n) && believes_home[n])
#define TWO_HOMES (SERVES(0) && SERVES(1))
#define MAX_LEFT 9

inline allow(amount) {
  left = left + amount;
  if
  :: left > MAX_LEFT -> left = MAX_LEFT
  :: else
  fi
}

inline give(amount) {
  if
  :: window_open -> assert(left >= amount); left = left - amount
  :: else
  fi
}

inline earn(n) {
  if
  :: SERVES(n) && tokens[n] < BURST -> tokens[n]++
  :: SERVES(n) && tokens[n] > BURST -> tokens[n] = BURST
  :: else
  fi
}

/* Counts tokens that one of two believed homes got by a loan. */
inline count_shared(amount) {
  if
  :: TWO_HOMES -> allow(amount)
  :: else
  fi
}

inline become_home(n) {
  believes_home[n] = true;
#ifdef MUTATION_FULL_BUCKET
  tokens[n] = BURST
#else
#ifndef MUTATION_KEEPS_TOKENS
  tokens[n] = 0
#endif
#endif
}

/* Forgets the tokens: it would give them out in addition to those of the new
 * home if it became the home again. */
inline hear_of_home(n) {
  believes_home[n] = false;
#ifndef MUTATION_KEEPS_TOKENS
  tokens[n] = 0
#endif
}

inline lend(lender, borrower) {
  atomic {
    SERVES(lender) && SERVES(borrower) && tokens[lender] >= 1 &&
        tokens[borrower] < 1 && loan[borrower] == 0 ->
      /* at most half, or one */
      loan[borrower] = 1;
#ifndef MUTATION_LOAN_NOT_TAKEN_OFF
      tokens[lender]--
#endif
  }
}

inline crash(n) {
  d_step {
    faults < MAX_FAULTS && is_up[n] ->
      faults++;
      is_up[n] = false;
      stalled[n] = false;
      replaced[n] = false;
      believes_home[n] = false;
      tokens[n] = 0;
      loan[n] = 0
  }
}

inline stall(n) {
  d_step {
    faults < MAX_FAULTS && SERVES(n) ->
      faults++; stalled[n] = true; replaced[n] = believes_home[1 - n]
  }
}

inline resume(n) {
  d_step {
    stalled[n] ->
      stalled[n] = false;
      if
#ifndef MUTATION_RESUME_UNCOUNTED
      :: replaced[n] -> replaced[n] = false; allow(BURST)
#endif
      :: else
      fi
  }
}

init {
  d_step {
    tokens[0] = BURST;
    tokens[2] = BURST;
    believes_home[0] = true;
    believes_home[2] = true;
    is_up[0] = true;
    is_up[1] = true;
    is_up[2] = true
  };
end:
  do
  :: d_step {
      !window_open -> window_open = true
    }

  /* A tick. Loans that are on the way arrive before it or are lost. */
  :: d_step {
      ticks < TICKS && loan[0] + loan[1] + loan[2] == 0 &&
          !(TWO_HOMES && gossip_ticks == GOSSIP_TICKS) ->
        ticks++;
        if
        :: window_open -> allow(2)
        :: else
        fi;
        if
        :: TWO_HOMES -> gossip_ticks++; allow(1)
        :: else
        fi;
        earn(0);
        earn(1);
        earn(2)
    }

  /* A request takes a token. */
  :: d_step {
      SERVES(0) && tokens[0] >= 1 -> tokens[0]--; give(1)
    }
  :: d_step {
      SERVES(1) && tokens[1] >= 1 -> tokens[1]--; give(1)
    }
  :: d_step {
      SERVES(2) && tokens[2] >= 1 -> tokens[2]--; give(1)
    }

  /* Loans in both directions, at once or never. */
  :: lend(2, 0)
  :: lend(2, 1)
  :: lend(0, 2)
  :: lend(1, 2)
  :: d_step {
      loan[0] > 0 ->
        if
        :: SERVES(0) -> tokens[0] = tokens[0] + loan[0]; count_shared(loan[0])
        :: else
        fi;
        loan[0] = 0
    }
  :: d_step {
      loan[1] > 0 ->
        if
        :: SERVES(1) -> tokens[1] = tokens[1] + loan[1]; count_shared(loan[1])
        :: else
        fi;
        loan[1] = 0
    }
  :: d_step {
      loan[2] > 0 -> tokens[2] = tokens[2] + loan[2]; loan[2] = 0
    }
  :: d_step {
      loan[0] + loan[1] + loan[2] > 0 -> /* lost */
        loan[0] = 0; loan[1] = 0; loan[2] = 0
    }

  /* A node crashes and comes back without tokens. */
  :: crash(0)
  :: crash(1)
  :: d_step {
      !is_up[0] -> is_up[0] = true
    }
  :: d_step {
      !is_up[1] -> is_up[1] = true
    }

  /* The home stalls, with its state, and resumes. */
  :: stall(0)
  :: stall(1)
  :: resume(0)
  :: resume(1)

  /* The other node takes over from a home that is down or stalled, or that it
   * wrongly takes to be. */
  :: d_step {
      changes < MAX_CHANGES && RUNS(0) && !believes_home[0] ->
        changes++; become_home(0); replaced[1] = stalled[1]
    }
  :: d_step {
      changes < MAX_CHANGES && RUNS(1) && !believes_home[1] ->
        changes++; become_home(1); replaced[0] = stalled[0]
    }
  /* Gossip tells one of two that the other is the home. */
  :: d_step {
      TWO_HOMES -> hear_of_home(0); gossip_ticks = 0
    }
  :: d_step {
      TWO_HOMES -> hear_of_home(1); gossip_ticks = 0
    }

  /* An entry node without a responsive home uses its own part. */
  :: d_step {
      window_open && !SERVES(0) && !SERVES(1) && MAY_USE_OWN_PART ->
        if
        :: own_part_used < OWN_PART -> own_part_used++; allow(1)
        :: else
        fi;
        debt++;
        give(1)
    }
  :: d_step {
      debt > 0 && SERVES(0) -> tokens[0] = tokens[0] - debt; debt = 0
    }
  :: d_step {
      debt > 0 && SERVES(1) -> tokens[1] = tokens[1] - debt; debt = 0
    }
  :: d_step {
      debt > 0 -> debt = 0 /* the charge is lost */
    }
  od
}
