//! Crowds of clients that misuse a port, and a meter of what the process behind the port holds meanwhile.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

/// A crowd is settled once none of its bytes has moved for this long; longer than the second after which the system repeats an attempt to
/// connect.
const SETTLE_TIME: Duration = Duration::from_millis(2_000);
/// The number of clients of a crowd that connect at the same time; more overflow the listener's queue, and the system repeats an attempt
/// only after a second.
const CONNECTING_CLIENTS: usize = 64;
/// The interval between two checks whether a crowd is settled.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// The interval between two counts of a process's open descriptors.
const COUNT_INTERVAL: Duration = Duration::from_millis(5);
/// The length of the start of an answer up to the end of its status, as in `HTTP/1.1 200`.
const STATUS_END: usize = 12;
/// KiB in one MiB.
const KIB_PER_MIB: u64 = 1_024;
/// The size of the buffer into which a client reads answers, in bytes.
const READ_BYTES: usize = 1_024;

/// Whether a client reads what it is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerUse {
    /// It reads all answers.
    Read,
    /// It reads nothing.
    Ignore,
}

/// What one client of a crowd sends; afterwards it keeps its connection open.
#[derive(Clone, Debug)]
pub struct ClientScript {
    /// The bytes that come first, once.
    pub opening: String,
    /// The bytes that come next, again and again.
    pub block: Arc<[u8]>,
    /// How often the block is sent.
    pub blocks: usize,
    /// The bytes that come last, once.
    pub ending: Arc<[u8]>,
    /// Whether the client reads what it is sent.
    pub answers: AnswerUse,
}

impl ClientScript {
    /// A client that connects and sends nothing.
    pub fn silent() -> Self {
        Self::new(String::new(), b"", 0, b"")
    }

    /// A client that sends these bytes and reads the answers.
    pub fn new(opening: String, block: &[u8], blocks: usize, ending: &[u8]) -> Self {
        Self {
            opening,
            block: block.into(),
            blocks,
            ending: ending.into(),
            answers: AnswerUse::Read,
        }
    }

    /// The same client with other first bytes.
    pub fn with_opening(&self, opening: String) -> Self {
        Self {
            opening,
            ..self.clone()
        }
    }

    /// The same client, which reads nothing.
    pub fn without_reading(self) -> Self {
        Self {
            answers: AnswerUse::Ignore,
            ..self
        }
    }
}

/// What the clients of a crowd have done so far.
#[derive(Debug, Default)]
struct CrowdNotes {
    /// The number of transfers of bytes, in either direction, and of closed connections.
    moves: AtomicU64,
    /// The status of each client's first answer, with the client's number.
    statuses: Mutex<Vec<(usize, u16)>>,
}

impl CrowdNotes {
    fn note_move(&self) {
        self.moves.fetch_add(1, Ordering::Relaxed);
    }

    fn note_status(&self, client: usize, status: u16) {
        let mut statuses = self.statuses.lock().unwrap_or_else(PoisonError::into_inner);
        statuses.push((client, status));
    }
}

/// Clients that are connected to one port at the same time. All their connections are closed when the value is dropped.
#[derive(Debug)]
pub struct ClientCrowd {
    notes: Arc<CrowdNotes>,
    clients: JoinSet<()>,
}

impl ClientCrowd {
    /// Starts one client for each script; a script's position is the client's number.
    pub fn start(address: SocketAddr, scripts: impl IntoIterator<Item = ClientScript>) -> Self {
        let notes = Arc::new(CrowdNotes::default());
        let connecting = Arc::new(Semaphore::new(CONNECTING_CLIENTS));
        let mut clients = JoinSet::new();
        for (client, script) in scripts.into_iter().enumerate() {
            let (connecting, notes) = (connecting.clone(), notes.clone());
            clients.spawn(async move {
                if let Some(stream) = connect(address, &connecting).await {
                    notes.note_move();
                    run_client(client, stream, script, &notes).await;
                    notes.note_move();
                }
            });
        }
        Self { notes, clients }
    }

    /// Waits until all connections are closed by the other side, or no bytes move any more.
    pub async fn settle(&mut self) {
        let (mut moves, mut moved_at) = (self.moves(), Instant::now());
        while moved_at.elapsed() < SETTLE_TIME {
            while self.clients.try_join_next().is_some() {}
            if self.clients.is_empty() {
                return;
            }
            tokio::time::sleep(CHECK_INTERVAL).await;
            if self.moves() != moves {
                (moves, moved_at) = (self.moves(), Instant::now());
            }
        }
    }

    /// The status of each first answer so far, with the client's number.
    pub fn statuses(&self) -> Vec<(usize, u16)> {
        let statuses = self.notes.statuses.lock();
        statuses.unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn moves(&self) -> u64 {
        self.notes.moves.load(Ordering::Relaxed)
    }
}

async fn connect(address: SocketAddr, connecting: &Semaphore) -> Option<TcpStream> {
    let _permit = connecting.acquire().await.ok()?;
    TcpStream::connect(address).await.ok()
}

/// Sends a script, and holds the connection until the other side closes it or, if the client reads nothing, without end.
async fn run_client(client: usize, stream: TcpStream, script: ClientScript, notes: &CrowdNotes) {
    let (mut read, mut write) = stream.into_split();
    let sent = async {
        // A connection that the other side closes ends the script.
        let _ = send_script(&mut write, &script, notes).await;
    };
    match script.answers {
        AnswerUse::Read => {
            tokio::join!(sent, read_answers(&mut read, client, notes));
        }
        AnswerUse::Ignore => {
            sent.await;
            std::future::pending::<()>().await;
        }
    }
}

async fn send_script(
    write: &mut OwnedWriteHalf,
    script: &ClientScript,
    notes: &CrowdNotes,
) -> io::Result<()> {
    send_part(write, script.opening.as_bytes(), notes).await?;
    for _ in 0..script.blocks {
        send_part(write, &script.block, notes).await?;
    }
    send_part(write, &script.ending, notes).await
}

async fn send_part(
    write: &mut OwnedWriteHalf,
    mut part: &[u8],
    notes: &CrowdNotes,
) -> io::Result<()> {
    while !part.is_empty() {
        let sent = write.write(part).await?;
        notes.note_move();
        part = &part[sent..];
    }
    Ok(())
}

/// Reads until the other side closes the connection, and notes the status of the first answer.
async fn read_answers(read: &mut OwnedReadHalf, client: usize, notes: &CrowdNotes) {
    let mut start = Vec::new();
    let mut buffer = [0; READ_BYTES];
    while let Ok(count @ 1..) = read.read(&mut buffer).await {
        notes.note_move();
        if start.len() >= STATUS_END {
            continue;
        }
        start.extend_from_slice(&buffer[..count]);
        if let Some(status) = status_of(&start) {
            notes.note_status(client, status);
        }
    }
}

/// The status in the start of an answer; none while it is incomplete.
fn status_of(start: &[u8]) -> Option<u16> {
    let line = std::str::from_utf8(start.get(..STATUS_END)?).ok()?;
    line.split(' ').nth(1)?.parse().ok()
}

/// What a process may hold at most.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessBounds {
    /// Its resident memory, in MiB.
    pub memory_mb: u64,
    /// Its open descriptors.
    pub descriptors: usize,
}

impl ProcessBounds {
    /// The bounds as fields of a daemon's settings.
    pub fn fields(&self) -> String {
        let Self {
            memory_mb,
            descriptors,
        } = self;
        format!(r#""memory_mb": {memory_mb}, "max_descriptors": {descriptors}"#)
    }
}

/// Follows how many descriptors a process has open, and reads the peak of its memory.
#[derive(Debug)]
pub struct ProcessMeter {
    process: u32,
    most_descriptors: Arc<AtomicUsize>,
    stopped: Arc<AtomicBool>,
    counter: Option<JoinHandle<()>>,
}

impl ProcessMeter {
    /// Starts to follow the process with this id.
    pub fn start(process: u32) -> Self {
        let most_descriptors = Arc::new(AtomicUsize::new(0));
        let stopped = Arc::new(AtomicBool::new(false));
        let (most, stop) = (most_descriptors.clone(), stopped.clone());
        let counter = thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                most.fetch_max(count_descriptors(process), Ordering::Relaxed);
                thread::sleep(COUNT_INTERVAL);
            }
        });
        Self {
            process,
            most_descriptors,
            stopped,
            counter: Some(counter),
        }
    }

    /// The bounds that the process has exceeded so far, one text each, or that it has ended.
    pub fn faults(&self, bounds: ProcessBounds) -> Vec<String> {
        let Some(memory_kib) = self.peak_memory_kib() else {
            return vec!["the process has ended".to_owned()];
        };
        let most_descriptors = self.most_descriptors.load(Ordering::Relaxed);
        eprintln!("peak memory {memory_kib} KiB, most descriptors {most_descriptors}");
        let mut faults = Vec::new();
        if memory_kib > bounds.memory_mb * KIB_PER_MIB {
            faults.push(format!("peak memory {memory_kib} KiB"));
        }
        if most_descriptors > bounds.descriptors {
            faults.push(format!("{most_descriptors} descriptors"));
        }
        faults
    }

    /// The largest resident memory that the process had since its start, in KiB; none if the process has ended.
    fn peak_memory_kib(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.process)).ok()?;
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("VmHWM:"))?;
        line.split_whitespace().next()?.parse().ok()
    }
}

impl Drop for ProcessMeter {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        if let Some(counter) = self.counter.take() {
            // A panic of the counter was printed already.
            let _ = counter.join();
        }
    }
}

/// The number of descriptors that a process has open; 0 if the process has ended.
fn count_descriptors(process: u32) -> usize {
    fs::read_dir(format!("/proc/{process}/fd")).map_or(0, Iterator::count)
}
