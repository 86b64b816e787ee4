//! Delays of messages between clocks whose difference is not known.

use samphiremoor_base::time;
use samphiremoor_fleet::transit;

/// Sends messages at the first times with the second delays, and returns the estimates. The clock of the
/// recipient is ahead by `ahead_ms`.
fn estimates(ahead_ms: u64, messages: &[(u64, u64)]) -> Vec<u64> {
    let mut estimate = transit::TransitEstimate::default();
    let observe = |(sent_ms, delay_ms): &(u64, u64)| {
        let received_ms = sent_ms + delay_ms + ahead_ms;
        let received_at = time::MonotonicTime::new(received_ms);
        estimate.observe(time::Millis::new(*sent_ms), received_at).get()
    };
    messages.iter().map(observe).collect()
}

/// The recipient stands still from 1,300 to 4,000 ms, and reads the messages of that time at once then.
const PAUSE: [(u64, u64); 5] =
    [(1_000, 2), (1_300, 2_700), (1_600, 2_400), (3_700, 300), (4_000, 2)];

samphiremoor_base::cases! {
    even_messages_are_not_late => assert_eq!(estimates(70_000, &[(0, 3), (300, 3)]), [0, 0]);
    late_message_is_late => assert_eq!(estimates(70_000, &[(0, 3), (300, 803), (600, 4)]), [0, 800, 1]);
    messages_read_after_a_pause => assert_eq!(estimates(9, &PAUSE), [0, 2_698, 2_398, 298, 0]);
    first_message_of_all_is_the_measure => assert_eq!(estimates(0, &[(0, 900), (300, 4)]), [0, 0]);
    fastest_message_is_remembered => {
        assert_eq!(estimates(5, &[(0, 1), (29_000, 51), (31_000, 51), (45_000, 51)]), [0, 50, 50, 50])
    };
    drifting_clocks_are_followed => {
        let messages: Vec<_> = (0..100).map(|minute| (minute * 60_000, minute * 3)).collect();
        assert!(estimates(0, &messages).into_iter().all(|delay_ms| delay_ms <= 3))
    };
}
