/* check: ok */
/* check: fault -DNO_MIRROR */
/* check: fault -DNO_ASSUMPTION */
/* check: fault -DFULL_START */
/* check: fault -DNO_RISE */

/*
 * A workspace's quota that two daemons enforce with mirrored token buckets (crates/fleet/src/quota.rs).
 * A round is one digest interval, and a unit is one prompt.
 *
 * Each daemon receives the same number of prompts in each round, which is any number up to DEMAND. A
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
#define MOST (RATE * ROUNDS + BURST + BURST / 2)
#define KILLS 2                 /* maximum number of restarts of the first daemon */
#define CUTS 3                  /* maximum number of rounds with a partition */
#define DEBT 16                 /* offset that keeps the levels from falling below 0 */

byte level[2] = BURST + DEBT;   /* level of the mirrored bucket, plus DEBT */
byte spent[2];                  /* units admitted by both daemons, as known to each daemon */
byte admitted[2];               /* units admitted in this round */
byte usual[2];                  /* units that the other daemon admitted in the last reported round */
byte assumed[2];                /* units taken from the bucket while the other daemon is silent */
bool is_warm[2];
byte total = 0;
byte round = 0;
byte cuts = 0;
byte kills = 0;
byte want[2];                   /* demand of each daemon in a round */
byte asked;
byte me;
byte other;

inline lower(whose, units) {
    if
    :: level[whose] >= units -> level[whose] = level[whose] - units
    :: else -> level[whose] = 0
    fi
}

/* The parts are not enforced if the known consumed units, plus the maximum demand of both daemons until
 * their next digests, fit into the window. */
#ifdef NO_RISE
#define IS_BORNE true
#else
#define IS_BORNE (spent[me] + 2 * DEMAND <= RATE * (round + 1) + BURST)
#endif

#define MINDS_PART (is_warm[me] || !IS_BORNE)

inline admit() {
    asked = 0;
    do
    :: asked < want[me] ->
        asked++;
        if
        :: level[me] <= DEBT -> break
        /* The part of a daemon is half of the remaining units. */
        :: level[me] > DEBT && MINDS_PART && 2 * (admitted[me] + 1) > level[me] - DEBT + admitted[me] + 1 -> break
        :: else ->
            lower(me, 1);
            admitted[me]++;
            spent[me]++;
            total++
        fi
    :: else -> break
    od
}

/* The digest of the other daemon is received. */
inline hear() {
#ifndef NO_MIRROR
    level[me] = level[me] + assumed[me];
    lower(me, admitted[other]);
    spent[me] = spent[me] - assumed[me] + admitted[other];
#endif
    assumed[me] = 0;
    usual[me] = admitted[other];
    is_warm[me] = false
}

inline miss() {
    skip;
#ifndef NO_ASSUMPTION
    assumed[me] = assumed[me] + usual[me];
    lower(me, usual[me]);
    spent[me] = spent[me] + usual[me]
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
    select(asked : 0 .. DEMAND);
    want[0] = asked;
    select(asked : 0 .. DEMAND);
    want[1] = asked;
    do
    :: round < ROUNDS ->
        atomic {
            me = 0; other = 1; admit();
            me = 1; other = 0; admit();
            assert(total <= MOST);
            if
            :: me = 0; other = 1; hear(); me = 1; other = 0; hear()
            :: round > 0 && cuts < CUTS -> cuts++; me = 0; other = 1; miss(); me = 1; other = 0; miss()
            fi;
            admitted[0] = 0; admitted[1] = 0;
            me = 0; fill(); me = 1; fill();
            /* The first daemon is killed and restarted. */
            if
            :: kills < KILLS ->
                kills++;
                is_warm[0] = true;
                spent[0] = 0;
                usual[0] = 0;
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
