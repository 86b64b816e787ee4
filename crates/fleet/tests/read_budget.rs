//! Division of the time within which changes of the table must be known.

use samphiremoor_base::time::Millis;
use samphiremoor_fleet::read_budget;

/// Thousandths of the time between two reads of the replica entries, and of a poll for the policy.
const INTERVALS_PER_MILLE: [u64; 2] = [225, 250];
/// Interval between digests in a zone of a large deployment.
const DIGEST_INTERVAL: Millis = Millis::new(500);
/// Duration of a read that is not held up, and delay of its digest.
const ORDINARY_DELAY: Millis = Millis::new(50);

/// Checks a property of the budgets of all times that deployments name.
fn check_all(holds: impl Fn(Millis, read_budget::ReadBudget) -> bool) {
    for limit in (2_000..=4_000).map(Millis::new) {
        assert!(holds(limit, read_budget::ReadBudget::new(limit)), "{limit}");
    }
}

// Guards against parts that exceed the time if all of them are at their worst at once.
samphiremoor_base::cases! {
    all_parts_at_their_worst_fit => check_all(|limit, budget| {
        let own_read = read_budget::NOTICE_DELAY + read_budget::READ_TIME;
        budget.follow_limit() + own_read + read_budget::SEND_TIME <= limit
    });
    next_reader_is_heard_before_the_others_give_up => check_all(|_, budget| {
        budget.takeover_limit() + read_budget::TAKEOVER_TIME <= budget.follow_limit()
    });
    reader_is_followed_while_its_digests_arrive => check_all(|_, budget| {
        INTERVALS_PER_MILLE.iter().all(|per_mille| {
            let read_age = budget.interval(*per_mille) + ORDINARY_DELAY;
            read_age + DIGEST_INTERVAL <= budget.takeover_limit()
        })
    });
    own_read_after_an_interval_and_a_failed_one_fits => check_all(|limit, budget| {
        let reads = read_budget::READ_TIME + read_budget::NOTICE_DELAY + read_budget::READ_TIME;
        let interval = budget.interval(INTERVALS_PER_MILLE[0]);
        interval + reads + read_budget::SEND_TIME <= limit
    });
    retained_entry_is_dropped_in_time => check_all(|limit, budget| {
        let sweeps = read_budget::NOTICE_DELAY + read_budget::NOTICE_DELAY;
        budget.outage_grace() + sweeps + read_budget::SEND_TIME <= limit
    });
    short_time_is_left_to_own_reads => {
        let budget = read_budget::ReadBudget::new(Millis::new(500));
        assert_eq!(budget.follow_limit(), Millis::new(0));
    };
}
