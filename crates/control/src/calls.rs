//! Starts the calls of the control thread as tasks, which send what came of them back to it.

use std::future;
use std::net;
use std::sync;
use std::sync::mpsc;

use async_std::channel;
use async_std::task;
use samphiremoor_base::event;
use samphiremoor_base::log_event;
use samphiremoor_base::quantity;
use samphiremoor_membership::gossip;
use samphiremoor_membership::state as membership;
use samphiremoor_platform::table;

use crate::action;
use crate::capacity;
use crate::client_pool;
use crate::executor;
use crate::input;
use crate::message;
use crate::metrics;
use crate::platform_read;
use crate::ports;

/// Starts calls to the platform, to peers and to upstreams.
pub(crate) struct CallStarter {
    pub(crate) ports: ports::ControlPorts,
    pub(crate) caller: sync::Arc<client_pool::PeerCaller>,
    pub(crate) metrics: metrics::ControlMetrics,
    pub(crate) inputs: mpsc::SyncSender<input::ThreadInput>,
}

impl CallStarter {
    /// Reads from the platform; a failed read is told as such.
    pub(crate) fn read(&self, read: action::PlatformRead, duty_key: table::RowKey) {
        let ports = self.ports.clone();
        let metrics = self.metrics.clone();
        self.spawn(async move {
            let input = platform_read::read(&*ports.table, &*ports.cloud, &duty_key, read).await;
            let result = if input.is_some() { "done" } else { "failed" };
            metrics.platform_reads.with_label_values(&[read.label(), result]).inc();
            input.unwrap_or(action::ControlInput::ReadFailed(read))
        });
    }

    /// Makes the own daemon known at a seed; a seed that does not answer is asked again later.
    pub(crate) fn join(&self, address: net::SocketAddr, own: gossip::DaemonInfo) {
        let caller = self.caller.clone();
        let inputs = self.inputs.clone();
        task::spawn(async move {
            let question = message::PeerRequest::Join(own);
            let answer = caller.call_at(address, &question, "join").await;
            if let Some(message::PeerResponse::Joined(known)) = answer {
                send(&inputs, action::ControlInput::Joined(known));
            }
        });
    }

    /// Sends a message with news to a peer.
    pub(crate) fn gossip(&self, peer: gossip::DaemonInfo, message: membership::GossipMessage) {
        let caller = self.caller.clone();
        self.spawn(async move {
            let question = message::PeerRequest::Gossip(Box::new(message));
            match caller.call(&peer, &question, "gossip").await {
                Some(message::PeerResponse::Gossip(answer)) => {
                    action::ControlInput::GossipAnswered(answer)
                }
                _ => action::ControlInput::CallFailed(peer.id),
            }
        });
    }

    /// Asks a peer for the revision that it has in force.
    pub(crate) fn ask_revision(&self, peer: gossip::DaemonInfo, question: message::PeerRequest) {
        let caller = self.caller.clone();
        self.spawn(async move {
            let answer = caller.call(&peer, &question, "revision").await;
            let delta = match answer {
                Some(message::PeerResponse::Revision(delta)) => delta,
                _ => None,
            };
            if let Some(delta) = &delta {
                let revision = delta.revision;
                log_event!(event::LogEvent::RevisionRelayed, revision = revision, peer = peer.id);
            }
            action::ControlInput::PeerSent(delta)
        });
    }

    /// Tries a daemon for a peer that did not reach it, and replies to that peer.
    pub(crate) fn probe(
        &self,
        target: gossip::DaemonInfo,
        reply: channel::Sender<message::PeerResponse>,
    ) {
        let caller = self.caller.clone();
        task::spawn(async move {
            let answer = caller.call(&target, &message::PeerRequest::InForce, "probe").await;
            let _ = reply.try_send(message::PeerResponse::Probe(answer.is_some()));
        });
    }

    /// Asks one peer whether it reaches another.
    pub(crate) fn probe_through(&self, through: gossip::DaemonInfo, target: gossip::DaemonInfo) {
        let caller = self.caller.clone();
        self.spawn(async move {
            let id = target.id.clone();
            let question = message::PeerRequest::Probe(target);
            let answer = caller.call(&through, &question, "probe").await;
            let is_reached = matches!(answer, Some(message::PeerResponse::Probe(true)));
            action::ControlInput::ProbeAnswered { target: id, is_reached }
        });
    }

    /// Asks an upstream for its state and its load.
    pub(crate) fn poll(&self, upstream: gossip::UpstreamInfo) {
        let poller = self.ports.upstreams.clone();
        let metrics = self.metrics.clone();
        self.spawn(async move {
            let answer = poller.poll(upstream.address).await;
            metrics.upstream_polls.with_label_values(&[answer_label(&answer)]).inc();
            action::ControlInput::Polled { vm: upstream.vm, answer }
        });
    }

    /// Writes the lease on the zone's duties.
    pub(crate) fn write_duty(&self, write: table::TableTransaction) {
        let table = self.ports.table.clone();
        self.spawn(
            async move { action::ControlInput::DutyWritten(table.commit(&write).await.into()) },
        );
    }

    /// Carries out a step of a plan under the fence number of the lease.
    pub(crate) fn carry_out(&self, step: capacity::CapacityStep, fence: quantity::FencingToken) {
        let ports = self.ports.clone();
        let inputs = self.inputs.clone();
        task::spawn(async move {
            if let Some(input) = executor::carry_out(ports, step, fence).await {
                send(&inputs, input);
            }
        });
    }

    fn spawn(&self, call: impl future::Future<Output = action::ControlInput> + Send + 'static) {
        let inputs = self.inputs.clone();
        task::spawn(async move { send(&inputs, call.await) });
    }
}

/// A full queue drops the input: every call is made again, and none is relied upon.
fn send(inputs: &mpsc::SyncSender<input::ThreadInput>, input: action::ControlInput) {
    let _ = inputs.try_send(input::ThreadInput::Done(input));
}

fn answer_label(answer: &gossip::PollResult) -> &'static str {
    match answer {
        gossip::PollResult::NoResponse => "silent",
        gossip::PollResult::NotReady => "not-ready",
        gossip::PollResult::Draining { .. } => "draining",
        gossip::PollResult::Ready { .. } => "ready",
    }
}
