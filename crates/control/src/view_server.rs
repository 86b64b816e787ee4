//! Answers the entry daemon of the VM from the last view.
//!
//! It is told what changed since the view that it has, where that is one of the last ones that were
//! handed over.

use std::collections;
use std::sync;
use std::sync::atomic;

use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_peers::server;
use samphiremoor_view::delta;
use samphiremoor_view::message;
use samphiremoor_view::zone;

/// An entry daemon that has not asked for this long does not count as serving.
const ENTRY_SILENCE: time::Millis = time::Millis::new(2_000);

/// Views that were handed over and are kept to make changes from.
const MAX_BASES: usize = 4;

/// The last view, and what the entry daemon has of it.
#[derive(Debug)]
pub struct ViewBoard {
    clock: time::MonotonicClock,
    shown: arc_swap::ArcSwapOption<zone::ZoneView>,
    bases: sync::Mutex<collections::VecDeque<sync::Arc<zone::ZoneView>>>,
    asked_at: atomic::AtomicU64,
    served_revision: atomic::AtomicU64,
}

impl ViewBoard {
    /// A board without a view.
    pub fn new(clock: time::MonotonicClock) -> Self {
        ViewBoard {
            clock,
            shown: arc_swap::ArcSwapOption::empty(),
            bases: sync::Mutex::default(),
            asked_at: atomic::AtomicU64::new(0),
            served_revision: atomic::AtomicU64::new(0),
        }
    }

    /// Shows a view.
    pub fn show(&self, view: zone::ZoneView) {
        self.shown.store(Some(sync::Arc::new(view)));
    }

    /// The last view.
    pub fn shown(&self) -> Option<sync::Arc<zone::ZoneView>> {
        self.shown.load_full()
    }

    /// The revision by which the VM serves: that of the entry daemon where it asks, else `own`.
    pub fn serving(&self, own: quantity::RevisionNumber) -> quantity::RevisionNumber {
        let asked_at = time::MonotonicTime::new(self.asked_at.load(atomic::Ordering::Relaxed));
        let has_asked = asked_at != time::MonotonicTime::default();
        if !has_asked || self.clock.now().since(asked_at) > ENTRY_SILENCE {
            return own;
        }
        let served = self.served_revision.load(atomic::Ordering::Relaxed);
        own.min(quantity::RevisionNumber::new(served))
    }

    fn answer(&self, question: &message::ViewQuestion) -> message::ViewAnswer {
        let (message::ViewQuestion::View { incarnation, serial }
        | message::ViewQuestion::Since { incarnation, serial }) = question;
        let Some(view) = self.shown.load_full() else { return message::ViewAnswer::NotReady };
        self.asked_at.store(self.clock.now().get().max(1), atomic::Ordering::Relaxed);
        let base = self.base(*incarnation, *serial);
        // It asks by the view that it serves by, also where a newer one is shown at each question.
        if let Some(base) = &base {
            let revision = base.records.revision.get();
            self.served_revision.store(revision, atomic::Ordering::Relaxed);
        }
        if view.incarnation == *incarnation && view.serial == *serial {
            return message::ViewAnswer::Same;
        }
        let base = match question {
            message::ViewQuestion::View { .. } => None,
            message::ViewQuestion::Since { .. } => base,
        };
        self.keep_base(&view);
        match base.and_then(|base| delta::ViewDelta::between(&base, &view)) {
            Some(delta) => message::ViewAnswer::Delta(Box::new(delta)),
            None => message::ViewAnswer::Changed(Box::new(zone::ZoneView::clone(&view))),
        }
    }

    fn base(
        &self,
        incarnation: quantity::Incarnation,
        serial: u64,
    ) -> Option<sync::Arc<zone::ZoneView>> {
        let bases = self.bases();
        let mut bases = bases.iter();
        bases.find(|base| base.incarnation == incarnation && base.serial == serial).cloned()
    }

    fn keep_base(&self, view: &sync::Arc<zone::ZoneView>) {
        let mut bases = self.bases();
        if bases.iter().any(|base| sync::Arc::ptr_eq(base, view)) {
            return;
        }
        bases.truncate(MAX_BASES - 1);
        bases.push_front(view.clone());
    }

    fn bases(&self) -> sync::MutexGuard<'_, collections::VecDeque<sync::Arc<zone::ZoneView>>> {
        self.bases.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Answers view questions.
#[derive(Debug)]
pub struct ViewServer {
    board: sync::Arc<ViewBoard>,
}

impl ViewServer {
    /// A server of the board's views.
    pub fn new(board: sync::Arc<ViewBoard>) -> Self {
        ViewServer { board }
    }
}

impl server::PeerHandler for ViewServer {
    type Question = message::ViewQuestion;
    type Answer = message::ViewAnswer;

    fn answer(&self, question: message::ViewQuestion) -> server::AnswerFuture<message::ViewAnswer> {
        let answer = self.board.answer(&question);
        Box::pin(async move { answer })
    }
}
