/* check: ok */
/* check: ok -DHOLDERS=3 -DPICKS=1 -DREQUESTS=1 */
/* check: fault -DNO_FENCE */
/* check: fault -DNO_SETTLE */
/* check: fault -DDISPATCH_FIRST */
/* check: fault -DREAD_FIRST */
/* check: fault -DNO_SEAL */
/* check: fault -DNO_WRITE_ALL */
/* check: fault -DNO_INHERIT -DHOLDERS=3 -DPICKS=1 -DREQUESTS=1 */
/* check: fault -DNO_INCARNATION */
/* check: fault -DGUESS_NOT_RUN */
/* check: fault -DRUN_AFTER_REFUSAL */
/* check: fault -DNO_TOMBSTONE */
/* check: fault -DTRUST_SECOND */

/*
 * At-most-once execution of a call, by claims that are stored in the table or at peers.
 *
 * The model has one shard, one key, two submissions of the key (requests), two consecutive holders and
 * two peers that store copies. A second configuration has one request and three holders, and models a
 * successor that fails before it has opened the shard; it has no delayed writes. Steps interleave
 * freely, so a holder may be paused at any step, for any time or forever. A write to the table may get
 * no response, may take effect without a response, or may take effect late. A peer may restart once and lose its
 * copies. A request may reach several holders, and a delayed copy of it may reach a holder again.
 *
 * Each define removes one protection:
 *   NO_FENCE            writes are not conditional on the lease row
 *   NO_SETTLE           a write without a response counts as committed
 *   DISPATCH_FIRST      the call is dispatched before its claim is durable
 *   READ_FIRST          a successor reads the journal before it takes the lease
 *   NO_SEAL             a successor reads the peers' copies without sealing the peers
 *   NO_WRITE_ALL        a claim is durable once one peer of the copy set stores it
 *   NO_INHERIT          copy sets that a failed successor did not seal are forgotten
 *   NO_INCARNATION      a restarted peer responds on behalf of its earlier incarnation
 *   GUESS_NOT_RUN       a lost response of the upstream counts as not run
 *   RUN_AFTER_REFUSAL   a request that was refused is still run when its claim becomes durable
 *   NO_TOMBSTONE        a delayed copy of a refused request is run
 *   TRUST_SECOND        a result "not run" is reported although an earlier holder had the request
 */

#ifndef HOLDERS
#define HOLDERS 2
#endif
#ifndef PICKS
#define PICKS 2                 /* maximum number of requests that a holder handles */
#endif
#define PEERS 2
#ifndef REQUESTS
#define REQUESTS 2
#endif

#define NONE 0
#define CLAIMED 1
#define RELEASED 2

#define COMPLETE 1
#define NOT_RUN 2
#define UNKNOWN 3

#define UNCERTAIN 1
#define FINISHED 2

#define BIT(n) (1 << (n))

#ifdef NO_FENCE
#define HELD(version) true
#else
#define HELD(version) (row_version == (version))
#endif

/* The lease row. */
byte fence = 0;
byte row_version = 0;
byte copy_fence = 0;            /* fencing token of the holder if it has a copy set, else 0 */
byte unsealed = 0;              /* fencing tokens whose copy sets must be sealed before opening */

/* The journal: last entry of the key under each fencing token. */
byte entry[4];
byte late[3];                   /* row version + 1 that a delayed write of the claim requires; 0: none */

/* Peers. */
byte sealed_below[PEERS];
byte kept[PEERS];               /* fencing tokens whose claim is stored */
byte life[PEERS];
byte named[8];                  /* incarnations of the peers in the lease row, by fencing token and peer */
byte restarts = 0;

/* Upstream and callers. */
byte runs = 0;
bool ran[2];
byte told[2];
byte sent[2];                   /* bit set of the holders that may have the request */

#define NAMED(f, peer) named[(f) * PEERS + (peer)]

#ifdef NO_INCARNATION
#define SAME_LIFE(f, peer) true
#else
#define SAME_LIFE(f, peer) (life[peer] == NAMED(f, peer))
#endif

#define AVAILABLE(request) \
    ((request) < REQUESTS && (told[request] == 0 || (sent[request] & BIT(me)) != 0))

inline tell(request, outcome) {
    atomic {
        if
        :: told[request] == 0 ->
            if
#ifndef TRUST_SECOND
            :: outcome == NOT_RUN && (sent[request] & ~BIT(me)) != 0 -> told[request] = UNKNOWN
#endif
            :: else -> told[request] = outcome
            fi;
            assert(!(told[request] == NOT_RUN && ran[request]))
        :: else
        fi;
#ifndef NO_TOMBSTONE
        if
        :: outcome == NOT_RUN -> refused = refused | BIT(request)
        :: else
        fi
#endif
    }
}

inline dispatch(request) {
    atomic {
        runs++;
        ran[request] = true;
        assert(runs <= 1);
        assert(told[request] != NOT_RUN)
    }
}

inline write_claim() {
    if
    :: entry[my_fence] != CLAIMED -> entry[my_fence] = CLAIMED
    :: else
    fi
}

proctype Holder(byte me) {
    byte my_fence;
    byte version;
    byte todo;
    byte copies = 0;
    byte known = NONE;
    byte refused = 0;
    byte picks = 0;
    byte request = 0;
    bool secured;
    bool given_up;

#ifdef READ_FIRST
    atomic {
        if
        :: entry[1] == CLAIMED || entry[2] == CLAIMED -> known = UNCERTAIN
        :: else
        fi
    }
#endif

    /* Takes the lease by compare-and-set on its row. */
    atomic {
        fence++;
        my_fence = fence;
        row_version++;
        version = row_version;
#ifdef NO_INHERIT
        unsealed = 0;
#endif
        if
        :: copy_fence != 0 -> unsealed = unsealed | BIT(copy_fence)
        :: else
        fi;
        copy_fence = 0;
        todo = unsealed
    }

    /* A request that waits too long until the shard is open is refused. */
    if
    :: atomic { told[0] == 0 -> sent[0] = sent[0] | BIT(me) }; tell(0, NOT_RUN)
    :: true
    fi;

    /* Seals one peer of each earlier copy set; waits here if no peer is reachable. */
end_sealing:
    do
    :: atomic {
        (todo & BIT(1)) != 0 && SAME_LIFE(1, 0) ->
            copies = copies | (kept[0] & (BIT(my_fence) - 1));
            todo = todo & ~BIT(1);
#ifndef NO_SEAL
            sealed_below[0] = my_fence
#endif
       }
    :: atomic {
        (todo & BIT(1)) != 0 && SAME_LIFE(1, 1) ->
            copies = copies | (kept[1] & (BIT(my_fence) - 1));
            todo = todo & ~BIT(1);
#ifndef NO_SEAL
            sealed_below[1] = my_fence
#endif
       }
    :: atomic {
        (todo & BIT(2)) != 0 && SAME_LIFE(2, 0) ->
            copies = copies | (kept[0] & (BIT(my_fence) - 1));
            todo = todo & ~BIT(2);
#ifndef NO_SEAL
            sealed_below[0] = my_fence
#endif
       }
    :: atomic {
        (todo & BIT(2)) != 0 && SAME_LIFE(2, 1) ->
            copies = copies | (kept[1] & (BIT(my_fence) - 1));
            todo = todo & ~BIT(2);
#ifndef NO_SEAL
            sealed_below[1] = my_fence
#endif
       }
    :: todo == 0 -> break
    od;

    /* Reads the journal, and opens the shard with a write that adds the copies to the journal. */
    atomic {
#ifndef READ_FIRST
        if
        :: entry[1] == CLAIMED || entry[2] == CLAIMED -> known = UNCERTAIN
        :: else
        fi;
#endif
        if
        :: copies != 0 -> known = UNCERTAIN
        :: else
        fi
    }
    atomic {
        if
        :: HELD(version) ->
            if
            :: (copies & BIT(1)) != 0 && entry[1] == NONE -> entry[1] = CLAIMED
            :: else
            fi;
            if
            :: (copies & BIT(2)) != 0 && entry[2] == NONE -> entry[2] = CLAIMED
            :: else
            fi;
            copies = 0;
            unsealed = 0;
            copy_fence = my_fence;
            NAMED(my_fence, 0) = life[0];
            NAMED(my_fence, 1) = life[1];
            row_version++;
            version = row_version
        :: else -> goto closed
        fi
    }

end_open:
    do
    /* A new request, or a delayed copy of a request that this holder had. */
    :: picks < PICKS && (AVAILABLE(0) || AVAILABLE(1)) ->
        atomic {
            if
            :: AVAILABLE(0) -> request = 0
            :: AVAILABLE(1) -> request = 1
            :: !AVAILABLE(0) && !AVAILABLE(1) -> goto end_open
            fi;
            sent[request] = sent[request] | BIT(me);
            picks++;
            secured = false;
            given_up = false
        }
        if
        :: known == UNCERTAIN -> tell(request, UNKNOWN)
        :: known == FINISHED -> tell(request, COMPLETE)
        :: known == NONE && (refused & BIT(request)) != 0 -> tell(request, NOT_RUN)
        :: known == NONE && (refused & BIT(request)) == 0 ->
#ifdef DISPATCH_FIRST
            dispatch(request);
#endif
            do
            :: secured -> break
            :: given_up -> break
            /* The table stores the claim and responds. */
            :: atomic { !secured && !given_up && HELD(version) -> write_claim(); secured = true }
            /* The table stores the claim and the response is lost: the claim is written again. */
            :: atomic {
                !secured && !given_up && HELD(version) && entry[my_fence] != CLAIMED ->
                write_claim()
#ifdef NO_SETTLE
                ; secured = true
#endif
               }
#if HOLDERS == 2
            /* The write is delayed; it may take effect later or never. */
            :: atomic {
                !secured && !given_up && late[my_fence] == 0 -> late[my_fence] = version + 1
#ifdef NO_SETTLE
                ; secured = true
#endif
               }
#endif
            :: atomic { !secured && !given_up && !HELD(version) -> goto moved }
            /* Peers store the claim; it is durable only if all peers of the copy set store it. */
            :: !secured && !given_up ->
                if
                :: atomic {
                    SAME_LIFE(my_fence, 0) && sealed_below[0] <= my_fence ->
                    kept[0] = kept[0] | BIT(my_fence)
                   }
                :: atomic { SAME_LIFE(my_fence, 0) && sealed_below[0] > my_fence -> goto moved }
                :: atomic { !SAME_LIFE(my_fence, 0) -> goto moved }
                fi;
#ifndef NO_WRITE_ALL
                if
                :: atomic {
                    SAME_LIFE(my_fence, 1) && sealed_below[1] <= my_fence ->
                    kept[1] = kept[1] | BIT(my_fence)
                   }
                :: atomic { SAME_LIFE(my_fence, 1) && sealed_below[1] > my_fence -> goto moved }
                :: atomic { !SAME_LIFE(my_fence, 1) -> goto moved }
                fi;
#endif
                secured = true
            /* The claim takes too long: the caller gets the result that the request was not run. */
            :: !secured && !given_up ->
                tell(request, NOT_RUN);
#ifndef RUN_AFTER_REFUSAL
                given_up = true
#endif
            od;
            if
            :: given_up -> given_up = false
            :: !given_up ->
                secured = false;
#ifndef DISPATCH_FIRST
                if
                :: dispatch(request);
                   if
                   :: known = FINISHED; tell(request, COMPLETE)
#ifdef GUESS_NOT_RUN
                   :: known = NONE; tell(request, NOT_RUN)
#else
                   :: known = UNCERTAIN; tell(request, UNKNOWN)
#endif
                   fi
                /* The upstream reports that it did not run the call: the claim is released. */
                :: tell(request, NOT_RUN);
                   atomic {
                       if
                       :: HELD(version) && entry[my_fence] == CLAIMED -> entry[my_fence] = RELEASED
                       :: true
                       fi
                   }
                fi
#else
                known = FINISHED
#endif
            fi
        fi
    :: picks == PICKS -> goto closed
    od;

moved:
    /* The claim was refused, so this holder did not run the request and never will. */
    sent[request] = sent[request] & ~BIT(me);
closed:
    /* Resets the local state, which is no longer used, to reduce the number of states. */
    atomic { my_fence = 0; version = 0; known = NONE; refused = 0; picks = 0; request = 0 }
}

#if HOLDERS == 2
/* Delayed writes take effect or are dropped. */
active proctype LateWrites() {
end_late:
    do
    :: atomic { late[1] != 0 && HELD(late[1] - 1) && entry[1] == NONE -> entry[1] = CLAIMED; late[1] = 0 }
    :: atomic { late[2] != 0 && HELD(late[2] - 1) && entry[2] == NONE -> entry[2] = CLAIMED; late[2] = 0 }
    od
}
#endif

/* A peer restarts and loses its copies and seals. */
active proctype Restarts() {
end_restart:
    do
    :: atomic {
        restarts == 0 ->
        restarts = 1;
        if
        :: life[0] = life[0] + 1; kept[0] = 0; sealed_below[0] = 0
        :: life[1] = life[1] + 1; kept[1] = 0; sealed_below[1] = 0
        fi
       }
    od
}

init {
    atomic {
        run Holder(0);
        run Holder(1)
#if HOLDERS == 3
        ; run Holder(2)
#endif
    }
}
