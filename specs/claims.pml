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
 * At most one run of a call, through claims in the table or at peers.
 *
 * One shard, one key, two sends of it (requests), two holders one after the other, two peers that
 * keep copies; or one send and three holders, for a successor that fails before it has opened (then
 * without writes that take effect late). Any holder may be paused for any time or for good at any step, since steps
 * interleave freely. The table may refuse to answer at any write, take effect without an answer, or
 * take effect late. A peer may restart once and lose what it kept. A request may reach several
 * holders and may reach one holder again late.
 *
 * Each define takes one protection out:
 *   NO_FENCE            writes are not conditional on the lease row
 *   NO_SETTLE           a write without an answer counts as done
 *   DISPATCH_FIRST      the call is sent before its claim is durable
 *   READ_FIRST          a successor reads the journal before it takes the lease
 *   NO_SEAL             a successor reads peers' copies without sealing the peers
 *   NO_WRITE_ALL        one peer of the copy set is enough for a claim
 *   NO_INHERIT          groups that a failed successor did not seal are forgotten
 *   NO_INCARNATION      a restarted peer answers for its earlier life
 *   GUESS_NOT_RUN       a lost answer of the upstream counts as not run
 *   RUN_AFTER_REFUSAL   a claim that was given up is still run when it becomes durable
 *   NO_TOMBSTONE        a late copy of a refused request is run
 *   TRUST_SECOND        not run is believed though an earlier holder had the request
 */

#ifndef HOLDERS
#define HOLDERS 2
#endif
#ifndef PICKS
#define PICKS 2                 /* requests that one holder takes up */
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
byte copy_fence = 0;            /* fence of the holder if it has a copy set, else 0 */
byte unsealed = 0;              /* fences whose copy sets must be sealed before opening */

/* The journal: last entry of the key under each fence. */
byte entry[4];
byte late[3];                   /* version + 1 that a delayed write of the claim needs; 0: none */

/* Peers. */
byte sealed_below[PEERS];
byte kept[PEERS];               /* fences whose claim is kept */
byte life[PEERS];
byte named[8];                  /* lives in the lease row, by fence and peer */
byte restarts = 0;

/* Upstream and callers. */
byte runs = 0;
bool ran[2];
byte told[2];
byte sent[2];                   /* holders that may have the request */

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

    /* A request that waits too long for the opening is refused. */
    if
    :: atomic { told[0] == 0 -> sent[0] = sent[0] | BIT(me) }; tell(0, NOT_RUN)
    :: true
    fi;

    /* Seals one peer of each earlier group; stays here where none can be reached. */
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

    /* Reads the journal, and opens by a write that puts the copies there. */
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
    /* A new send, or a late copy of one that this holder had. */
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
            /* The table takes the claim and says so. */
            :: atomic { !secured && !given_up && HELD(version) -> write_claim(); secured = true }
            /* The table takes the claim and its answer is lost: the claim is written again. */
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
            /* Peers keep the claim: all of the copy set, or it does not count. */
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
            /* Waited long enough: the caller is told that the request was not run. */
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
                /* The upstream says that it did not run the call: the claim is given back. */
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
    /* What this holder knew no longer matters. */
    atomic { my_fence = 0; version = 0; known = NONE; refused = 0; picks = 0; request = 0 }
}

#if HOLDERS == 2
/* Delayed writes take effect, or are dropped. */
active proctype LateWrites() {
end_late:
    do
    :: atomic { late[1] != 0 && HELD(late[1] - 1) && entry[1] == NONE -> entry[1] = CLAIMED; late[1] = 0 }
    :: atomic { late[2] != 0 && HELD(late[2] - 1) && entry[2] == NONE -> entry[2] = CLAIMED; late[2] = 0 }
    od
}
#endif

/* A peer restarts and has lost what it kept. */
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
