//! Tests the limits of the server over real connections.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use http::StatusCode;
use sandshelf_cases::cases;
use sandshelf_http::{
    plain_answer, BodyBudget, BodyFault, BodyLimit, HttpAnswer, HttpPort, HttpRequest, HttpServer,
    LimitHit, PortLimits, PortShare, ProcessLimits, ServerStop,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

/// The largest body that the test server takes, in bytes.
const MAX_BODY_BYTES: u64 = 64 * 1024;
/// The time limit of the test server for a body.
const BODY_TIME: Duration = Duration::from_millis(1_000);
/// How long a test waits for an answer or the end of a connection at most.
const PATIENCE: Duration = Duration::from_secs(15);

static HEADS_TOO_LARGE: AtomicUsize = AtomicUsize::new(0);

fn count_hit(_: &'static str, hit: LimitHit) {
    if hit == LimitHit::HeadSize {
        HEADS_TOO_LARGE.fetch_add(1, Ordering::Relaxed);
    }
}

/// A server whose answer is the size of the request's body.
struct TestServer {
    address: SocketAddr,
    bodies: BodyBudget,
    stop: ServerStop,
}

impl TestServer {
    fn start(max_connections: usize, body_bytes: u64) -> Self {
        let bodies = BodyBudget::new(body_bytes);
        let port = HttpPort {
            name: "test",
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            limits: PortLimits {
                max_connections,
                backlog: 64,
                buffer_bytes: 16 * 1_024,
            },
            bodies: bodies.clone(),
            report: count_hit,
        };
        let server = HttpServer::bind(port).expect("a free port");
        Self {
            address: server.address(),
            bodies,
            stop: server.serve(answer_size),
        }
    }

    async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.address)
            .await
            .expect("a connection")
    }

    async fn connect_with(&self, sent: &[u8]) -> TcpStream {
        let mut stream = self.connect().await;
        stream.write_all(sent).await.expect("bytes are sent");
        stream
    }
}

async fn answer_size(request: HttpRequest) -> HttpAnswer {
    match request.uri().path() {
        "/slow" => sleep(Duration::from_millis(800)).await,
        "/large" => return plain_answer(StatusCode::OK, vec![b'a'; 4 << 20]),
        "/panic" => panic!("a fault of the handler"),
        _ => {}
    }
    let limit = BodyLimit {
        max_bytes: MAX_BODY_BYTES,
        time: BODY_TIME,
    };
    match request.into_body().read(limit).await {
        Ok(body) => plain_answer(StatusCode::OK, body.len().to_string()),
        Err(BodyFault::TooLarge) => plain_answer(StatusCode::PAYLOAD_TOO_LARGE, ""),
        Err(BodyFault::Late) => plain_answer(StatusCode::REQUEST_TIMEOUT, ""),
        Err(BodyFault::NoMemory) => plain_answer(StatusCode::SERVICE_UNAVAILABLE, ""),
        Err(BodyFault::Broken) => plain_answer(StatusCode::BAD_REQUEST, ""),
    }
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime starts");
    runtime.block_on(test);
}

/// Reads one answer with a short body; empty if the connection ends before.
async fn read_answer(stream: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    let mut buffer = [0; 4_096];
    let read = async {
        while !has_whole_answer(&answer) {
            match stream.read(&mut buffer).await {
                Ok(count) if count > 0 => answer.extend_from_slice(&buffer[..count]),
                _ => break,
            }
        }
    };
    timeout(PATIENCE, read).await.expect("an answer in time");
    String::from_utf8_lossy(&answer).into_owned()
}

fn has_whole_answer(answer: &[u8]) -> bool {
    let text = String::from_utf8_lossy(answer);
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(": ")?;
        let is_length = name.eq_ignore_ascii_case("content-length");
        is_length.then(|| value.parse::<usize>().ok())?
    });
    body.len() >= length.unwrap_or(0)
}

/// Waits until the server closes the connection, and returns after how long.
async fn wait_closed(stream: &mut TcpStream) -> Duration {
    let started = Instant::now();
    let mut buffer = [0; 4_096];
    let end = async { while matches!(stream.read(&mut buffer).await, Ok(count) if count > 0) {} };
    timeout(PATIENCE, end).await.expect("the connection ends");
    started.elapsed()
}

fn post(body: &str) -> Vec<u8> {
    let length = body.len();
    format!("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: {length}\r\n\r\n{body}").into_bytes()
}

const GET: &[u8] = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";

/// A head that stops short of its end has a time limit, also if bytes go on arriving.
async fn heads_have_a_time_limit(first: &'static [u8], more: &'static [u8]) {
    let server = TestServer::start(8, 1 << 20);
    let mut stream = server.connect_with(first).await;
    let (mut reader, mut writer) = stream.split();
    let drip = async {
        loop {
            sleep(Duration::from_millis(500)).await;
            if writer.write_all(more).await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    };
    let mut buffer = [0; 1_024];
    let started = Instant::now();
    let end = async { while matches!(reader.read(&mut buffer).await, Ok(count) if count > 0) {} };
    tokio::select! {
        () = end => {}
        () = drip => {}
        () = sleep(PATIENCE) => panic!("the connection stays open"),
    }
    let took = started.elapsed();
    assert!(
        took > Duration::from_secs(4) && took < Duration::from_secs(8),
        "{took:?}"
    );
}

/// An idle connection is not closed by the time limit for heads, whether it had a request before or not.
async fn idle_connections_stay_open() {
    let server = TestServer::start(8, 1 << 20);
    let mut unused = server.connect().await;
    let mut used = server.connect_with(GET).await;
    assert!(read_answer(&mut used).await.contains("200 OK"));
    sleep(Duration::from_secs(7)).await;
    for stream in [&mut unused, &mut used] {
        stream.write_all(GET).await.expect("a request is sent");
        assert!(read_answer(stream).await.contains("200 OK"));
    }
}

/// Heads over the limit are refused: the process must not hold what it has not asked for.
async fn large_heads_are_refused(piece: &'static [u8]) {
    let server = TestServer::start(8, 1 << 20);
    let before = HEADS_TOO_LARGE.load(Ordering::Relaxed);
    let mut stream = server.connect().await;
    for _ in 0..64 * 1_024 / piece.len() {
        if stream.write_all(piece).await.is_err() {
            break;
        }
    }
    let took = wait_closed(&mut stream).await;
    assert!(took < Duration::from_secs(3), "{took:?}");
    assert!(HEADS_TOO_LARGE.load(Ordering::Relaxed) > before);
}

/// A crowd that takes up all connections and stalls does not shut out a caller, nor cut off a request that is being answered.
async fn stalled_crowds_make_room(sent: &'static [u8]) {
    let server = TestServer::start(16, 1 << 20);
    let mut answered = server
        .connect_with(b"GET /slow HTTP/1.1\r\nhost: a\r\n\r\n")
        .await;
    sleep(Duration::from_millis(50)).await;
    let mut crowd = Vec::new();
    for _ in 0..64 {
        crowd.push(server.connect_with(sent).await);
    }
    sleep(Duration::from_millis(50)).await;
    let mut caller = server.connect_with(&post("body")).await;
    assert!(read_answer(&mut caller).await.ends_with("\r\n4"));
    assert!(read_answer(&mut answered).await.contains("200 OK"));
    let took = wait_closed(&mut crowd[0]).await;
    assert!(took < Duration::from_millis(500), "{took:?}");
}

/// If all connections are being answered, a new one is closed instead of one of them.
async fn answered_connections_are_kept() {
    let server = TestServer::start(4, 1 << 20);
    let mut answered = Vec::new();
    for _ in 0..4 {
        let slow = b"GET /slow HTTP/1.1\r\nhost: a\r\n\r\n";
        answered.push(server.connect_with(slow).await);
    }
    sleep(Duration::from_millis(100)).await;
    let mut late = server.connect_with(GET).await;
    assert_eq!(read_answer(&mut late).await, "");
    for stream in &mut answered {
        assert!(read_answer(stream).await.contains("200 OK"));
    }
}

/// Bodies that stall give way to new ones, and all memory is given back once they are gone.
async fn stalled_bodies_make_room() {
    let server = TestServer::start(128, 256 * 1_024);
    let mut stalled = post(&"x".repeat(60_000));
    stalled.pop();
    let mut crowd = Vec::new();
    for _ in 0..32 {
        crowd.push(server.connect_with(&stalled).await);
    }
    sleep(Duration::from_millis(200)).await;
    let mut caller = server.connect_with(&post(&"x".repeat(60_000))).await;
    assert!(read_answer(&mut caller).await.ends_with("\r\n60000"));
    assert!(read_answer(&mut crowd[0]).await.contains(" 503 "));
    assert!(read_answer(&mut crowd[31]).await.contains(" 408 "));
    sleep(Duration::from_millis(200)).await;
    assert_eq!(server.bodies.available_bytes(), 256 * 1_024);
}

/// A body within the limits is served whether it comes in large or in the smallest chunks.
async fn chunked_bodies_are_served(chunk_bytes: usize) {
    let server = TestServer::start(8, 1 << 20);
    let mut stream = server
        .connect_with(b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n")
        .await;
    let chunk = format!("{chunk_bytes:x}\r\n{}\r\n", "x".repeat(chunk_bytes));
    let sent = chunk.repeat(30_000 / chunk_bytes) + "0\r\n\r\n";
    stream
        .write_all(sent.as_bytes())
        .await
        .expect("a body is sent");
    assert!(read_answer(&mut stream).await.ends_with("\r\n30000"));
}

/// A body over its limit is refused before it is asked for.
async fn large_bodies_are_refused() {
    let server = TestServer::start(8, 1 << 20);
    let head =
        b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 70000\r\nexpect: 100-continue\r\n\r\n";
    let mut stream = server.connect_with(head).await;
    assert!(read_answer(&mut stream).await.contains(" 413 "));
}

/// A client that sends requests and takes no answers is cut off; its answers must not pile up.
async fn unread_answers_have_a_time_limit() {
    let server = TestServer::start(8, 1 << 20);
    let request = b"GET /large HTTP/1.1\r\nhost: a\r\n\r\n";
    let mut stream = server.connect_with(request).await;
    let started = Instant::now();
    let end = async {
        while stream.write_all(GET).await.is_ok() {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(PATIENCE, end).await.expect("the connection ends");
    let took = started.elapsed();
    assert!(took > Duration::from_secs(9), "{took:?}");
}

/// Requests sent one behind the other are all answered, in their order, also behind an answer that fills the connection.
async fn pipelined_requests_are_answered() {
    let server = TestServer::start(8, 1 << 20);
    let mut sent = b"GET /large HTTP/1.1\r\nhost: a\r\n\r\n".to_vec();
    for size in 1..50 {
        sent.extend(post(&"x".repeat(size)));
    }
    sent.extend(b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
    let mut stream = server.connect_with(&sent).await;
    sleep(Duration::from_millis(300)).await;
    let mut received = Vec::new();
    let read = timeout(PATIENCE, stream.read_to_end(&mut received)).await;
    read.expect("an end in time").expect("answers");
    let text = String::from_utf8_lossy(&received);
    assert_eq!(text.matches("HTTP/1.1 200 OK").count(), 51);
    assert!(text
        .find("\r\n\r\n48")
        .is_some_and(|at| at < text.find("\r\n\r\n49").unwrap_or(0)));
}

/// A handler that panics is answered with 500, as any other fault.
async fn panics_are_answered() {
    let server = TestServer::start(8, 1 << 20);
    let mut stream = server
        .connect_with(b"GET /panic HTTP/1.1\r\nhost: a\r\n\r\n")
        .await;
    assert!(read_answer(&mut stream).await.contains(" 500 "));
}

/// In a stop idle connections end, and a request in flight is answered first.
async fn stops_answer_requests_in_flight() {
    let server = TestServer::start(8, 1 << 20);
    let mut idle = server.connect_with(GET).await;
    assert!(read_answer(&mut idle).await.contains("200 OK"));
    let mut slow = server
        .connect_with(b"GET /slow HTTP/1.1\r\nhost: a\r\n\r\n")
        .await;
    sleep(Duration::from_millis(100)).await;
    server.stop.begin();
    let took = wait_closed(&mut idle).await;
    assert!(took < Duration::from_millis(500), "{took:?}");
    let answer = read_answer(&mut slow).await;
    assert!(
        answer.contains("200 OK") && answer.contains("connection: close"),
        "{answer}"
    );
    assert!(TcpStream::connect(server.address).await.is_err());
}

/// The limits must fit hosts of all sizes, and leave descriptors for the calls to workers.
fn derived(memory_mib: u64, max_descriptors: u64, callers: usize, support: usize) {
    let limits = ProcessLimits {
        memory_bytes: memory_mib << 20,
        max_descriptors,
    };
    assert_eq!(limits.port(PortShare::Callers).max_connections, callers);
    assert_eq!(limits.port(PortShare::Support).max_connections, support);
}

cases! {
    head_that_stalls_is_cut_off => run(heads_have_a_time_limit(b"GET / HTTP/1.1\r\nhost", b""));
    head_that_drips_is_cut_off => run(heads_have_a_time_limit(b"GET / HTTP/1.1\r\nhost: ", b"a"));
    empty_lines_without_end_are_cut_off => run(heads_have_a_time_limit(b"\r\n", b"\r\n"));
    idle_connection_is_kept => run(idle_connections_stay_open());
    large_head_is_refused => run(large_heads_are_refused(b"GET / HTTP/1.1\r\nx-field: value\r\ny-field: "));
    many_empty_lines_are_refused => run(large_heads_are_refused(b"\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n"));
    idle_crowd_makes_room => run(stalled_crowds_make_room(b""));
    crowd_of_heads_makes_room => run(stalled_crowds_make_room(b"GET / HTTP/1.1\r\n"));
    crowd_of_bodies_makes_room => run(stalled_crowds_make_room(b"POST / HTTP/1.1\r\ncontent-length: 9\r\n\r\nx"));
    connection_being_answered_is_kept => run(answered_connections_are_kept());
    stalled_body_makes_room => run(stalled_bodies_make_room());
    body_of_tiny_chunks_is_served => run(chunked_bodies_are_served(1));
    body_of_large_chunks_is_served => run(chunked_bodies_are_served(15_000));
    large_body_is_refused => run(large_bodies_are_refused());
    unread_answer_ends_its_connection => run(unread_answers_have_a_time_limit());
    pipelined_requests_keep_their_order => run(pipelined_requests_are_answered());
    panic_is_answered => run(panics_are_answered());
    request_in_flight_is_answered_in_a_stop => run(stops_answer_requests_in_flight());
    usual_host_has_connections_by_memory => derived(256, 4_096, 511, 42);
    host_with_few_descriptors_has_fewer => derived(256, 600, 75, 6);
    smallest_host_has_some => derived(16, 256, 10, 4);
}
