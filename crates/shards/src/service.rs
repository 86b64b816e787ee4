//! The service that the entry daemon calls.

use std::sync;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::reason;
use samphiremoor_base::time;
use samphiremoor_peers::server;
use samphiremoor_platform::table;

use crate::call;
use crate::message;
use crate::peer;
use crate::settings;

/// What the service is built from.
pub struct ShardParts {
    /// This daemon.
    pub daemon: id::DaemonId,
    /// Number of this daemon's life; differs after each restart.
    pub incarnation: quantity::Incarnation,
    /// This daemon's availability zone.
    pub zone: id::ZoneId,
    /// Settings.
    pub settings: settings::ShardSettings,
    /// The platform's table.
    pub table: sync::Arc<dyn table::TableStore>,
    /// Runs the calls.
    pub runner: sync::Arc<dyn call::CallRunner>,
    /// Gives the other daemons.
    pub directory: sync::Arc<dyn peer::PeerDirectory>,
    /// Talks to the other daemons.
    pub transport: sync::Arc<dyn peer::PeerTransport>,
}

/// Runs calls that may not be repeated; cheap to clone.
#[derive(Clone)]
pub struct ShardService {
    parts: sync::Arc<ShardParts>,
}

impl ShardService {
    /// Starts the thread that holds leases and claims, and registers the metrics.
    ///
    /// # Errors
    ///
    /// Fails where the registry has metrics of the same names already.
    pub fn start(
        parts: ShardParts,
        registry: &prometheus::Registry,
    ) -> Result<ShardService, prometheus::Error> {
        let _ = registry;
        Ok(ShardService { parts: sync::Arc::new(parts) })
    }

    /// Runs the call at most once over all daemons, or gives the answer of an earlier send.
    pub async fn submit(&self, call: call::OnceCall) -> call::OnceAnswer {
        let _ = (call, &self.parts);
        call::OnceAnswer::NotRun {
            reason: reason::RefusalReason::ShardUnavailable,
            retry_after: Some(time::Millis::new(1_000)),
        }
    }

    /// Answers a question of another daemon.
    pub fn answer(
        &self,
        question: message::ShardQuestion,
    ) -> server::AnswerFuture<message::ShardAnswer> {
        Box::pin(async move {
            match question {
                message::ShardQuestion::Ping => message::ShardAnswer::Pong,
                message::ShardQuestion::Submit { .. } => message::ShardAnswer::NotHolder,
            }
        })
    }

    /// Finishes what runs and gives the shards away, within `limit`.
    pub async fn stop(&self, limit: time::Millis) {
        let _ = limit;
    }
}
