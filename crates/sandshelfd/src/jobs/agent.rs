//! Relays orders to workers for the host that owns the shard.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use sandshelf_adapter::WorkerClient;
use sandshelf_config::JobSettings;
use sandshelf_jobs::relay::{
    decode_message, encode_handshake, encode_message, RelayAgent, RelayFault, RelayHandshake,
    RelayMessage, RelayedAnswer, RelayedOrder, ShardObservation,
};
use sandshelf_jobs::WorkerCall;
use sandshelf_model::{Epoch, HostId};
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::TcpStream;
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};
use tokio::sync::{oneshot, watch, Notify};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

use crate::clock;
use crate::jobs::calls::WorkerCalls;
use crate::jobs::relays::{framing, write_frames};
use crate::logging::event;

/// The timeout for connecting to the owner.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// The pause before the next connection to an owner, which may not have read its state yet.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// The silence timeout of an owner that has sent orders; it sends two heartbeats a second.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The silence timeout of an owner that has sent no orders yet; it sends a heartbeat every two seconds.
const IDLE_SILENCE_TIMEOUT: Duration = Duration::from_millis(6_000);
/// How long orders may still arrive after this host has announced that it leaves: a round trip between halls and the owner's processing.
const LAST_ORDERS_WAIT: Duration = Duration::from_millis(50);
/// How long answers are collected into one message. A message takes 40 us to send and receive however many answers it has, and an owner
/// handles received messages only every few milliseconds.
const ANSWER_COLLECTION_TIME: Duration = Duration::from_millis(4);

/// Requests from the control thread what this host knows of the shard.
pub type ObservationRequests = UnboundedSender<oneshot::Sender<ShardObservation>>;

/// The address at which the owner of an epoch accepts relays.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnerEndpoint {
    /// The owner.
    pub owner: HostId,
    /// Its epoch.
    pub epoch: Epoch,
    /// The address at which it listens.
    pub address: SocketAddr,
}

/// Relays orders for the current owner of the shard until a planned stop. It has to run within a `LocalSet`.
pub async fn run_agent(
    settings: JobSettings,
    client: WorkerClient,
    mut endpoint_changes: watch::Receiver<Option<OwnerEndpoint>>,
    shard_queries: ObservationRequests,
    stopping: watch::Receiver<bool>,
) {
    while !*stopping.borrow() {
        let current = endpoint_changes.borrow_and_update().clone();
        let serve = async {
            match &current {
                Some(owner) => {
                    let client = client.for_epoch(owner.epoch);
                    serve_owner(&settings, owner, client, &shard_queries, stopping.clone()).await;
                    sleep(RETRY_PAUSE).await;
                    true
                }
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            _ = serve => {}
            changed = endpoint_changes.changed() => if changed.is_err() {
                return;
            },
            () = stop_requested(stopping.clone()), if current.is_none() => {}
        }
    }
}

/// Relays orders of one owner until the connection ends.
async fn serve_owner(
    settings: &JobSettings,
    owner: &OwnerEndpoint,
    client: WorkerClient,
    shard_queries: &ObservationRequests,
    stopping: watch::Receiver<bool>,
) {
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(owner.address)).await;
    let Ok(Ok(stream)) = connected else {
        return;
    };
    let _ = stream.set_nodelay(true);
    let (read, write) = stream.into_split();
    let mut frames = FramedRead::new(read, framing());
    let mut handshake_writer = FramedWrite::new(write, framing());
    let handshake = RelayHandshake::new(
        HostId::from(settings.host.as_str()),
        settings.hall.clone(),
        settings.processor_millicores,
    );
    let handshake_sent = handshake_writer.send(Bytes::from(encode_handshake(&handshake)));
    if handshake_sent.await.is_err() {
        return;
    }
    let (outbox, outgoing) = unbounded_channel();
    let session = OwnerSession {
        agent: Rc::new(RefCell::new(RelayAgent::new(owner.epoch))),
        calls: RefCell::new(WorkerCalls::new(client)),
        answered: Rc::new(Notify::new()),
        shard_queries,
    };
    event(
        "relay_serves",
        &[("owner", &owner.owner), ("epoch", &owner.epoch)],
    );
    let cause = tokio::select! {
        cause = session.read_orders(&mut frames, &outbox) => cause,
        () = session.send_answers(&outbox) => "nothing more to tell",
        () = session.leave(&outbox, stopping) => "stop",
        () = write_frames(handshake_writer.into_inner(), outgoing) => "the connection broke",
    };
    event(
        "relay_ended",
        &[
            ("owner", &owner.owner),
            ("epoch", &owner.epoch),
            ("cause", &cause),
        ],
    );
}

/// Waits for a planned stop.
async fn stop_requested(mut stopping: watch::Receiver<bool>) {
    // An error means that the sender is gone: the process is about to end.
    let _ = stopping.wait_for(|stop| *stop).await;
}

/// The connection to one owner, with the orders that are being carried out for it.
struct OwnerSession<'a> {
    agent: Rc<RefCell<RelayAgent>>,
    calls: RefCell<WorkerCalls>,
    answered: Rc<Notify>,
    shard_queries: &'a ObservationRequests,
}

impl OwnerSession<'_> {
    /// Handles the owner's messages until the connection ends, the owner is silent or a message is refused; returns the cause.
    async fn read_orders(
        &self,
        frames: &mut FramedRead<OwnedReadHalf, LengthDelimitedCodec>,
        outbox: &UnboundedSender<Bytes>,
    ) -> &'static str {
        let mut silence_timeout = IDLE_SILENCE_TIMEOUT;
        loop {
            let frame = match timeout(silence_timeout, frames.next()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(_) => return "the connection ended",
                Err(_) => return "the owner is silent",
            };
            let message = match decode_message(&frame) {
                Ok(RelayMessage::ShardQuery(epoch, number)) => {
                    if let Err(fault) = self.answer_query(epoch, number, outbox).await {
                        event("relay_refused", &[("link", &"owner"), ("fault", &fault)]);
                        return "a message was refused";
                    }
                    continue;
                }
                other => other,
            };
            let now = clock::now();
            let orders =
                message.and_then(|message| self.agent.borrow_mut().handle_message(now, message));
            match orders {
                Ok(orders) if orders.is_empty() => {
                    let heartbeat = self.agent.borrow().heartbeat();
                    let _ = outbox.send(encode_message(&heartbeat).into());
                }
                Ok(orders) => {
                    silence_timeout = SILENCE_TIMEOUT;
                    orders.into_iter().for_each(|order| self.carry_out(order));
                }
                Err(fault) => {
                    event("relay_refused", &[("link", &"owner"), ("fault", &fault)]);
                    return "a message was refused";
                }
            }
        }
    }

    /// Sends the owner what this host knows of the shard.
    ///
    /// # Errors
    /// The query is of another epoch.
    async fn answer_query(
        &self,
        epoch: Epoch,
        number: u64,
        outbox: &UnboundedSender<Bytes>,
    ) -> Result<(), RelayFault> {
        let (reply, observation) = oneshot::channel();
        let _ = self.shard_queries.send(reply);
        // Without a control thread this host is about to stop, and sends no answer.
        let Ok(observation) = observation.await else {
            return Ok(());
        };
        let shard_reply = self
            .agent
            .borrow()
            .answer_query(epoch, number, observation)?;
        let _ = outbox.send(encode_message(&shard_reply).into());
        Ok(())
    }

    fn carry_out(&self, order: RelayedOrder) {
        let started_at = clock::now();
        let requested_wait_ms = match &order.call {
            WorkerCall::Renew(renewal) => renewal.wait_ms,
            WorkerCall::Start(_) | WorkerCall::Stop(_) | WorkerCall::Pace(..) => 0,
        };
        let mut calls = self.calls.borrow_mut();
        let sent = calls.send(order.worker, order.address, order.call);
        let agent = self.agent.clone();
        let answered = self.answered.clone();
        spawn_local(async move {
            if let Some(mut answer) = RelayedAnswer::of(sent.await) {
                let took_ms = clock::now().saturating_sub(started_at);
                answer.note_carrier_delay(took_ms.saturating_sub(requested_wait_ms));
                agent.borrow_mut().finish(order.number, answer);
                answered.notify_one();
            }
        });
    }

    /// Waits for a planned stop, then announces to the owner that this host leaves, and returns once the open orders are answered.
    async fn leave(&self, outbox: &UnboundedSender<Bytes>, stopping: watch::Receiver<bool>) {
        stop_requested(stopping).await;
        let leave = self.agent.borrow().leave();
        let _ = outbox.send(encode_message(&leave).into());
        sleep(LAST_ORDERS_WAIT).await;
        while self.agent.borrow().open_orders() > 0 {
            sleep(ANSWER_COLLECTION_TIME).await;
        }
        sleep(ANSWER_COLLECTION_TIME).await;
    }

    /// Sends answers to the owner, collected for a short time after the first of each message.
    async fn send_answers(&self, outbox: &UnboundedSender<Bytes>) {
        loop {
            self.answered.notified().await;
            sleep(ANSWER_COLLECTION_TIME).await;
            let answers = self.agent.borrow_mut().take_answers();
            if let Some(answers) = answers {
                let _ = outbox.send(encode_message(&answers).into());
            }
        }
    }
}
