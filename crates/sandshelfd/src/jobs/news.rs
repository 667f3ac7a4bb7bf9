//! What the owner tells the other hosts with each renewal of its ownership.

use std::sync::Arc;
use std::time::Duration;

use sandshelf_jobs::admission::{HeardView, LoadView};
use sandshelf_jobs::relay::OwnerNotice;
use sandshelf_jobs::QueueAddress;
use sandshelf_model::Millis;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::clock;

/// How long after the owner was heard its news count: more than three intervals between renewals.
const FRESH_MS: Millis = 1_500;
/// How long the operators' rows may take to arrive here after the owner has told of their change.
const ARRIVAL_TIME: Duration = Duration::from_millis(150);
/// A store that takes at most this long for a renewal, in milliseconds, answers as usual.
const USUAL_WRITE_MS: Millis = 100;

/// The newest news of the owner, and when they were heard.
#[derive(Clone, Debug, Default)]
pub struct OwnerNews {
    heard_at: Option<Millis>,
    operator_version: u64,
    store_took_ms: Millis,
    pending: Option<Arc<[(QueueAddress, u64)]>>,
    /// When an owner last told its load or that it publishes none.
    load_heard_at: Option<Millis>,
    load: Option<Arc<LoadView>>,
}

impl OwnerNews {
    /// The news in a notice that was heard at `now`.
    pub fn new(now: Millis, notice: &OwnerNotice) -> Self {
        Self {
            heard_at: Some(now),
            operator_version: notice.operator_version,
            store_took_ms: notice.store_took_ms,
            pending: notice.pending.as_deref().map(Arc::from),
            load_heard_at: Some(now),
            load: notice.load.clone().map(Arc::new),
        }
    }

    /// Replaces the load by what this host as owner has measured at `now`.
    pub fn set_load(&mut self, now: Millis, load: Option<&LoadView>) {
        self.load_heard_at = Some(now);
        self.load = load.cloned().map(Arc::new);
    }

    /// Whether an owner told a moment ago which load it publishes, if any.
    pub fn load_is_known(&self, now: Millis) -> bool {
        self.load_heard_at.is_some_and(|at| now < at + FRESH_MS)
    }

    /// The newest load that an owner told, with its age; none if the newest notice had none.
    pub fn load(&self, now: Millis) -> Option<HeardView<'_>> {
        let view = self.load.as_deref()?;
        Some(HeardView {
            view,
            age_ms: now.saturating_sub(self.load_heard_at?),
            newest_epoch: view.epoch,
        })
    }

    /// Whether the owner was heard a moment ago.
    pub fn are_fresh(&self, now: Millis) -> bool {
        self.heard_at.is_some_and(|at| now < at + FRESH_MS)
    }

    /// Whether the store answers the owner as fast as usual, by fresh news.
    pub fn store_is_usual(&self, now: Millis) -> bool {
        self.are_fresh(now) && self.store_took_ms <= USUAL_WRITE_MS
    }

    /// The number of waiting jobs of a queue; none if the news are old or don't tell it.
    pub fn pending(&self, now: Millis, queue: &QueueAddress) -> Option<u64> {
        let counts = self.pending.as_ref().filter(|_| self.are_fresh(now))?;
        let told = counts.iter().find(|(address, _)| address == queue);
        Some(told.map_or(0, |(_, count)| *count))
    }

    fn expires_at(&self) -> Millis {
        self.heard_at.map_or(0, |at| at + FRESH_MS)
    }
}

/// Waits until the operators' rows, known here up to a version, should be asked for with a call of their own: the owner knows a newer change
/// that has not arrived, or it isn't heard any more.
pub async fn wait_for_reason(news: &mut watch::Receiver<OwnerNews>, known_version: u64) {
    loop {
        let (operator_version, expires_at) = {
            let current = news.borrow_and_update();
            (current.operator_version, current.expires_at())
        };
        if operator_version > known_version {
            return sleep(ARRIVAL_TIME).await;
        }
        let expired = sleep(clock::until(expires_at));
        tokio::select! {
            () = expired => return,
            changed = news.changed() => if changed.is_err() {
                return std::future::pending().await;
            },
        }
    }
}
