//! Calls of a process that is too busy to look at its connections in time.

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

/// The patience of the call.
const SILENCE: Duration = Duration::from_millis(300);
/// The most bytes of an answer that are taken.
const MOST_BYTES: usize = 1 << 20;

/// What the server tells when a request has come, and what it is told when it may answer.
struct ServerTurns {
    asked: Receiver<()>,
    may_answer: Sender<()>,
    answered: Receiver<()>,
}

/// Starts a server that answers one call when it is told to, with so many bytes.
fn start_server(body_bytes: usize) -> (String, ServerTurns) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (tell_asked, asked) = channel();
    let (may_answer, go) = channel();
    let (tell_answered, answered) = channel();
    spawn(move || {
        let (mut stream, _) = listener.accept().expect("one connection");
        let mut request = [0; 4096];
        let size = stream.read(&mut request).expect("a request");
        assert!(request[..size].ends_with(b"\r\n\r\n"));
        tell_asked.send(()).expect("the case waits");
        if go.recv().is_err() {
            return;
        }
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {body_bytes}\r\n\r\n");
        let body = vec![b'a'; body_bytes];
        stream.write_all(head.as_bytes()).expect("a reader");
        stream.write_all(&body).expect("a reader");
        tell_answered.send(()).expect("the case waits");
    });
    let turns = ServerTurns {
        asked,
        may_answer,
        answered,
    };
    (format!("http://{address}/"), turns)
}

/// Makes a call from a process that looks at nothing from the moment the request is out until twice the patience is over.
fn busy_call(body_bytes: usize, answers: bool) -> Result<usize, TransferFault> {
    let (url, turns) = start_server(body_bytes);
    let runtime = Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(async {
        pause();
        let client = Client::new();
        let patience = CallTimeout::Idle(SILENCE);
        let call = tokio::spawn(async move {
            let request = client.get(url);
            let answer = send_call(request, Duration::ZERO, patience).await?;
            Ok(answer.read(MOST_BYTES).await?.len())
        });
        while turns.asked.try_recv().is_err() {
            yield_now().await;
        }
        if answers {
            turns.may_answer.send(()).expect("the server waits");
            turns.answered.recv().expect("the server answers");
        }
        advance(SILENCE * 2).await;
        call.await.expect("the call ends")
    })
}

/// What came while the process was busy is taken, although the patience is over by then.
fn an_answer_that_came_counts(body_bytes: usize) {
    assert_eq!(busy_call(body_bytes, true), Ok(body_bytes));
}

/// A call is given up where nothing came.
fn silence_is_silence() {
    let silent = TransferFault::Silent(AnswerProgress::default());
    assert_eq!(busy_call(0, false), Err(silent));
}

cases! {
    short_answer => an_answer_that_came_counts(20);
    answer_of_one_read => an_answer_that_came_counts(4_000);
    nothing_came => silence_is_silence();
}
