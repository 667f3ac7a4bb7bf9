//! Sends calls to workers, with a limit on concurrent orders to each worker.

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

/// The most concurrent orders to one worker, apart from a lease renewal. A worker accepts 64 connections from all hosts together, and
/// those of a host that lost power stay open there for a while.
const MAX_CONCURRENT_ORDERS: usize = 3;

/// The longest time that an order may be queued here. It is not sent after that: a start would come too late, and a worker that has
/// restarted meanwhile can't tell that the order is old.
const MAX_QUEUE_TIME: Duration = Duration::from_millis(1_000);

/// Sends calls to workers; orders to a worker beyond [`MAX_CONCURRENT_ORDERS`] are queued.
pub struct WorkerCalls {
    client: WorkerClient,
    permits: HashMap<WorkerId, Arc<Semaphore>>,
}

impl WorkerCalls {
    /// Creates the calls over a client.
    pub fn new(client: WorkerClient) -> Self {
        Self {
            client,
            permits: HashMap::new(),
        }
    }

    /// Sends a call; the future returns the event for its answer.
    pub fn send(
        &mut self,
        worker: WorkerId,
        address: SocketAddr,
        call: WorkerCall,
    ) -> impl Future<Output = JobEvent> + 'static {
        let new_semaphore = || Arc::new(Semaphore::new(MAX_CONCURRENT_ORDERS));
        let permits = self
            .permits
            .entry(worker.clone())
            .or_insert_with(new_semaphore)
            .clone();
        let client = self.client.clone();
        async move {
            // A lease renewal may wait at the worker for the end of a run, so it takes no permit and has a connection of its own.
            let queued_at = SteadyInstant::now();
            let _permit = match call {
                WorkerCall::Renew(_) => None,
                _ => permits.acquire().await.ok(),
            };
            let sent_at = SteadyInstant::now();
            if queued_at.elapsed() > MAX_QUEUE_TIME {
                return not_sent(worker, &call);
            }
            let answered = call_worker(&client, worker, address, &call).await;
            meters::record_order(&answered, sent_at.elapsed());
            answered
        }
    }
}

/// The event for a call that was not sent.
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

async fn call_worker(
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
        WorkerCall::Renew(renewal) => {
            let answer = client.renew(&worker, address, renewal).await;
            JobEvent::RenewalAnswered(worker, answer)
        }
    }
}
