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
byte stored[PEERS];             /* fencing tokens whose claim is stored */
byte incarnation[PEERS];
byte row_incarnations[8];       /* incarnations of the peers in the lease row, by fencing token and peer */
byte restarts = 0;

/* Upstream and callers. */
byte runs = 0;
bool ran[2];
byte reported[2];
byte holders_of[2];             /* bit set of the holders that may have the request */

#define ROW_INCARNATION(f, peer) row_incarnations[(f) * PEERS + (peer)]

#ifdef NO_INCARNATION
#define SAME_INCARNATION(f, peer) true
#else
#define SAME_INCARNATION(f, peer) (incarnation[peer] == ROW_INCARNATION(f, peer))
#endif

#define AVAILABLE(request) \
    ((request) < REQUESTS && (reported[request] == 0 || (holders_of[request] & BIT(me)) != 0))

inline report(request, outcome) {
    atomic {
        if
        :: reported[request] == 0 ->
            if
#ifndef TRUST_SECOND
            :: outcome == NOT_RUN && (holders_of[request] & ~BIT(me)) != 0 -> reported[request] = UNKNOWN
#endif
            :: else -> reported[request] = outcome
            fi;
            assert(!(reported[request] == NOT_RUN && ran[request]))
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
        assert(reported[request] != NOT_RUN)
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
    byte unsealed_left;
    byte copies = 0;
    byte known = NONE;
    byte refused = 0;
    byte handled = 0;
    byte request = 0;
    bool is_durable;
    bool is_refused;

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
        unsealed_left = unsealed
    }

    /* A request that waits too long until the shard is open is refused. */
    if
    :: atomic { reported[0] == 0 -> holders_of[0] = holders_of[0] | BIT(me) }; report(0, NOT_RUN)
    :: true
    fi;

    /* Seals one peer of each earlier copy set; waits here if no peer is reachable. */
end_sealing:
    do
    :: atomic {
        (unsealed_left & BIT(1)) != 0 && SAME_INCARNATION(1, 0) ->
            copies = copies | (stored[0] & (BIT(my_fence) - 1));
            unsealed_left = unsealed_left & ~BIT(1);
#ifndef NO_SEAL
            sealed_below[0] = my_fence
#endif
       }
    :: atomic {
        (unsealed_left & BIT(1)) != 0 && SAME_INCARNATION(1, 1) ->
            copies = copies | (stored[1] & (BIT(my_fence) - 1));
            unsealed_left = unsealed_left & ~BIT(1);
#ifndef NO_SEAL
            sealed_below[1] = my_fence
#endif
       }
    :: atomic {
        (unsealed_left & BIT(2)) != 0 && SAME_INCARNATION(2, 0) ->
            copies = copies | (stored[0] & (BIT(my_fence) - 1));
            unsealed_left = unsealed_left & ~BIT(2);
#ifndef NO_SEAL
            sealed_below[0] = my_fence
#endif
       }
    :: atomic {
        (unsealed_left & BIT(2)) != 0 && SAME_INCARNATION(2, 1) ->
            copies = copies | (stored[1] & (BIT(my_fence) - 1));
            unsealed_left = unsealed_left & ~BIT(2);
#ifndef NO_SEAL
            sealed_below[1] = my_fence
#endif
       }
    :: unsealed_left == 0 -> break
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
            ROW_INCARNATION(my_fence, 0) = incarnation[0];
            ROW_INCARNATION(my_fence, 1) = incarnation[1];
            row_version++;
            version = row_version
        :: else -> goto closed
        fi
    }

end_open:
    do
    /* A new request, or a delayed copy of a request that this holder had. */
    :: handled < PICKS && (AVAILABLE(0) || AVAILABLE(1)) ->
        atomic {
            if
            :: AVAILABLE(0) -> request = 0
            :: AVAILABLE(1) -> request = 1
            :: !AVAILABLE(0) && !AVAILABLE(1) -> goto end_open
            fi;
            holders_of[request] = holders_of[request] | BIT(me);
            handled++;
            is_durable = false;
            is_refused = false
        }
        if
        :: known == UNCERTAIN -> report(request, UNKNOWN)
        :: known == FINISHED -> report(request, COMPLETE)
        :: known == NONE && (refused & BIT(request)) != 0 -> report(request, NOT_RUN)
        :: known == NONE && (refused & BIT(request)) == 0 ->
#ifdef DISPATCH_FIRST
            dispatch(request);
#endif
            do
            :: is_durable -> break
            :: is_refused -> break
            /* The table stores the claim and responds. */
            :: atomic { !is_durable && !is_refused && HELD(version) -> write_claim(); is_durable = true }
            /* The table stores the claim and the response is lost: the claim is written again. */
            :: atomic {
                !is_durable && !is_refused && HELD(version) && entry[my_fence] != CLAIMED ->
                write_claim()
#ifdef NO_SETTLE
                ; is_durable = true
#endif
               }
#if HOLDERS == 2
            /* The write is delayed; it may take effect later or never. */
            :: atomic {
                !is_durable && !is_refused && late[my_fence] == 0 -> late[my_fence] = version + 1
#ifdef NO_SETTLE
                ; is_durable = true
#endif
               }
#endif
            :: atomic { !is_durable && !is_refused && !HELD(version) -> goto claim_refused }
            /* Peers store the claim; it is durable only if all peers of the copy set store it. */
            :: !is_durable && !is_refused ->
                if
                :: atomic {
                    SAME_INCARNATION(my_fence, 0) && sealed_below[0] <= my_fence ->
                    stored[0] = stored[0] | BIT(my_fence)
                   }
                :: atomic { SAME_INCARNATION(my_fence, 0) && sealed_below[0] > my_fence -> goto claim_refused }
                :: atomic { !SAME_INCARNATION(my_fence, 0) -> goto claim_refused }
                fi;
#ifndef NO_WRITE_ALL
                if
                :: atomic {
                    SAME_INCARNATION(my_fence, 1) && sealed_below[1] <= my_fence ->
                    stored[1] = stored[1] | BIT(my_fence)
                   }
                :: atomic { SAME_INCARNATION(my_fence, 1) && sealed_below[1] > my_fence -> goto claim_refused }
                :: atomic { !SAME_INCARNATION(my_fence, 1) -> goto claim_refused }
                fi;
#endif
                is_durable = true
            /* The claim takes too long: the caller gets the result that the request was not run. */
            :: !is_durable && !is_refused ->
                report(request, NOT_RUN);
#ifndef RUN_AFTER_REFUSAL
                is_refused = true
#endif
            od;
            if
            :: is_refused -> is_refused = false
            :: !is_refused ->
                is_durable = false;
#ifndef DISPATCH_FIRST
                if
                :: dispatch(request);
                   if
                   :: known = FINISHED; report(request, COMPLETE)
#ifdef GUESS_NOT_RUN
                   :: known = NONE; report(request, NOT_RUN)
#else
                   :: known = UNCERTAIN; report(request, UNKNOWN)
#endif
                   fi
                /* The upstream reports that it did not run the call: the claim is released. */
                :: report(request, NOT_RUN);
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
    :: handled == PICKS -> goto closed
    od;

claim_refused:
    /* The claim was refused, so this holder did not run the request and never will. */
    holders_of[request] = holders_of[request] & ~BIT(me);
closed:
    /* Resets the local state, which is no longer used, to reduce the number of states. */
    atomic { my_fence = 0; version = 0; known = NONE; refused = 0; handled = 0; request = 0 }
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
        :: incarnation[0] = incarnation[0] + 1; stored[0] = 0; sealed_below[0] = 0
        :: incarnation[1] = incarnation[1] + 1; stored[1] = 0; sealed_below[1] = 0
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
