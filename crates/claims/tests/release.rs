//! Release of a shard's lease while another change of the lease row is in progress.

use samphiremoor_base::digest;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_claims::index;
use samphiremoor_claims::key;
use samphiremoor_claims::policy;
use samphiremoor_claims::shard;
use samphiremoor_claims::transition;
use samphiremoor_claims::transition::ClaimAction;
use samphiremoor_claims::transition::ClaimInput;
use samphiremoor_claims::writer;
use samphiremoor_lease::commit_outcome;
use samphiremoor_lease::row;
use samphiremoor_platform::table;

fn instance(daemon: &str) -> row::DaemonInstance {
    let daemon = daemon.parse().expect("the name is an identifier");
    row::DaemonInstance { daemon, incarnation: quantity::Incarnation::new(1) }
}

fn call_key() -> key::CallKey {
    key::CallKey {
        workspace: "clinic".parse().expect("the name is an identifier"),
        service: "booking".parse().expect("the name is an identifier"),
        key: "visit-18".parse().expect("the key is valid"),
    }
}

fn test_policy() -> policy::ClaimPolicy {
    policy::ClaimPolicy {
        flush_interval: time::Millis::new(20),
        table_timeout: time::Millis::new(10_000),
        claim_timeout: time::Millis::new(1_000),
        retention: time::Millis::new(3_600_000),
        max_keys: 1_000,
        max_backlog_entries: 1_000,
        max_backlog_bytes: 1_000_000,
        max_result_bytes: 10_000,
        lost_copies_wait: None,
        retry_after: time::Millis::new(500),
    }
}

/// A holder and the time, with the actions of its last input.
struct TestHolder {
    holder: shard::ShardHolder,
    now: time::MonotonicTime,
    actions: Vec<ClaimAction>,
    version: u64,
}

impl TestHolder {
    fn handle(&mut self, input: ClaimInput) {
        self.now = self.now + time::Millis::new(100);
        self.actions = self.holder.handle(self.now, input);
    }

    /// Returns the transaction of the last input.
    fn transaction(&self) -> Option<&table::TableTransaction> {
        self.actions.iter().find_map(|action| match action {
            ClaimAction::Write(writer::WriterAction::Commit(transaction)) => Some(transaction),
            _ => None,
        })
    }

    fn commit(&mut self) {
        self.version += 1;
        let version = quantity::RowVersion::new(self.version);
        let outcome = commit_outcome::CommitOutcome::Committed(version);
        self.handle(ClaimInput::CommitFinished(outcome));
    }

    fn is_closed_now(&self) -> bool {
        self.actions.iter().any(|action| matches!(action, ClaimAction::Closed { .. }))
    }
}

/// Returns the holder of an open shard.
fn open_holder() -> TestHolder {
    let row = row::LeaseRow::initial(&instance("holder"));
    let lease = row::VersionedLease { row, version: quantity::RowVersion::new(1) };
    let (shard, copy_set) = (quantity::ShardNumber::new(0), row::CopySet::new());
    let holder = shard::ShardHolder::new(shard, lease, copy_set, test_policy());
    let now = time::MonotonicTime::new(10_000);
    let mut test_holder = TestHolder { holder, now, actions: Vec::new(), version: 1 };
    test_holder.handle(ClaimInput::Tick);
    test_holder.handle(ClaimInput::JournalRead(Some(Vec::new())));
    test_holder.commit();
    assert!(test_holder.holder.is_open());
    test_holder
}

// The results of calls are written together with the released lease row.
#[test]
fn release_during_a_change_of_the_copy_set_writes_the_results() {
    let mut holder = open_holder();
    holder.handle(ClaimInput::Submit(transition::CallSubmission {
        id: index::SubmissionId(1),
        request: "r1".parse().expect("the name is an identifier"),
        key: call_key(),
        digest: digest::HexDigest::of(b"body"),
        deadline: holder.now + time::Millis::new(30_000),
    }));
    assert!(holder.transaction().is_some(), "the claim is written");
    holder.commit();
    holder.handle(ClaimInput::SetCopySet([instance("peer")].into_iter().collect()));
    assert!(holder.transaction().is_some(), "the copy set is written");
    let outcome = transition::EncodedOutcome::Completed("receipt".into());
    holder.handle(ClaimInput::RunFinished { key: call_key(), outcome });
    holder.handle(ClaimInput::Release);
    holder.commit();
    assert!(!holder.is_closed_now(), "closed before the lease was released");
    let writes = holder.transaction().map_or(0, |transaction| transaction.writes.len());
    assert_eq!(writes, 2, "the result and the released lease row");
    holder.commit();
    assert!(holder.is_closed_now());
}
