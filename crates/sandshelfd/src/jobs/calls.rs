//! Orders on their way to workers.

use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sandshelf_adapter::WorkerClient;
use sandshelf_jobs::{JobEvent, OrderAnswer, RenewalAnswer, WorkerCall};
use sandshelf_model::WorkerId;
use tokio::sync::Semaphore;

use crate::clock::SteadyInstant;
use crate::jobs::meters;

/// How many orders, beside a hold, are under way to one worker: it takes 64 connections from all hosts together, and
/// those of a host that lost power stay open there for a while.
const ORDERS_AT_ONCE: usize = 3;

/// An order that has waited for its turn for longer is not sent: to start a run it would come too late, and a worker that has started again
/// meanwhile can't know that.
const WAITS_AT_MOST: Duration = Duration::from_millis(1_000);

/// Sends orders; to one worker, those beyond a few at once wait their turn.
pub struct WorkerCalls {
    client: WorkerClient,
    turns: HashMap<WorkerId, Arc<Semaphore>>,
}

impl WorkerCalls {
    /// Sends through a client.
    pub fn new(client: WorkerClient) -> Self {
        Self {
            client,
            turns: HashMap::new(),
        }
    }

    /// Sends an order; the future ends with what became of it.
    pub fn send(
        &mut self,
        worker: WorkerId,
        address: SocketAddr,
        call: WorkerCall,
    ) -> impl Future<Output = JobEvent> + 'static {
        let fresh = || Arc::new(Semaphore::new(ORDERS_AT_ONCE));
        let turns = self
            .turns
            .entry(worker.clone())
            .or_insert_with(fresh)
            .clone();
        let client = self.client.clone();
        async move {
            // A hold may wait for an end, so that it has a connection of its own.
            let queued = SteadyInstant::now();
            let _turn = match call {
                WorkerCall::Renew(_) => None,
                _ => turns.acquire().await.ok(),
            };
            let began = SteadyInstant::now();
            if queued.elapsed() > WAITS_AT_MOST {
                return not_sent(worker, &call);
            }
            let answered = answer_of(&client, worker, address, &call).await;
            meters::note_order(&answered, began.elapsed());
            answered
        }
    }
}

/// What is told of an order that was not sent.
fn not_sent(worker: WorkerId, call: &WorkerCall) -> JobEvent {
    match call {
        WorkerCall::Start(start) => {
            JobEvent::StartAnswered(worker, start.key, OrderAnswer::NotSent)
        }
        WorkerCall::Stop(key) => JobEvent::StopAnswered(worker, *key, OrderAnswer::NotSent),
        WorkerCall::Pace(key, _) => JobEvent::PaceAnswered(worker, *key, OrderAnswer::NotSent),
        WorkerCall::Renew(_) => {
            JobEvent::RenewalAnswered(worker, RenewalAnswer::Failed(OrderAnswer::NotSent))
        }
    }
}

async fn answer_of(
    client: &WorkerClient,
    worker: WorkerId,
    address: SocketAddr,
    call: &WorkerCall,
) -> JobEvent {
    match call {
        WorkerCall::Start(start) => {
            let answer = client.start(&worker, address, start).await;
            JobEvent::StartAnswered(worker, start.key, answer)
        }
        WorkerCall::Stop(key) => {
            let answer = client.stop(&worker, address, key).await;
            JobEvent::StopAnswered(worker, *key, answer)
        }
        WorkerCall::Pace(key, percent) => {
            let answer = client.pace(&worker, address, key, *percent).await;
            JobEvent::PaceAnswered(worker, *key, answer)
        }
        WorkerCall::Renew(hold) => {
            let answer = client.renew(&worker, address, hold).await;
            JobEvent::RenewalAnswered(worker, answer)
        }
    }
}
