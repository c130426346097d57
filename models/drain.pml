/* Leaving and drain: a serving node stops gracefully while two entry nodes go
 * on sending it non-idempotent requests.
 *
 * The serving node tells that it leaves; the news reaches each entry node some
 * time later, in any order with requests under way. Requests that come to the
 * leaving node are refused as not run, and it forgets them. Requests that it
 * holds are finished; only then it exits. What is still on the wire when it
 * has exited never reached it; the entry node sees the link end, and cannot
 * tell, so it says "may have run".
 *
 * Promises:
 *   - no request in flight is cut: the node exits with none in its hands;
 *   - nobody sends new work once it knows that the node is leaving;
 *   - a refused straggler truly never ran, and it is the only kind of failure
 *     after which an entry node sends the request elsewhere;
 *   - so no request runs twice. */

#define ENTRIES 2
#define REQUESTS 2 /* of each entry node */

/* Requests and answers travel on one link for each entry node. */
mtype = {request, done, refused, link_lost};
chan to_server[ENTRIES] = [REQUESTS] of {byte};
chan to_entry[ENTRIES] = [REQUESTS + 1] of {mtype, byte};

bool leaving = false;  /* the serving node has begun to leave */
bool exited = false;   /* its process has ended */
bool knows[ENTRIES];   /* the news has reached the entry node */
byte in_flight = 0;

byte runs[ENTRIES * REQUESTS]; /* how often each request ran, anywhere */

#ifdef MUTATION_SEND_ANYWAY
#define SEND_ANYWAY true
#else
#define SEND_ANYWAY false
#endif

#define ID(entry, r) (entry * REQUESTS + r)

active proctype server() {
  byte r;
  byte held[ENTRIES * REQUESTS]; /* 1: running here */
  byte id;

  do
  :: atomic {
      nempty(to_server[0]) -> to_server[0] ? r; id = ID(0, r)
    }
    goto arrived
  :: atomic {
      nempty(to_server[1]) -> to_server[1] ? r; id = ID(1, r)
    }
    goto arrived

  /* a running request ends and is answered */
  :: d_step { held[0] == 1 -> held[0] = 0; in_flight--; to_entry[0] ! done, 0 }
  :: d_step { held[1] == 1 -> held[1] = 0; in_flight--; to_entry[0] ! done, 1 }
  :: d_step { held[2] == 1 -> held[2] = 0; in_flight--; to_entry[1] ! done, 0 }
  :: d_step { held[3] == 1 -> held[3] = 0; in_flight--; to_entry[1] ! done, 1 }

  :: !leaving -> leaving = true

  /* the planned stop ends */
#ifdef MUTATION_EXIT_EARLY
  :: leaving -> break
#else
  :: leaving && in_flight == 0 -> break
#endif

arrived:
    skip;
    d_step {
      if
#ifdef MUTATION_ACCEPT_WHILE_LEAVING
      /* refuses, yet has handed the request to the backend server already */
      :: leaving -> runs[id]++; to_entry[id / REQUESTS] ! refused, r
#else
      :: leaving -> to_entry[id / REQUESTS] ! refused, r
#endif
      :: else ->
        held[id] = 1;
        in_flight++;
        runs[id]++
      fi
    }
  od;
  skip;

  d_step {
    exited = true;
    assert(in_flight == 0); /* no request in flight is cut */
    assert(!held[0] && !held[1] && !held[2] && !held[3])
  }
}

/* Gossip: the news of leaving reaches each entry node at some time. */
active [ENTRIES] proctype gossip() {
  byte entry = _pid - 1;
  leaving -> knows[entry] = true
}

active [ENTRIES] proctype entry_node() {
  byte me = _pid - 1 - ENTRIES;
  byte sent = 0;
  byte ended = 0;
  byte r;
  bool waiting[REQUESTS];
  bool knew;

  do
  :: sent < REQUESTS ->
    d_step {
      knew = knows[me];
      if
      :: (!knew || SEND_ANYWAY) && !exited ->
        to_server[me] ! sent;
        waiting[sent] = true
      :: else -> /* elsewhere, or no link could be made: it never left */
        runs[ID(me, sent)]++;
        ended++
      fi;
      assert(!(knew && waiting[sent])); /* no new work once it is known */
      sent++
    }

  :: to_entry[me] ? done, r ->
    d_step {
      assert(waiting[r]);
      waiting[r] = false;
      ended++
    }

  :: to_entry[me] ? refused, r ->
    d_step {
      assert(waiting[r]);
      waiting[r] = false;
      assert(runs[ID(me, r)] == 0); /* not run means not run */
      runs[ID(me, r)]++;            /* so it runs elsewhere */
      ended++
    }

  /* the link ends: all that waits is in doubt */
  :: exited && empty(to_entry[me]) && sent > ended ->
    d_step {
      r = 0;
      do
      :: r < REQUESTS ->
        if
        :: waiting[r] ->
          waiting[r] = false;
          ended++;
          assert(runs[ID(me, r)] <= 1)
        :: else
        fi;
        r++
      :: else -> break
      od;
      r = 0
    }

  :: ended == REQUESTS -> break
  od;
  assert(runs[ID(me, 0)] <= 1 && runs[ID(me, 1)] <= 1)
}
