/* check: ok */
/* check: fault -DNO_MIRROR */
/* check: fault -DNO_ASSUMPTION */
/* check: fault -DFULL_START */
/* check: fault -DNO_RISE */

/*
 * A workspace's quota that two daemons enforce with mirrored token buckets (crates/fleet/src/quota.rs).
 * A round is one digest interval, and a unit is one prompt.
 *
 * The demand of each daemon is the same in every round, and is any number of prompts up to DEMAND. A
 * daemon admits prompts according to its rules and reports the admitted units to the other daemon. In
 * some rounds after the first, the daemons are partitioned from each other. One daemon may be killed and
 * restarted without knowing the consumed units. After a restart it enforces its part of the quota
 * (is_warm) until it has received a digest of the other daemon.
 *
 * The demand does not increase during a partition, because a daemon could not learn of the increase.
 *
 * Property: the units admitted over all rounds do not exceed the units filled by the rate, plus the
 * burst, plus a slack of half a burst.
 *
 * Each define removes one protection:
 *   NO_MIRROR           units admitted by the other daemon are not taken from the bucket
 *   NO_ASSUMPTION       a silent daemon is assumed to admit nothing
 *   FULL_START          a daemon starts with a full bucket
 *   NO_RISE             requests are admitted without enforcing the parts, even if the demand of both
 *                       daemons could exceed the window
 */

#define ROUNDS 5
#define RATE 2                  /* units that are added to the bucket in a round */
#define BURST 4
#define DEMAND 4                /* maximum demand of one daemon in a round */
#define MAX_TOTAL (RATE * ROUNDS + BURST + BURST / 2)
#define MAX_RESTARTS 2          /* maximum number of restarts of the first daemon */
#define MAX_PARTITIONS 3        /* maximum number of rounds with a partition */
#define DEBT 16                 /* offset that keeps the levels from falling below 0 */

byte level[2] = BURST + DEBT;   /* level of the mirrored bucket, plus DEBT */
byte consumed[2];               /* units admitted by both daemons, as known to each daemon */
byte admitted[2];               /* units admitted in this round */
byte last_reported[2];          /* units that the other daemon admitted in the last reported round */
byte assumed[2];                /* units taken from the bucket while the other daemon is silent */
bool is_warm[2];
byte total = 0;
byte round = 0;
byte partitions = 0;
byte restarts = 0;
byte demand[2];                 /* demand of each daemon in a round */
byte requested;
byte me;
byte other;

inline subtract(daemon, units) {
    if
    :: level[daemon] >= units -> level[daemon] = level[daemon] - units
    :: else -> level[daemon] = 0
    fi
}

/* The parts are not enforced if the known consumed units, plus the maximum demand of both daemons until
 * their next digests, fit into the window. */
#ifdef NO_RISE
#define FITS_WINDOW true
#else
#define FITS_WINDOW (consumed[me] + 2 * DEMAND <= RATE * (round + 1) + BURST)
#endif

#define ENFORCES_PART (is_warm[me] || !FITS_WINDOW)

inline admit() {
    requested = 0;
    do
    :: requested < demand[me] ->
        requested++;
        if
        :: level[me] <= DEBT -> break
        /* The part of a daemon is half of the remaining units. */
        :: level[me] > DEBT && ENFORCES_PART && 2 * (admitted[me] + 1) > level[me] - DEBT + admitted[me] + 1 -> break
        :: else ->
            subtract(me, 1);
            admitted[me]++;
            consumed[me]++;
            total++
        fi
    :: else -> break
    od
}

/* The digest of the other daemon is received. */
inline receive_digest() {
#ifndef NO_MIRROR
    level[me] = level[me] + assumed[me];
    subtract(me, admitted[other]);
    consumed[me] = consumed[me] - assumed[me] + admitted[other];
#endif
    assumed[me] = 0;
    last_reported[me] = admitted[other];
    is_warm[me] = false
}

inline miss_digest() {
    skip;
#ifndef NO_ASSUMPTION
    assumed[me] = assumed[me] + last_reported[me];
    subtract(me, last_reported[me]);
    consumed[me] = consumed[me] + last_reported[me]
#endif
}

inline fill() {
    level[me] = level[me] + RATE;
    if
    :: level[me] > BURST + DEBT -> level[me] = BURST + DEBT
    :: else
    fi
}

init {
    select(requested : 0 .. DEMAND);
    demand[0] = requested;
    select(requested : 0 .. DEMAND);
    demand[1] = requested;
    do
    :: round < ROUNDS ->
        atomic {
            me = 0; other = 1; admit();
            me = 1; other = 0; admit();
            assert(total <= MAX_TOTAL);
            if
            :: me = 0; other = 1; receive_digest(); me = 1; other = 0; receive_digest()
            :: round > 0 && partitions < MAX_PARTITIONS -> partitions++; me = 0; other = 1; miss_digest(); me = 1; other = 0; miss_digest()
            fi;
            admitted[0] = 0; admitted[1] = 0;
            me = 0; fill(); me = 1; fill();
            /* The first daemon is killed and restarted. */
            if
            :: restarts < MAX_RESTARTS ->
                restarts++;
                is_warm[0] = true;
                consumed[0] = 0;
                last_reported[0] = 0;
                assumed[0] = 0;
#ifdef FULL_START
                level[0] = BURST + DEBT
#else
                level[0] = BURST / 2 + DEBT
#endif
            :: true
            fi;
            round++
        }
    :: round == ROUNDS -> break
    od
}
