//! Several daemons, a table and an upstream around the holder of one shard, in simulated time.
//!
//! Every action of a holder becomes an effect. Effects are executed in any order, and their results
//! arrive in any order.

use std::collections;

use samphiremoor_base::digest;
use samphiremoor_base::quantity;
use samphiremoor_base::reason;
use samphiremoor_base::time;
use samphiremoor_claims::copies;
use samphiremoor_claims::index;
use samphiremoor_claims::journal;
use samphiremoor_claims::key;
use samphiremoor_claims::policy;
use samphiremoor_claims::recovery;
use samphiremoor_claims::shard;
use samphiremoor_claims::transition;
use samphiremoor_claims::writer;
use samphiremoor_lease::commit_outcome;
use samphiremoor_lease::row;
use samphiremoor_platform::rows;
use samphiremoor_platform::table;

/// A protection that the simulation disables.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum DisabledProtection {
    None,
    /// The table ignores the conditions of journal writes.
    Fencing,
    /// A write without a response counts as committed.
    CommitReadBack,
    /// A peer returns its copies but accepts further ones.
    Sealing,
    /// A restarted peer responds in place of its earlier incarnation.
    IncarnationCheck,
    /// An unreachable peer counts as having stored a copy.
    WriteAll,
    /// A new holder reads an empty journal.
    JournalReplay,
    /// A new lease row omits the copy sets that were not sealed.
    UnsealedGroups,
    /// A lost response of the upstream counts as not-run.
    UnknownOutcome,
}

/// A fault of one write to the table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum WriteFault {
    ResponseLost,
    RequestLost,
    /// The outcome is unknown, and the write takes effect later.
    Delayed,
}

/// An effect that has not been executed yet.
#[derive(Clone, Debug)]
pub(crate) enum Effect {
    /// Executes an action of a holder.
    Action { daemon: usize, fence: quantity::FencingToken, action: transition::ClaimAction },
    /// Passes an event to a holder.
    Input { daemon: usize, fence: quantity::FencingToken, input: transition::ClaimInput },
    /// Applies a delayed write to the table.
    DelayedWrite(table::TableTransaction),
}

/// A request and the response that its caller received.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) key: String,
    body: String,
    /// Holders that have the request and have not responded.
    waiting_for: collections::BTreeSet<HolderId>,
    /// Holders that the request was submitted to; delayed duplicates reach no others.
    holders_reached: Vec<HolderId>,
    pub(crate) response: Option<transition::SubmitResponse>,
    /// Whether the upstream ran the call for this request.
    has_run: bool,
}

struct Daemon {
    incarnation: u64,
    /// Holders of this incarnation by their fencing tokens, including closed ones.
    holders: collections::BTreeMap<quantity::FencingToken, shard::ShardHolder>,
    copies: copies::CopyStore,
}

/// Daemons with their holders of one shard, the table and the upstream.
pub(crate) struct ClaimCluster {
    pub(crate) now: time::MonotonicTime,
    pub(crate) rows: rows::RowSet,
    pub(crate) is_table_down: bool,
    /// Faults of the upcoming writes, in order.
    pub(crate) faults: collections::VecDeque<WriteFault>,
    pub(crate) effects: Vec<Effect>,
    /// Pairs of daemons that can't reach each other, the smaller index first.
    pub(crate) disconnected: collections::BTreeSet<(usize, usize)>,
    /// Daemons that execute no effects and respond to no peer.
    pub(crate) paused: collections::BTreeSet<usize>,
    pub(crate) requests: Vec<Request>,
    /// How often the upstream ran each key.
    pub(crate) runs: collections::BTreeMap<String, u32>,
    /// Calls that the upstream is running.
    pub(crate) running: Vec<RunningCall>,
    pub(crate) violations: Vec<String>,
    pub(crate) log: Vec<String>,
    /// First result that a caller received for each key.
    results: collections::BTreeMap<String, journal::EncodedResult>,
    submissions: collections::BTreeMap<index::SubmissionId, SentSubmission>,
    daemons: Vec<Daemon>,
    pub(crate) disabled_protection: DisabledProtection,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct HolderId {
    daemon: usize,
    fence: quantity::FencingToken,
}

#[derive(Clone, Copy, Debug)]
struct SentSubmission {
    /// Index of the request.
    request: usize,
    holder_id: HolderId,
}

#[derive(Clone, Debug)]
pub(crate) struct RunningCall {
    daemon: usize,
    fence: quantity::FencingToken,
    /// Index of the request that the call runs for.
    request: usize,
    key: key::CallKey,
}

/// How the upstream ends a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum UpstreamEnd {
    Response,
    ResponseLost,
    Refused,
}

/// The only shard.
const SHARD: quantity::ShardNumber = quantity::ShardNumber::new(0);

impl ClaimCluster {
    pub(crate) fn new(daemon_count: usize, disabled_protection: DisabledProtection) -> Self {
        let new_daemon = |_| Daemon {
            incarnation: 1,
            holders: collections::BTreeMap::new(),
            copies: copies::CopyStore::default(),
        };
        ClaimCluster {
            now: time::MonotonicTime::new(1_000),
            rows: rows::RowSet::default(),
            is_table_down: false,
            faults: collections::VecDeque::new(),
            effects: Vec::new(),
            disconnected: collections::BTreeSet::new(),
            paused: collections::BTreeSet::new(),
            requests: Vec::new(),
            runs: collections::BTreeMap::new(),
            running: Vec::new(),
            violations: Vec::new(),
            log: Vec::new(),
            results: collections::BTreeMap::new(),
            submissions: collections::BTreeMap::new(),
            daemons: (0..daemon_count).map(new_daemon).collect(),
            disabled_protection,
        }
    }

    /// Acquires the lease. All other daemons form the copy set.
    pub(crate) fn acquire(&mut self, daemon: usize) {
        if self.is_table_down || self.paused.contains(&daemon) {
            return;
        }
        let key = row::shard_key(SHARD);
        let table_row = self.rows.read(&key);
        let previous = table_row.and_then(|table_row| row::LeaseRow::decode(&table_row.value));
        let instance = self.instance(daemon);
        let mut new_row = previous
            .as_ref()
            .map_or_else(|| row::LeaseRow::initial(&instance), |row| row.taken_over_by(&instance));
        if self.disabled_protection == DisabledProtection::UnsealedGroups
            && new_row.unsealed.len() > 1
        {
            new_row.unsealed.clear();
        }
        if self.disabled_protection == DisabledProtection::UnsealedGroups
            && previous.as_ref().is_some_and(|row| row.copy_set.is_empty())
        {
            new_row.unsealed.clear();
        }
        let transaction = table::TableTransaction {
            write_id: "acquire".parse().expect("a valid identifier"),
            conditions: Vec::new(),
            writes: vec![table::RowWrite::Put(key, new_row.encode())],
        };
        let table::CommitResponse::Committed(version) = self.rows.commit(&transaction) else {
            return;
        };
        let fence = new_row.fence;
        let lease = row::VersionedLease { row: new_row, version };
        let copy_set = self.copy_set(daemon);
        let holder = shard::ShardHolder::new(SHARD, lease, copy_set, test_policy());
        self.daemons[daemon].holders.insert(fence, holder);
        self.handle_input(daemon, fence, transition::ClaimInput::Tick);
    }

    /// Submits a new request to a daemon.
    pub(crate) fn submit(&mut self, daemon: usize, key: &str, body: &str) {
        let request = Request {
            key: key.to_owned(),
            body: body.to_owned(),
            waiting_for: collections::BTreeSet::new(),
            holders_reached: Vec::new(),
            response: None,
            has_run: false,
        };
        self.requests.push(request);
        self.send(self.requests.len() - 1, daemon);
    }

    /// Submits a request to the current holder at a daemon.
    pub(crate) fn send(&mut self, request: usize, daemon: usize) {
        let Some(fence) = self.daemons[daemon].holders.keys().next_back().copied() else { return };
        self.deliver_submission(request, HolderId { daemon, fence });
    }

    /// Delivers a delayed duplicate of a request. A caller that has its response submits the
    /// request to no further holder.
    pub(crate) fn resend(&mut self, request: usize, daemon: usize) {
        let request_state = &self.requests[request];
        if request_state.response.is_none() {
            return self.send(request, daemon);
        }
        let holders_reached = request_state.holders_reached.iter().copied();
        for holder_id in
            holders_reached.filter(|holder_id| holder_id.daemon == daemon).collect::<Vec<_>>()
        {
            self.deliver_submission(request, holder_id);
        }
    }

    fn deliver_submission(&mut self, request: usize, holder_id: HolderId) {
        let HolderId { daemon, fence } = holder_id;
        let id = index::SubmissionId(self.submissions.len() as u64);
        self.submissions.insert(id, SentSubmission { request, holder_id });
        let request_state = &mut self.requests[request];
        request_state.waiting_for.insert(holder_id);
        request_state.holders_reached.push(holder_id);
        let submission = transition::CallSubmission {
            id,
            request: format!("r{request}").parse().expect("a valid identifier"),
            key: call_key(&request_state.key),
            digest: digest::HexDigest::of(request_state.body.as_bytes()),
            deadline: self.now + time::Millis::new(30_000),
        };
        let input = transition::ClaimInput::Submit(submission);
        self.effects.push(Effect::Input { daemon, fence, input });
    }

    /// Restarts a daemon, which loses all of its state.
    pub(crate) fn crash(&mut self, daemon: usize) {
        let daemon = &mut self.daemons[daemon];
        daemon.incarnation += 1;
        daemon.holders.clear();
        daemon.copies = copies::CopyStore::default();
    }

    pub(crate) fn release(&mut self, daemon: usize) {
        if let Some(fence) = self.daemons[daemon].holders.keys().next_back().copied() {
            self.handle_input(daemon, fence, transition::ClaimInput::Release);
        }
    }

    /// Advances the time and ticks every holder.
    pub(crate) fn advance(&mut self, duration: time::Millis) {
        self.now = self.now + duration;
        for daemon in 0..self.daemons.len() {
            if self.paused.contains(&daemon) {
                continue;
            }
            let fences: Vec<_> = self.daemons[daemon].holders.keys().copied().collect();
            for fence in fences {
                self.handle_input(daemon, fence, transition::ClaimInput::Tick);
            }
        }
    }

    /// Executes one effect. Returns false if its daemon is paused.
    pub(crate) fn execute_effect(&mut self, index: usize) -> bool {
        let daemon = match &self.effects[index] {
            Effect::Action { daemon, .. } | Effect::Input { daemon, .. } => Some(*daemon),
            Effect::DelayedWrite(_) => None,
        };
        if daemon.is_some_and(|daemon| self.paused.contains(&daemon)) {
            return false;
        }
        match self.effects.remove(index) {
            Effect::Action { daemon, fence, action } => self.execute(daemon, fence, action),
            Effect::Input { daemon, fence, input } => self.handle_input(daemon, fence, input),
            Effect::DelayedWrite(transaction) => {
                self.commit(&transaction);
            }
        }
        true
    }

    /// Executes effects in order until only delayed writes and effects of paused daemons are left.
    pub(crate) fn run_until_idle(&mut self) {
        for _ in 0..10_000 {
            let ready_index = (0..self.effects.len()).find(|index| match &self.effects[*index] {
                Effect::Action { daemon, .. } | Effect::Input { daemon, .. } => {
                    !self.paused.contains(daemon)
                }
                Effect::DelayedWrite(_) => false,
            });
            let Some(index) = ready_index else { return };
            self.execute_effect(index);
        }
    }

    /// Applies the delayed writes to the table.
    pub(crate) fn deliver_delayed_writes(&mut self) {
        let is_delayed_write = |effect: &Effect| matches!(effect, Effect::DelayedWrite(_));
        while let Some(index) = self.effects.iter().position(is_delayed_write) {
            self.execute_effect(index);
        }
    }

    /// Ends a call at the upstream.
    pub(crate) fn end_run(&mut self, index: usize, end: UpstreamEnd) {
        let call = self.running.remove(index);
        let key = call.key.key.to_string();
        let outcome = match end {
            UpstreamEnd::Response => {
                let count = self.count_run(&call);
                let result = journal::EncodedResult::from(format!("{key} run {count}"));
                transition::EncodedOutcome::Completed(result)
            }
            UpstreamEnd::ResponseLost => {
                self.count_run(&call);
                if self.disabled_protection == DisabledProtection::UnknownOutcome {
                    transition::EncodedOutcome::NotRun(no_replica_cause())
                } else {
                    transition::EncodedOutcome::MaybeRun(reason::RefusalReason::UpstreamFailed)
                }
            }
            UpstreamEnd::Refused => transition::EncodedOutcome::NotRun(no_replica_cause()),
        };
        let RunningCall { daemon, fence, key, .. } = call;
        let input = transition::ClaimInput::RunFinished { key, outcome };
        self.effects.push(Effect::Input { daemon, fence, input });
    }

    /// Counts a run and records the violations that it shows. Returns how often the key has run.
    fn count_run(&mut self, call: &RunningCall) -> u32 {
        let key = call.key.key.to_string();
        let count = self.runs.entry(key.clone()).or_default();
        *count += 1;
        let count = *count;
        if count > 1 {
            self.violations.push(format!("{key} ran {count} times"));
        }
        let request = &mut self.requests[call.request];
        request.has_run = true;
        if matches!(request.response, Some(transition::SubmitResponse::NotRun(_))) {
            self.violations.push(format!("{key} ran after its caller got not-run"));
        }
        count
    }

    fn instance(&self, daemon: usize) -> row::DaemonInstance {
        row::DaemonInstance {
            daemon: daemon_name(daemon).parse().expect("a valid identifier"),
            incarnation: quantity::Incarnation::new(self.daemons[daemon].incarnation),
        }
    }

    fn copy_set(&self, daemon: usize) -> row::CopySet {
        let peers = (0..self.daemons.len()).filter(|other| *other != daemon);
        peers.map(|other| self.instance(other)).collect()
    }

    fn handle_input(
        &mut self,
        daemon: usize,
        fence: quantity::FencingToken,
        input: transition::ClaimInput,
    ) {
        let now = self.now;
        let Some(holder) = self.daemons[daemon].holders.get_mut(&fence) else {
            if let transition::ClaimInput::Submit(submission) = input {
                self.handle_response(submission.id, transition::SubmitResponse::Moved);
            }
            return;
        };
        let actions = holder.handle(now, input);
        self.handle_actions(daemon, fence, actions);
    }

    fn handle_actions(
        &mut self,
        daemon: usize,
        fence: quantity::FencingToken,
        actions: Vec<transition::ClaimAction>,
    ) {
        for action in actions {
            match action {
                transition::ClaimAction::Respond { submission, response } => {
                    self.handle_response(submission, response)
                }
                transition::ClaimAction::Opened => {
                    self.log.push(format!("{} opened", daemon_name(daemon)))
                }
                transition::ClaimAction::Closed { reason, .. } => {
                    self.log.push(format!("{} closed: {reason:?}", daemon_name(daemon)));
                    self.store_local_copies(daemon, fence);
                }
                action => self.effects.push(Effect::Action { daemon, fence, action }),
            }
        }
    }

    /// Stores the unwritten batches of a closed holder as copies at its own daemon.
    fn store_local_copies(&mut self, daemon: usize, fence: quantity::FencingToken) {
        let daemon = &mut self.daemons[daemon];
        let Some(holder) = daemon.holders.get_mut(&fence) else { return };
        let batches = holder.seal(&mut Vec::new());
        daemon.copies.store_local(SHARD, batches);
    }

    fn handle_response(
        &mut self,
        submission: index::SubmissionId,
        response: transition::SubmitResponse,
    ) {
        let SentSubmission { request, holder_id } = self.submissions[&submission];
        let request_state = &mut self.requests[request];
        let others_waiting = request_state.waiting_for.iter().any(|other| *other != holder_id);
        let response = match response {
            transition::SubmitResponse::Moved => {
                request_state.waiting_for.remove(&holder_id);
                return;
            }
            transition::SubmitResponse::NotRun(cause) if others_waiting => {
                transition::SubmitResponse::Unknown(cause.reason)
            }
            response => response,
        };
        if request_state.response.is_some() {
            return;
        }
        let key = request_state.key.clone();
        let text = response_text(&response);
        self.log.push(format!("r{request} {key} at {}: {text}", daemon_name(holder_id.daemon)));
        if matches!(response, transition::SubmitResponse::NotRun(_)) && request_state.has_run {
            self.violations.push(format!("{key} got not-run although it ran"));
        }
        if let transition::SubmitResponse::Completed { result, .. } = &response {
            let first_result = self.results.entry(key.clone()).or_insert_with(|| result.clone());
            if first_result != result {
                self.violations.push(format!("{key} has two different results"));
            }
        }
        request_state.response = Some(response);
    }

    fn execute(
        &mut self,
        daemon: usize,
        fence: quantity::FencingToken,
        action: transition::ClaimAction,
    ) {
        let input = match action {
            transition::ClaimAction::Write(writer::WriterAction::Commit(transaction)) => {
                transition::ClaimInput::CommitFinished(self.write(transaction))
            }
            transition::ClaimAction::Write(writer::WriterAction::ReadLease) => {
                transition::ClaimInput::LeaseRead(self.read_lease())
            }
            transition::ClaimAction::Write(writer::WriterAction::Copy {
                round,
                member,
                first_unwritten,
                batches,
            }) => {
                let response = self.store_copies(daemon, fence, &member, first_unwritten, batches);
                transition::ClaimInput::CopyFinished { round, member, response }
            }
            transition::ClaimAction::Recover(recovery::RecoveryAction::ReadJournal) => {
                transition::ClaimInput::JournalRead(self.read_journal())
            }
            transition::ClaimAction::Recover(recovery::RecoveryAction::Seal(member)) => {
                let response = self.seal(daemon, fence, &member);
                transition::ClaimInput::SealFinished { member, response }
            }
            transition::ClaimAction::Run { submission, key } => {
                let request = self.submissions[&submission].request;
                self.running.push(RunningCall { daemon, fence, request, key });
                return;
            }
            transition::ClaimAction::Respond { .. }
            | transition::ClaimAction::Opened
            | transition::ClaimAction::Closed { .. } => return,
        };
        self.effects.push(Effect::Input { daemon, fence, input });
    }

    /// Commits a transaction, with the faults of this cluster.
    fn write(&mut self, transaction: table::TableTransaction) -> commit_outcome::CommitOutcome {
        if self.is_table_down {
            return commit_outcome::CommitOutcome::NotApplied;
        }
        let outcome_without_response = match self.disabled_protection {
            DisabledProtection::CommitReadBack => {
                commit_outcome::CommitOutcome::Committed(self.row_version())
            }
            _ => commit_outcome::CommitOutcome::Unknown,
        };
        match self.faults.pop_front() {
            None => self.commit(&transaction),
            Some(WriteFault::RequestLost) => outcome_without_response,
            Some(WriteFault::ResponseLost) => {
                self.commit(&transaction);
                outcome_without_response
            }
            Some(WriteFault::Delayed) => {
                self.effects.push(Effect::DelayedWrite(transaction));
                outcome_without_response
            }
        }
    }

    fn commit(&mut self, transaction: &table::TableTransaction) -> commit_outcome::CommitOutcome {
        let mut transaction = transaction.clone();
        let is_journal_write = transaction.writes.iter().all(|write| {
            matches!(write, table::RowWrite::Put(key, _) if key.as_str().starts_with("claim/"))
        });
        if self.disabled_protection == DisabledProtection::Fencing && is_journal_write {
            transaction.conditions.clear();
        }
        commit_outcome::CommitOutcome::from(Ok(self.rows.commit(&transaction)))
    }

    fn row_version(&self) -> quantity::RowVersion {
        let table_row = self.rows.read(&row::shard_key(SHARD));
        table_row.map_or_else(quantity::RowVersion::default, |table_row| table_row.version)
    }

    fn read_lease(&self) -> writer::LeaseReadResult {
        if self.is_table_down {
            return writer::LeaseReadResult::Failed;
        }
        let table_row = self.rows.read(&row::shard_key(SHARD));
        writer::LeaseReadResult::Found(table_row.and_then(|table_row| {
            let row = row::LeaseRow::decode(&table_row.value)?;
            Some(Box::new(row::VersionedLease { row, version: table_row.version }))
        }))
    }

    fn read_journal(&self) -> Option<Vec<journal::JournalBatch>> {
        if self.is_table_down {
            return None;
        }
        if self.disabled_protection == DisabledProtection::JournalReplay {
            return Some(Vec::new());
        }
        let rows = self.rows.scan(&journal::shard_prefix(SHARD), None, 10_000);
        rows.iter().map(journal::JournalBatch::decode).collect()
    }

    fn store_copies(
        &mut self,
        daemon: usize,
        fence: quantity::FencingToken,
        member: &row::DaemonInstance,
        first_unwritten: u64,
        batches: Vec<journal::JournalBatch>,
    ) -> writer::CopyResponse {
        let peer = daemon_index(member);
        if !self.is_reachable(daemon, peer) {
            return match self.disabled_protection {
                DisabledProtection::WriteAll => writer::CopyResponse::Stored,
                _ => writer::CopyResponse::Failed,
            };
        }
        if !self.is_current_instance(member) {
            return writer::CopyResponse::CopiesLost;
        }
        let stored = self.daemons[peer].copies.store(SHARD, fence, first_unwritten, batches);
        writer::CopyResponse::from(stored)
    }

    fn seal(
        &mut self,
        daemon: usize,
        fence: quantity::FencingToken,
        member: &row::DaemonInstance,
    ) -> recovery::SealResponse {
        let peer = daemon_index(member);
        if !self.is_reachable(daemon, peer) {
            return recovery::SealResponse::Failed;
        }
        if !self.is_current_instance(member) {
            return recovery::SealResponse::CopiesLost;
        }
        let earlier_fences: Vec<_> =
            self.daemons[peer].holders.range(..fence).map(|(fence, _)| *fence).collect();
        for fence in earlier_fences {
            let mut actions = Vec::new();
            if let Some(holder) = self.daemons[peer].holders.get_mut(&fence) {
                holder.seal(&mut actions);
            }
            self.handle_actions(peer, fence, actions);
            self.store_local_copies(peer, fence);
        }
        let store = &mut self.daemons[peer].copies;
        let batches = match self.disabled_protection {
            DisabledProtection::Sealing => store.clone().seal(SHARD, fence),
            _ => store.seal(SHARD, fence),
        };
        recovery::SealResponse::Sealed(batches)
    }

    fn is_reachable(&self, from: usize, to: usize) -> bool {
        let pair = (from.min(to), from.max(to));
        from == to || (!self.disconnected.contains(&pair) && !self.paused.contains(&to))
    }

    fn is_current_instance(&self, member: &row::DaemonInstance) -> bool {
        self.disabled_protection == DisabledProtection::IncarnationCheck
            || self.instance(daemon_index(member)) == *member
    }
}

pub(crate) fn daemon_name(daemon: usize) -> String {
    let letter_index = u8::try_from(daemon).expect("a test has few daemons");
    char::from(b'a' + letter_index).to_string()
}

fn daemon_index(member: &row::DaemonInstance) -> usize {
    usize::from(member.daemon.as_str().as_bytes()[0] - b'a')
}

fn call_key(key: &str) -> key::CallKey {
    key::CallKey {
        workspace: "agency".parse().expect("a valid identifier"),
        service: "address-check".parse().expect("a valid identifier"),
        key: key.parse().expect("a valid identifier"),
    }
}

fn no_replica_cause() -> transition::NotRunCause {
    transition::NotRunCause { reason: reason::RefusalReason::NoReplica, retry_after: None }
}

fn response_text(response: &transition::SubmitResponse) -> String {
    match response {
        transition::SubmitResponse::Completed { result, replayed } => {
            format!("complete \"{result}\"{}", if *replayed { " replayed" } else { "" })
        }
        transition::SubmitResponse::NotRun(cause) => format!("not-run {}", cause.reason),
        transition::SubmitResponse::Unknown(reason) => format!("unknown {reason}"),
        transition::SubmitResponse::Moved => "moved".to_owned(),
    }
}

fn test_policy() -> policy::ClaimPolicy {
    policy::ClaimPolicy {
        flush_interval: time::Millis::new(20),
        table_timeout: time::Millis::new(100),
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
