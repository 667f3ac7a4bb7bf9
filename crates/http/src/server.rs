//! Accepts connections on a port and serves them within its limits.

use std::convert::Infallible;
use std::future::{pending, poll_fn, Future};
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::task::Poll;

use bytes::Bytes;
use futures::FutureExt;
use http::header::{HeaderValue, CONTENT_TYPE, SERVER};
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::{sleep, sleep_until, Instant};
use tokio_util::sync::CancellationToken;

use crate::body::RequestBody;
use crate::budget::BodyBudget;
use crate::connections::{ConnectionState, ConnectionTable};
use crate::limits::{LimitHit, LimitReport, PortLimits, ACCEPT_RETRY_PAUSE, MAX_HEAD_BYTES};
use crate::stream::WatchedStream;

/// The name of the server in its answers.
const SERVER_NAME: HeaderValue = HeaderValue::from_static("sandshelf");
/// The type of text in answers.
const TEXT_TYPE: HeaderValue = HeaderValue::from_static("text/plain; charset=utf-8");

/// A request whose body has not been read.
pub type HttpRequest = Request<RequestBody>;
/// An answer.
pub type HttpAnswer = Response<Full<Bytes>>;

/// Creates an answer with a body of no particular type.
pub fn plain_answer(status: StatusCode, body: impl Into<Bytes>) -> HttpAnswer {
    let mut answer = Response::new(Full::new(body.into()));
    *answer.status_mut() = status;
    answer
}

/// Creates an answer with a text.
pub fn text_answer(status: StatusCode, text: impl Into<Bytes>) -> HttpAnswer {
    let mut answer = plain_answer(status, text);
    answer.headers_mut().insert(CONTENT_TYPE, TEXT_TYPE);
    answer
}

/// Listens with bounded buffers. It has to be called within a runtime.
///
/// # Errors
/// The address can't be bound.
pub fn listen(address: SocketAddr, limits: &PortLimits) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    // Connections inherit the sizes of the buffers. A system that refuses them keeps its own.
    let _ = socket.set_recv_buffer_size(limits.buffer_bytes);
    let _ = socket.set_send_buffer_size(limits.buffer_bytes);
    socket.bind(address)?;
    socket.listen(limits.backlog)
}

/// A port to be served.
#[derive(Clone, Debug)]
pub struct HttpPort {
    /// The name in reports.
    pub name: &'static str,
    /// The address on which to listen.
    pub address: SocketAddr,
    /// The limits of the port.
    pub limits: PortLimits,
    /// The memory for bodies.
    pub bodies: BodyBudget,
    /// Called for each limit that takes effect.
    pub report: LimitReport,
}

/// A server that listens.
#[derive(Debug)]
pub struct HttpServer {
    listener: TcpListener,
    address: SocketAddr,
    port: HttpPort,
}

/// Stops a server gracefully: it accepts no more connections, closes idle ones and the others after their answer.
#[derive(Clone, Debug)]
pub struct ServerStop(CancellationToken);

impl ServerStop {
    /// Begins the stop.
    pub fn begin(&self) {
        self.0.cancel();
    }
}

/// What connections share.
struct ServerShared<H> {
    handler: H,
    bodies: BodyBudget,
    table: Arc<ConnectionTable>,
    stop: CancellationToken,
}

impl HttpServer {
    /// Listens on a port.
    ///
    /// # Errors
    /// The address can't be bound.
    pub fn bind(port: HttpPort) -> io::Result<Self> {
        let listener = listen(port.address, &port.limits)?;
        Ok(Self {
            address: listener.local_addr()?,
            listener,
            port,
        })
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Starts to serve requests in tasks of the current runtime.
    pub fn serve<H, F>(self, handler: H) -> ServerStop
    where
        H: Fn(HttpRequest) -> F + Send + Sync + 'static,
        F: Future<Output = HttpAnswer> + Send + 'static,
    {
        let HttpPort {
            name,
            limits,
            bodies,
            report,
            ..
        } = self.port;
        let stop = CancellationToken::new();
        let shared = Arc::new(ServerShared {
            handler,
            bodies,
            table: Arc::new(ConnectionTable::new(name, report, limits.max_connections)),
            stop: stop.clone(),
        });
        tokio::spawn(accept_connections(self.listener, shared));
        ServerStop(stop)
    }
}

/// Accepts connections until the server stops.
async fn accept_connections<H, F>(listener: TcpListener, shared: Arc<ServerShared<H>>)
where
    H: Fn(HttpRequest) -> F + Send + Sync + 'static,
    F: Future<Output = HttpAnswer> + Send + 'static,
{
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = shared.stop.cancelled() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                if let Some(place) = shared.table.take_place().await {
                    let state = Arc::new(ConnectionState::new(shared.table.clone(), place));
                    tokio::spawn(serve_connection(stream, state, shared.clone()));
                }
            }
            Err(_) => {
                shared.table.report(LimitHit::Accept);
                sleep(ACCEPT_RETRY_PAUSE).await;
            }
        }
    }
}

/// Serves a connection until it ends or exceeds a limit.
async fn serve_connection<H, F>(
    stream: TcpStream,
    state: Arc<ConnectionState>,
    shared: Arc<ServerShared<H>>,
) where
    H: Fn(HttpRequest) -> F + Send + Sync + 'static,
    F: Future<Output = HttpAnswer> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    // The buffers of a connection are only allocated once it is used.
    tokio::select! {
        ready = stream.readable() => if ready.is_err() { return },
        () = state.replaced() => return,
        () = shared.stop.cancelled() => return,
    }
    let service = service_fn(|request| answer(request, state.clone(), shared.clone()));
    let io = TokioIo::new(WatchedStream::new(stream, state.clone()));
    let mut connection = pin!(http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        // Its limit for heads would also close idle connections; the state of the connection has one that doesn't.
        .header_read_timeout(None)
        .serve_connection(io, service));
    let mut replaced = pin!(state.replaced());
    let mut stopped = pin!(shared.stop.cancelled().fuse());
    let mut timer = pin!(sleep_until(Instant::now()));
    let hit = poll_fn(|context| {
        if replaced.as_mut().poll(context).is_ready() {
            return Poll::Ready(None);
        }
        if stopped.as_mut().poll(context).is_ready() {
            connection.as_mut().graceful_shutdown();
        }
        if let Poll::Ready(end) = connection.as_mut().poll(context) {
            let too_large = end.is_err_and(|error| error.is_parse_too_large());
            return Poll::Ready(too_large.then_some(LimitHit::HeadSize));
        }
        if let Some((hit, deadline)) = state.deadline() {
            if timer.deadline() != deadline {
                timer.as_mut().reset(deadline);
            }
            if timer.as_mut().poll(context).is_ready() {
                return Poll::Ready(Some(hit));
            }
        }
        Poll::Pending
    });
    if let Some(hit) = hit.await {
        state.report(hit);
    }
}

/// A request's task. It runs to its end even if the client leaves, unless the request is still incomplete; the connection keeps its place
/// until then.
struct RequestTask {
    task: JoinHandle<HttpAnswer>,
    state: Arc<ConnectionState>,
}

impl Drop for RequestTask {
    fn drop(&mut self) {
        if !self.state.is_answering() {
            self.task.abort();
        }
    }
}

/// Has a request answered.
async fn answer<H, F>(
    request: Request<Incoming>,
    state: Arc<ConnectionState>,
    shared: Arc<ServerShared<H>>,
) -> Result<HttpAnswer, Infallible>
where
    H: Fn(HttpRequest) -> F,
    F: Future<Output = HttpAnswer> + Send + 'static,
{
    // The connection's task is woken when the client takes the answer.
    poll_fn(|_| match state.is_blocked() {
        true => Poll::Pending,
        false => Poll::Ready(()),
    })
    .await;
    state.begin_request();
    let (head, incoming) = request.into_parts();
    if incoming.is_end_stream() && !state.begin_answer() {
        return pending().await;
    }
    let body = RequestBody::new(incoming, shared.bodies.clone(), state.clone());
    let handled = (shared.handler)(Request::from_parts(head, body));
    let held = state.clone();
    let mut running = RequestTask {
        task: tokio::spawn(async move {
            let answer = handled.await;
            drop(held);
            answer
        }),
        state,
    };
    let handled = (&mut running.task).await;
    let mut answer = handled
        .unwrap_or_else(|_| text_answer(StatusCode::INTERNAL_SERVER_ERROR, "the server failed\n"));
    answer.headers_mut().entry(SERVER).or_insert(SERVER_NAME);
    running.state.begin_answer();
    running.state.end_request();
    Ok(answer)
}
