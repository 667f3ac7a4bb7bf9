//! The router shared by the traffic threads: the sans-I/O core behind a lock, and a channel of actions for each request.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

use sandshelf_route::{RouteAction, RouteCore, RouteEvent};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};

use crate::clock;

struct RouterState {
    core: RouteCore,
    mailboxes: HashMap<u64, UnboundedSender<RouteAction>>,
}

/// The router of one entry host; may be shared between threads.
pub struct HostRouter {
    state: Mutex<RouterState>,
    next_request: AtomicU64,
}

impl HostRouter {
    /// Creates a router around a core, without any open request.
    pub fn new(core: RouteCore) -> Self {
        Self {
            state: Mutex::new(RouterState {
                core,
                mailboxes: HashMap::new(),
            }),
            next_request: AtomicU64::new(1),
        }
    }

    /// Returns a new request number, unique in this process.
    pub fn next_request(&self) -> u64 {
        self.next_request.fetch_add(1, Ordering::Relaxed)
    }

    /// Opens the mailbox of a request, on which it receives its actions.
    pub fn open(&self, request: u64) -> UnboundedReceiver<RouteAction> {
        let (sender, receiver) = unbounded_channel();
        self.lock().mailboxes.insert(request, sender);
        receiver
    }

    /// Closes the mailbox of a request.
    pub fn close(&self, request: u64) {
        self.lock().mailboxes.remove(&request);
    }

    /// Passes an event to the core and sends each resulting action to its request's mailbox.
    ///
    /// An action for a request without a mailbox is dropped.
    pub fn handle(&self, event: RouteEvent) {
        let mut state = self.lock();
        let actions = state.core.handle(clock::now(), event);
        for action in actions {
            let request = match &action {
                RouteAction::Dispatch { request, .. }
                | RouteAction::Deliver { request }
                | RouteAction::GiveUp { request, .. } => *request,
            };
            if let Some(mailbox) = state.mailboxes.get(&request) {
                let _ = mailbox.send(action);
            }
        }
    }

    /// Calls `inspect` with the core and returns its result; the router is locked meanwhile.
    pub fn inspect<T>(&self, inspect: impl FnOnce(&RouteCore) -> T) -> T {
        inspect(&self.lock().core)
    }

    /// The number of requests with an open mailbox, those without a final answer.
    pub fn open_requests(&self) -> usize {
        self.lock().mailboxes.len()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, RouterState> {
        self.state
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
