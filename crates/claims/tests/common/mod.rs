//! Daemons, a table and an upstream around the pure holder of one shard, with simulated time.
//!
//! Everything that a holder wants done is an effect; effects are carried out in any order, and their
//! answers arrive in any order.

use std::collections;

use samphiremoor_base::digest;
use samphiremoor_base::quantity;
use samphiremoor_base::reason;
use samphiremoor_base::time;
use samphiremoor_claims::copies;
use samphiremoor_claims::journal;
use samphiremoor_claims::key;
use samphiremoor_claims::ledger;
use samphiremoor_claims::opening;
use samphiremoor_claims::policy;
use samphiremoor_claims::shard;
use samphiremoor_claims::step;
use samphiremoor_claims::writer;
use samphiremoor_lease::commit_outcome;
use samphiremoor_lease::row;
use samphiremoor_platform::rows;
use samphiremoor_platform::table;

/// A protection that the surroundings take out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Weakness {
    None,
    /// The table ignores conditions of journal writes.
    NoFence,
    /// A write without an answer counts as done.
    NoSettle,
    /// A peer gives its copies without refusing later ones.
    NoSeal,
    /// A restarted peer answers for its earlier life.
    NoIncarnation,
    /// A peer that can't be reached counts as having kept a copy.
    NoWriteAll,
    /// A successor sees an empty journal.
    NoJournal,
    /// A lease row forgets groups that were not sealed.
    NoInherit,
    /// A lost answer of the upstream counts as not run.
    GuessNotRun,
}

/// What becomes of the next write to the table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum WriteFault {
    AnswerLost,
    RequestLost,
    /// It is answered as unknown and takes effect later.
    Late,
}

#[derive(Clone, Debug)]
pub(crate) enum Effect {
    Act { daemon: usize, fence: quantity::FencingToken, action: step::ClaimAction },
    Reply { daemon: usize, fence: quantity::FencingToken, input: step::ClaimInput },
    LateWrite(table::TableTransaction),
}

/// A request, and what its caller was told.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) key: String,
    body: String,
    /// Holds that may still have it.
    sent: collections::BTreeSet<HoldTarget>,
    /// Holds that it was sent to; late copies reach no others.
    targets: Vec<HoldTarget>,
    pub(crate) told: Option<step::ClaimAnswer>,
    ran: bool,
}

struct Daemon {
    life: u64,
    holders: collections::BTreeMap<quantity::FencingToken, shard::ShardHolder>,
    copies: copies::CopyStore,
}

pub(crate) struct ClaimCluster {
    pub(crate) now: time::MonotonicTime,
    pub(crate) rows: rows::RowSet,
    pub(crate) is_table_down: bool,
    pub(crate) faults: collections::VecDeque<WriteFault>,
    pub(crate) effects: Vec<Effect>,
    pub(crate) cuts: collections::BTreeSet<(usize, usize)>,
    pub(crate) paused: collections::BTreeSet<usize>,
    pub(crate) requests: Vec<Request>,
    pub(crate) runs: collections::BTreeMap<String, u32>,
    /// Calls at the upstream, by daemon, fence and key.
    pub(crate) running: Vec<RunningCall>,
    pub(crate) violations: Vec<String>,
    pub(crate) log: Vec<String>,
    results: collections::BTreeMap<String, journal::EncodedResult>,
    calls: collections::BTreeMap<ledger::CallNumber, SentCall>,
    daemons: Vec<Daemon>,
    pub(crate) weakness: Weakness,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct HoldTarget {
    daemon: usize,
    fence: quantity::FencingToken,
}

#[derive(Clone, Copy, Debug)]
struct SentCall {
    request: usize,
    target: HoldTarget,
}

#[derive(Clone, Debug)]
pub(crate) struct RunningCall {
    daemon: usize,
    fence: quantity::FencingToken,
    request: usize,
    key: key::CallKey,
}

/// How the upstream ends a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum UpstreamEnd {
    Answer,
    AnswerLost,
    Refused,
}

const SHARD: quantity::ShardNumber = quantity::ShardNumber::new(0);

impl ClaimCluster {
    pub(crate) fn new(count: usize, weakness: Weakness) -> Self {
        let daemon = |_| Daemon {
            life: 1,
            holders: collections::BTreeMap::new(),
            copies: copies::CopyStore::default(),
        };
        ClaimCluster {
            now: time::MonotonicTime::new(1_000),
            rows: rows::RowSet::default(),
            is_table_down: false,
            faults: collections::VecDeque::new(),
            effects: Vec::new(),
            cuts: collections::BTreeSet::new(),
            paused: collections::BTreeSet::new(),
            requests: Vec::new(),
            runs: collections::BTreeMap::new(),
            running: Vec::new(),
            violations: Vec::new(),
            log: Vec::new(),
            results: collections::BTreeMap::new(),
            calls: collections::BTreeMap::new(),
            daemons: (0..count).map(daemon).collect(),
            weakness,
        }
    }

    /// Takes the lease by compare-and-set; the other daemons keep copies.
    pub(crate) fn take(&mut self, daemon: usize) {
        if self.is_table_down || self.paused.contains(&daemon) {
            return;
        }
        let key = row::shard_key(SHARD);
        let found = self.rows.read(&key);
        let before = found.and_then(|found| row::LeaseRow::decode(&found.value));
        let life = self.life(daemon);
        let mut taken = before
            .as_ref()
            .map_or_else(|| row::LeaseRow::initial(&life), |row| row.taken_over_by(&life));
        if self.weakness == Weakness::NoInherit && taken.unsealed.len() > 1 {
            taken.unsealed.clear();
        }
        if self.weakness == Weakness::NoInherit
            && before.as_ref().is_some_and(|row| row.copy_set.is_empty())
        {
            taken.unsealed.clear();
        }
        let transaction = table::TableTransaction {
            write_id: "take".parse().expect("a valid identifier"),
            conditions: Vec::new(),
            writes: vec![table::RowWrite::Put(key, taken.encode())],
        };
        let table::CommitResponse::Committed(version) = self.rows.commit(&transaction) else {
            return;
        };
        let fence = taken.fence;
        let lease = row::VersionedLease { row: taken, version };
        let copy_set = self.copy_set(daemon);
        let holder = shard::ShardHolder::new(SHARD, lease, copy_set, test_policy());
        self.daemons[daemon].holders.insert(fence, holder);
        self.input(daemon, fence, step::ClaimInput::Tick);
    }

    /// Sends a new request to a daemon.
    pub(crate) fn submit(&mut self, daemon: usize, key: &str, body: &str) {
        let request = Request {
            key: key.to_owned(),
            body: body.to_owned(),
            sent: collections::BTreeSet::new(),
            targets: Vec::new(),
            told: None,
            ran: false,
        };
        self.requests.push(request);
        self.send(self.requests.len() - 1, daemon);
    }

    /// Sends a request to a daemon, perhaps once more.
    pub(crate) fn send(&mut self, request: usize, daemon: usize) {
        let Some(fence) = self.daemons[daemon].holders.keys().next_back().copied() else { return };
        self.deliver_send(request, HoldTarget { daemon, fence });
    }

    /// A copy of a request arrives late; a caller that has its answer sends it to nobody else.
    pub(crate) fn send_again(&mut self, request: usize, daemon: usize) {
        let found = &self.requests[request];
        if found.told.is_none() {
            return self.send(request, daemon);
        }
        let targets = found.targets.iter().copied();
        for target in targets.filter(|target| target.daemon == daemon).collect::<Vec<_>>() {
            self.deliver_send(request, target);
        }
    }

    fn deliver_send(&mut self, request: usize, target: HoldTarget) {
        let HoldTarget { daemon, fence } = target;
        let number = ledger::CallNumber(self.calls.len() as u64);
        self.calls.insert(number, SentCall { request, target });
        let found = &mut self.requests[request];
        found.sent.insert(target);
        found.targets.push(target);
        let send = step::CallSend {
            call: number,
            request: format!("r{request}").parse().expect("a valid identifier"),
            key: call_key(&found.key),
            digest: digest::HexDigest::of(found.body.as_bytes()),
            deadline: self.now + time::Millis::new(30_000),
        };
        let input = step::ClaimInput::Submit(send);
        self.effects.push(Effect::Reply { daemon, fence, input });
    }

    /// A daemon loses everything and starts anew.
    pub(crate) fn crash(&mut self, daemon: usize) {
        let daemon = &mut self.daemons[daemon];
        daemon.life += 1;
        daemon.holders.clear();
        daemon.copies = copies::CopyStore::default();
    }

    pub(crate) fn release(&mut self, daemon: usize) {
        if let Some(fence) = self.daemons[daemon].holders.keys().next_back().copied() {
            self.input(daemon, fence, step::ClaimInput::Release);
        }
    }

    /// Lets time pass and ticks every holder.
    pub(crate) fn advance(&mut self, length: time::Millis) {
        self.now = self.now + length;
        for daemon in 0..self.daemons.len() {
            if self.paused.contains(&daemon) {
                continue;
            }
            let fences: Vec<_> = self.daemons[daemon].holders.keys().copied().collect();
            for fence in fences {
                self.input(daemon, fence, step::ClaimInput::Tick);
            }
        }
    }

    /// Carries out one effect; false where it has to wait.
    pub(crate) fn deliver(&mut self, index: usize) -> bool {
        let daemon = match &self.effects[index] {
            Effect::Act { daemon, .. } | Effect::Reply { daemon, .. } => Some(*daemon),
            Effect::LateWrite(_) => None,
        };
        if daemon.is_some_and(|daemon| self.paused.contains(&daemon)) {
            return false;
        }
        match self.effects.remove(index) {
            Effect::Act { daemon, fence, action } => self.act(daemon, fence, action),
            Effect::Reply { daemon, fence, input } => self.input(daemon, fence, input),
            Effect::LateWrite(transaction) => {
                self.commit(&transaction);
            }
        }
        true
    }

    /// Carries out effects in order until nothing is left that can go on.
    pub(crate) fn settle(&mut self) {
        for _ in 0..10_000 {
            let ready = (0..self.effects.len()).find(|index| match &self.effects[*index] {
                Effect::Act { daemon, .. } | Effect::Reply { daemon, .. } => {
                    !self.paused.contains(daemon)
                }
                Effect::LateWrite(_) => false,
            });
            let Some(ready) = ready else { return };
            self.deliver(ready);
        }
    }

    /// Delayed writes reach the table.
    pub(crate) fn deliver_late_writes(&mut self) {
        let is_late = |effect: &Effect| matches!(effect, Effect::LateWrite(_));
        while let Some(index) = self.effects.iter().position(is_late) {
            self.deliver(index);
        }
    }

    /// The upstream ends a call.
    pub(crate) fn end_run(&mut self, index: usize, end: UpstreamEnd) {
        let call = self.running.remove(index);
        let key = call.key.key.to_string();
        let end = match end {
            UpstreamEnd::Answer => {
                let count = self.count_run(&call);
                let result = journal::EncodedResult::from(format!("{key} run {count}"));
                step::RunEnd::Completed(result)
            }
            UpstreamEnd::AnswerLost => {
                self.count_run(&call);
                if self.weakness == Weakness::GuessNotRun {
                    step::RunEnd::NotRun(no_replica())
                } else {
                    step::RunEnd::MaybeRun(reason::RefusalReason::UpstreamFailed)
                }
            }
            UpstreamEnd::Refused => step::RunEnd::NotRun(no_replica()),
        };
        let RunningCall { daemon, fence, key, .. } = call;
        let input = step::ClaimInput::RunEnded { key, end };
        self.effects.push(Effect::Reply { daemon, fence, input });
    }

    fn count_run(&mut self, call: &RunningCall) -> u32 {
        let key = call.key.key.to_string();
        let count = self.runs.entry(key.clone()).or_default();
        *count += 1;
        let count = *count;
        if count > 1 {
            self.violations.push(format!("{key} ran {count} times"));
        }
        let request = &mut self.requests[call.request];
        request.ran = true;
        if matches!(request.told, Some(step::ClaimAnswer::NotRun(_))) {
            self.violations.push(format!("{key} ran after its caller was told not run"));
        }
        count
    }

    fn life(&self, daemon: usize) -> row::DaemonInstance {
        row::DaemonInstance {
            daemon: name(daemon).parse().expect("a valid identifier"),
            incarnation: quantity::Incarnation::new(self.daemons[daemon].life),
        }
    }

    fn copy_set(&self, daemon: usize) -> row::CopySet {
        let others = (0..self.daemons.len()).filter(|other| *other != daemon);
        others.map(|other| self.life(other)).collect()
    }

    fn input(&mut self, daemon: usize, fence: quantity::FencingToken, input: step::ClaimInput) {
        let now = self.now;
        let Some(holder) = self.daemons[daemon].holders.get_mut(&fence) else {
            if let step::ClaimInput::Submit(send) = input {
                self.told(send.call, step::ClaimAnswer::Moved);
            }
            return;
        };
        let actions = holder.handle(now, input);
        self.actions(daemon, fence, actions);
    }

    fn actions(
        &mut self,
        daemon: usize,
        fence: quantity::FencingToken,
        actions: Vec<step::ClaimAction>,
    ) {
        for action in actions {
            match action {
                step::ClaimAction::Answer { call, answer } => self.told(call, answer),
                step::ClaimAction::Opened => self.log.push(format!("{} opened", name(daemon))),
                step::ClaimAction::Closed { reason, .. } => {
                    self.log.push(format!("{} closed: {reason:?}", name(daemon)));
                    self.absorb(daemon, fence);
                }
                action => self.effects.push(Effect::Act { daemon, fence, action }),
            }
        }
    }

    fn absorb(&mut self, daemon: usize, fence: quantity::FencingToken) {
        let daemon = &mut self.daemons[daemon];
        let Some(holder) = daemon.holders.get_mut(&fence) else { return };
        let batches = holder.seal(&mut Vec::new());
        daemon.copies.absorb(SHARD, batches);
    }

    fn told(&mut self, call: ledger::CallNumber, answer: step::ClaimAnswer) {
        let SentCall { request, target } = self.calls[&call];
        let found = &mut self.requests[request];
        let others = found.sent.iter().any(|other| *other != target);
        let answer = match answer {
            step::ClaimAnswer::Moved => {
                found.sent.remove(&target);
                return;
            }
            step::ClaimAnswer::NotRun(cause) if others => step::ClaimAnswer::Unknown(cause.reason),
            answer => answer,
        };
        if found.told.is_some() {
            return;
        }
        let key = found.key.clone();
        let text = answer_text(&answer);
        self.log.push(format!("r{request} {key} at {}: {text}", name(target.daemon)));
        if matches!(answer, step::ClaimAnswer::NotRun(_)) && found.ran {
            self.violations.push(format!("{key} was told not run after it ran"));
        }
        if let step::ClaimAnswer::Completed { result, .. } = &answer {
            let first = self.results.entry(key.clone()).or_insert_with(|| result.clone());
            if first != result {
                self.violations.push(format!("{key} has two answers"));
            }
        }
        found.told = Some(answer);
    }

    fn act(&mut self, daemon: usize, fence: quantity::FencingToken, action: step::ClaimAction) {
        let input = match action {
            step::ClaimAction::Write(writer::WriterAction::Commit(transaction)) => {
                step::ClaimInput::TableAnswered(self.write(transaction))
            }
            step::ClaimAction::Write(writer::WriterAction::ReadLease) => {
                step::ClaimInput::LeaseRead(self.read_lease())
            }
            step::ClaimAction::Write(writer::WriterAction::Copy {
                round,
                member,
                written,
                batches,
            }) => {
                let answer = self.copy(daemon, fence, &member, written, batches);
                step::ClaimInput::CopyAnswered { round, member, answer }
            }
            step::ClaimAction::Open(opening::OpeningAction::ReadJournal) => {
                step::ClaimInput::JournalRead(self.read_journal())
            }
            step::ClaimAction::Open(opening::OpeningAction::Seal(member)) => {
                let answer = self.seal(daemon, fence, &member);
                step::ClaimInput::SealAnswered { member, answer }
            }
            step::ClaimAction::Run { call, key } => {
                let request = self.calls[&call].request;
                self.running.push(RunningCall { daemon, fence, request, key });
                return;
            }
            step::ClaimAction::Answer { .. }
            | step::ClaimAction::Opened
            | step::ClaimAction::Closed { .. } => return,
        };
        self.effects.push(Effect::Reply { daemon, fence, input });
    }

    fn write(&mut self, transaction: table::TableTransaction) -> commit_outcome::CommitOutcome {
        if self.is_table_down {
            return commit_outcome::CommitOutcome::NotApplied;
        }
        let unknown = match self.weakness {
            Weakness::NoSettle => commit_outcome::CommitOutcome::Committed(self.row_version()),
            _ => commit_outcome::CommitOutcome::Unknown,
        };
        match self.faults.pop_front() {
            None => self.commit(&transaction),
            Some(WriteFault::RequestLost) => unknown,
            Some(WriteFault::AnswerLost) => {
                self.commit(&transaction);
                unknown
            }
            Some(WriteFault::Late) => {
                self.effects.push(Effect::LateWrite(transaction));
                unknown
            }
        }
    }

    fn commit(&mut self, transaction: &table::TableTransaction) -> commit_outcome::CommitOutcome {
        let mut transaction = transaction.clone();
        let is_journal = transaction.writes.iter().all(|write| {
            matches!(write, table::RowWrite::Put(key, _) if key.as_str().starts_with("claim/"))
        });
        if self.weakness == Weakness::NoFence && is_journal {
            transaction.conditions.clear();
        }
        commit_outcome::CommitOutcome::from(Ok(self.rows.commit(&transaction)))
    }

    fn row_version(&self) -> quantity::RowVersion {
        let found = self.rows.read(&row::shard_key(SHARD));
        found.map_or_else(quantity::RowVersion::default, |found| found.version)
    }

    fn read_lease(&self) -> writer::LeaseReading {
        if self.is_table_down {
            return writer::LeaseReading::Failed;
        }
        let found = self.rows.read(&row::shard_key(SHARD));
        writer::LeaseReading::Found(found.and_then(|found| {
            let row = row::LeaseRow::decode(&found.value)?;
            Some(Box::new(row::VersionedLease { row, version: found.version }))
        }))
    }

    fn read_journal(&self) -> Option<Vec<journal::JournalBatch>> {
        if self.is_table_down {
            return None;
        }
        if self.weakness == Weakness::NoJournal {
            return Some(Vec::new());
        }
        let rows = self.rows.scan(&journal::shard_prefix(SHARD), None, 10_000);
        rows.iter().map(journal::JournalBatch::decode).collect()
    }

    fn copy(
        &mut self,
        daemon: usize,
        fence: quantity::FencingToken,
        member: &row::DaemonInstance,
        written: u64,
        batches: Vec<journal::JournalBatch>,
    ) -> writer::CopyAnswer {
        let other = index(member);
        if !self.is_reachable(daemon, other) {
            return match self.weakness {
                Weakness::NoWriteAll => writer::CopyAnswer::Kept,
                _ => writer::CopyAnswer::Failed,
            };
        }
        if !self.is_same_life(member) {
            return writer::CopyAnswer::Gone;
        }
        let kept = self.daemons[other].copies.keep(SHARD, fence, written, batches);
        writer::CopyAnswer::from(kept)
    }

    fn seal(
        &mut self,
        daemon: usize,
        fence: quantity::FencingToken,
        member: &row::DaemonInstance,
    ) -> opening::SealAnswer {
        let other = index(member);
        if !self.is_reachable(daemon, other) {
            return opening::SealAnswer::Failed;
        }
        if !self.is_same_life(member) {
            return opening::SealAnswer::Gone;
        }
        let earlier: Vec<_> =
            self.daemons[other].holders.range(..fence).map(|(fence, _)| *fence).collect();
        for fence in earlier {
            let mut actions = Vec::new();
            if let Some(holder) = self.daemons[other].holders.get_mut(&fence) {
                holder.seal(&mut actions);
            }
            self.actions(other, fence, actions);
            self.absorb(other, fence);
        }
        let store = &mut self.daemons[other].copies;
        let batches = match self.weakness {
            Weakness::NoSeal => store.clone().seal(SHARD, fence),
            _ => store.seal(SHARD, fence),
        };
        opening::SealAnswer::Sealed(batches)
    }

    fn is_reachable(&self, from: usize, to: usize) -> bool {
        let pair = (from.min(to), from.max(to));
        from == to || (!self.cuts.contains(&pair) && !self.paused.contains(&to))
    }

    fn is_same_life(&self, member: &row::DaemonInstance) -> bool {
        self.weakness == Weakness::NoIncarnation || self.life(index(member)) == *member
    }
}

pub(crate) fn name(daemon: usize) -> String {
    let letter = u8::try_from(daemon).expect("few daemons");
    char::from(b'a' + letter).to_string()
}

fn index(member: &row::DaemonInstance) -> usize {
    usize::from(member.daemon.as_str().as_bytes()[0] - b'a')
}

fn call_key(key: &str) -> key::CallKey {
    key::CallKey {
        workspace: "agency".parse().expect("a valid identifier"),
        service: "address-check".parse().expect("a valid identifier"),
        key: key.parse().expect("a valid identifier"),
    }
}

fn no_replica() -> step::NotRunCause {
    step::NotRunCause { reason: reason::RefusalReason::NoReplica, retry_after: None }
}

fn answer_text(answer: &step::ClaimAnswer) -> String {
    match answer {
        step::ClaimAnswer::Completed { result, replayed } => {
            format!("complete \"{result}\"{}", if *replayed { " again" } else { "" })
        }
        step::ClaimAnswer::NotRun(cause) => format!("not-run {}", cause.reason),
        step::ClaimAnswer::Unknown(reason) => format!("unknown {reason}"),
        step::ClaimAnswer::Moved => "moved".to_owned(),
    }
}

fn test_policy() -> policy::ClaimPolicy {
    policy::ClaimPolicy {
        flush_interval: time::Millis::new(20),
        table_timeout: time::Millis::new(100),
        claim_timeout: time::Millis::new(1_000),
        retention: time::Millis::new(3_600_000),
        max_keys: 1_000,
        max_backlog: 1_000,
        max_backlog_bytes: 1_000_000,
        max_result_bytes: 10_000,
        lost_copies_wait: None,
        retry_after: time::Millis::new(500),
    }
}
