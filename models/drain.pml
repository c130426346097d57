/* Draining: a serving node stops gracefully while two entry nodes keep sending
 * it non-idempotent requests.
 *
 * The serving node announces that it is draining. The announcement reaches each
 * entry node at some later time, in any order relative to the requests in
 * flight. The draining node refuses requests that arrive, as not run, and
 * keeps no record of them. It exits once the requests that it runs have
 * finished. A request that is still on the link at the exit never reaches the
 * node. The entry node sees the link end, cannot know whether the request ran,
 * and answers "may have run".
 *
 * Checked properties:
 *   - no request in flight is aborted: the node exits with none running;
 *   - no entry node sends a new request once it knows that the node is
 *     draining;
 *   - a request refused by the draining node never ran, and a refusal is the
 *     only failure after which an entry node sends the request elsewhere;
 *   - so no request runs twice. */

#define ENTRIES 2
#define REQUESTS 2 /* of each entry node */

/* Requests and answers travel on one link for each entry node. */
mtype = {request, completed, refused, link_lost};
chan to_server[ENTRIES] = [REQUESTS] of {byte};
chan to_entry[ENTRIES] = [REQUESTS + 1] of {mtype, byte};

bool draining = false;        /* the serving node is draining */
bool exited = false;          /* the serving node's process has ended */
bool knows_draining[ENTRIES]; /* the announcement reached the entry node */
byte in_flight = 0;           /* requests running at the serving node */

byte runs[ENTRIES * REQUESTS]; /* how often each request ran, anywhere */

#ifdef MUTATION_SEND_ANYWAY
#define SEND_ANYWAY true
#else
#define SEND_ANYWAY false
#endif

#define REQUEST_ID(entry, r) (entry * REQUESTS + r)

active proctype server() {
  byte r;
  byte running[ENTRIES * REQUESTS]; /* 1: running at this node */
  byte id;

  do
  :: atomic {
      nempty(to_server[0]) -> to_server[0] ? r; id = REQUEST_ID(0, r)
    }
    goto arrived
  :: atomic {
      nempty(to_server[1]) -> to_server[1] ? r; id = REQUEST_ID(1, r)
    }
    goto arrived

  /* a running request ends and is answered */
  :: d_step {
      running[0] == 1 -> running[0] = 0; in_flight--; to_entry[0] ! completed, 0
    }
  :: d_step {
      running[1] == 1 -> running[1] = 0; in_flight--; to_entry[0] ! completed, 1
    }
  :: d_step {
      running[2] == 1 -> running[2] = 0; in_flight--; to_entry[1] ! completed, 0
    }
  :: d_step {
      running[3] == 1 -> running[3] = 0; in_flight--; to_entry[1] ! completed, 1
    }

  :: !draining -> draining = true

  /* the node exits */
#ifdef MUTATION_EXIT_EARLY
  :: draining -> break
#else
  :: draining && in_flight == 0 -> break
#endif

arrived:
    skip;
    d_step {
      if
#ifdef MUTATION_ACCEPT_WHILE_LEAVING
      /* refuses the request after dispatching it to the backend server */
      :: draining -> runs[id]++; to_entry[id / REQUESTS] ! refused, r
#else
      :: draining -> to_entry[id / REQUESTS] ! refused, r
#endif
      :: else ->
        running[id] = 1;
        in_flight++;
        runs[id]++
      fi
    }
  od;
  skip;

  d_step {
    exited = true;
    assert(in_flight == 0); /* no request in flight is aborted */
    assert(!running[0] && !running[1] && !running[2] && !running[3])
  }
}

/* Gossip: the announcement reaches each entry node at some time. */
active [ENTRIES] proctype gossip() {
  byte entry = _pid - 1;
  draining -> knows_draining[entry] = true
}

active [ENTRIES] proctype entry_node() {
  byte entry_index = _pid - 1 - ENTRIES;
  byte sent = 0;
  byte finished = 0;
  byte r;
  bool waiting[REQUESTS];
  bool knew_draining;

  do
  :: sent < REQUESTS ->
    d_step {
      knew_draining = knows_draining[entry_index];
      if
      :: (!knew_draining || SEND_ANYWAY) && !exited ->
        to_server[entry_index] ! sent;
        waiting[sent] = true
      :: else -> /* sent elsewhere, or no connection: never sent to this node */
        runs[REQUEST_ID(entry_index, sent)]++;
        finished++
      fi;
      /* nothing is sent to a node that is known to be draining */
      assert(!(knew_draining && waiting[sent]));
      sent++
    }

  :: to_entry[entry_index] ? completed, r ->
    d_step {
      assert(waiting[r]);
      waiting[r] = false;
      finished++
    }

  :: to_entry[entry_index] ? refused, r ->
    d_step {
      assert(waiting[r]);
      waiting[r] = false;
      /* a request refused as not run never ran; it then runs elsewhere */
      assert(runs[REQUEST_ID(entry_index, r)] == 0);
      runs[REQUEST_ID(entry_index, r)]++;
      finished++
    }

  /* the link ends: the outcome of every waiting request is unknown */
  :: exited && empty(to_entry[entry_index]) && sent > finished ->
    d_step {
      r = 0;
      do
      :: r < REQUESTS ->
        if
        :: waiting[r] ->
          waiting[r] = false;
          finished++;
          assert(runs[REQUEST_ID(entry_index, r)] <= 1)
        :: else
        fi;
        r++
      :: else -> break
      od;
      r = 0
    }

  :: finished == REQUESTS -> break
  od;
  assert(runs[REQUEST_ID(entry_index, 0)] <= 1 &&
         runs[REQUEST_ID(entry_index, 1)] <= 1)
}
