//! A process that is too busy to poll its connections until after the idle timeout must still accept an answer that has
//! already been received, and must still report a fault if nothing was received.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread::spawn;
use std::time::Duration;

use reqwest::Client;
use sandshelf_cases::cases;
use sandshelf_transfer::{send_call, AnswerProgress, CallTimeout, TransferFault};
use tokio::runtime::Builder;
use tokio::task::yield_now;
use tokio::time::{advance, pause};

/// The idle timeout of the call.
const IDLE_TIMEOUT: Duration = Duration::from_millis(300);
/// The largest answer body that the call accepts, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Channels between the test and the server: request received, permission to answer, answer sent.
struct ServerSignals {
    request_received: Receiver<()>,
    may_answer: Sender<()>,
    answer_sent: Receiver<()>,
}

/// Starts a server that answers one call with a body of `body_bytes` bytes once the test permits it.
fn start_server(body_bytes: usize) -> (String, ServerSignals) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (signal_received, request_received) = channel();
    let (may_answer, permission) = channel();
    let (signal_sent, answer_sent) = channel();
    spawn(move || {
        let (mut stream, _) = listener.accept().expect("one connection");
        let mut request = [0; 4096];
        let size = stream.read(&mut request).expect("a request");
        assert!(request[..size].ends_with(b"\r\n\r\n"));
        signal_received.send(()).expect("the case waits");
        if permission.recv().is_err() {
            return;
        }
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {body_bytes}\r\n\r\n");
        let body = vec![b'a'; body_bytes];
        stream.write_all(head.as_bytes()).expect("a reader");
        stream.write_all(&body).expect("a reader");
        signal_sent.send(()).expect("the case waits");
    });
    let signals = ServerSignals {
        request_received,
        may_answer,
        answer_sent,
    };
    (format!("http://{address}/"), signals)
}

/// Makes a call from a runtime that does not poll its connection from the time the request was sent until twice the idle
/// timeout has passed.
fn busy_call(body_bytes: usize, server_answers: bool) -> Result<usize, TransferFault> {
    let (url, signals) = start_server(body_bytes);
    let runtime = Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(async {
        pause();
        let client = Client::new();
        let timeout = CallTimeout::Idle(IDLE_TIMEOUT);
        let call = tokio::spawn(async move {
            let request = client.get(url);
            let answer = send_call(request, Duration::ZERO, timeout).await?;
            Ok(answer.read(MAX_BODY_BYTES).await?.len())
        });
        while signals.request_received.try_recv().is_err() {
            yield_now().await;
        }
        if server_answers {
            signals.may_answer.send(()).expect("the server waits");
            signals.answer_sent.recv().expect("the server answers");
        }
        advance(IDLE_TIMEOUT * 2).await;
        call.await.expect("the call ends")
    })
}

/// An answer received while the process was busy is accepted, although the idle timeout has passed by then.
fn received_answer_is_accepted(body_bytes: usize) {
    assert_eq!(busy_call(body_bytes, true), Ok(body_bytes));
}

/// The call fails if nothing was received.
fn missing_answer_is_a_fault() {
    let silent = TransferFault::Silent(AnswerProgress::default());
    assert_eq!(busy_call(0, false), Err(silent));
}

cases! {
    short_answer => received_answer_is_accepted(20);
    answer_of_one_read => received_answer_is_accepted(4_000);
    no_answer => missing_answer_is_a_fault();
}
