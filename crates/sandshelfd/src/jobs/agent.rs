//! Relays orders to workers for the host that owns the shard.

use std::cell::{Cell, RefCell};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use sandshelf_adapter::WorkerClient;
use sandshelf_config::JobSettings;
use sandshelf_jobs::relay::{
    decode_message, encode_handshake, encode_message, OwnerNotice, RelayAgent, RelayFault,
    RelayHandshake, RelayMessage, RelayedAnswer, RelayedOrder, ShardObservation,
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
/// The pause before the next connection to an owner that has been heard on the last one.
const RECONNECT_PAUSE: Duration = Duration::from_millis(30);
/// The silence timeout of an owner that has sent orders; it sends two heartbeats a second.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The silence timeout of an owner that has sent no orders yet; it sends a heartbeat every two seconds.
const IDLE_SILENCE_TIMEOUT: Duration = Duration::from_millis(6_000);
/// How long orders may still arrive after this host has announced that it leaves: a round trip between halls and the owner's processing.
const LAST_ORDERS_WAIT: Duration = Duration::from_millis(50);
/// How long answers are collected into one message. A message takes 40 us to send and receive however many answers it has, and an owner
/// handles received messages only every few milliseconds.
const ANSWER_COLLECTION_TIME: Duration = Duration::from_millis(4);

/// What the connection to the owner tells the control thread.
#[derive(Debug)]
pub enum AgentEvent {
    /// The owner can't renew its ownership, and asks what this host knows of the shard.
    ShardQuery(oneshot::Sender<ShardObservation>),
    /// The owner has renewed its ownership.
    OwnerRenewed(OwnerNotice),
    /// The owner of this epoch was heard here before, and nobody listens at its address any more: its process has ended.
    OwnerEnded(Epoch),
}

/// Passes events to the control thread.
pub type AgentEvents = UnboundedSender<AgentEvent>;

/// How a connection to the owner ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SessionEnd {
    /// Nobody listens at the owner's address.
    Refused,
    /// The owner was not reached, or was not heard.
    Unheard,
    /// The connection ended after the owner was heard on it.
    Heard,
}

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
    events: AgentEvents,
    stopping: watch::Receiver<bool>,
) {
    // The owner that was heard last. Its listener was open then, and stays open until its process ends.
    let mut heard: Option<OwnerEndpoint> = None;
    while !*stopping.borrow() {
        let current = endpoint_changes.borrow_and_update().clone();
        let serve = async {
            match &current {
                Some(owner) => {
                    let client = client.for_epoch(owner.epoch);
                    let end =
                        serve_owner(&settings, owner, client, &events, stopping.clone()).await;
                    match end {
                        SessionEnd::Heard => {
                            heard = Some(owner.clone());
                            sleep(RECONNECT_PAUSE).await;
                        }
                        SessionEnd::Refused if heard.as_ref() == Some(owner) => {
                            let _ = events.send(AgentEvent::OwnerEnded(owner.epoch));
                            sleep(RETRY_PAUSE).await;
                        }
                        SessionEnd::Refused | SessionEnd::Unheard => sleep(RETRY_PAUSE).await,
                    }
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
    events: &AgentEvents,
    stopping: watch::Receiver<bool>,
) -> SessionEnd {
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(owner.address)).await;
    let stream = match connected {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
            return SessionEnd::Refused
        }
        Ok(Err(_)) | Err(_) => return SessionEnd::Unheard,
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
        return SessionEnd::Unheard;
    }
    let (outbox, outgoing) = unbounded_channel();
    let session = OwnerSession {
        agent: Rc::new(RefCell::new(RelayAgent::new(owner.epoch))),
        calls: RefCell::new(WorkerCalls::new(client)),
        answered: Rc::new(Notify::new()),
        heard: Cell::new(false),
        events,
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
    match session.heard.get() {
        true => SessionEnd::Heard,
        false => SessionEnd::Unheard,
    }
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
    /// Whether the owner has sent a message of its epoch.
    heard: Cell<bool>,
    events: &'a AgentEvents,
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
            let handled = match decode_message(&frame) {
                Ok(RelayMessage::ShardQuery(epoch, number)) => {
                    self.answer_query(epoch, number, outbox).await
                }
                Ok(RelayMessage::Renewed(notice)) => self.pass_notice(notice),
                Ok(message) => self.take_orders(message, outbox).map(|has_orders| {
                    if has_orders {
                        silence_timeout = SILENCE_TIMEOUT;
                    }
                }),
                Err(fault) => Err(fault),
            };
            if let Err(fault) = handled {
                event("relay_refused", &[("link", &"owner"), ("fault", &fault)]);
                return "a message was refused";
            }
            self.heard.set(true);
        }
    }

    /// Carries out the orders in a message; a message without orders is answered at once. Returns whether there were orders.
    ///
    /// # Errors
    /// The message is of another epoch, or not for a relay.
    fn take_orders(
        &self,
        message: RelayMessage,
        outbox: &UnboundedSender<Bytes>,
    ) -> Result<bool, RelayFault> {
        let orders = self
            .agent
            .borrow_mut()
            .handle_message(clock::now(), message)?;
        let has_orders = !orders.is_empty();
        if !has_orders {
            let heartbeat = self.agent.borrow().heartbeat();
            let _ = outbox.send(encode_message(&heartbeat).into());
        }
        orders.into_iter().for_each(|order| self.carry_out(order));
        Ok(has_orders)
    }

    /// Passes the owner's notice to the control thread.
    ///
    /// # Errors
    /// The notice is of another epoch.
    fn pass_notice(&self, notice: OwnerNotice) -> Result<(), RelayFault> {
        self.agent.borrow().check_notice(&notice)?;
        let _ = self.events.send(AgentEvent::OwnerRenewed(notice));
        Ok(())
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
        let _ = self.events.send(AgentEvent::ShardQuery(reply));
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
