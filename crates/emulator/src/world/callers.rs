//! Callers: they hand jobs in, cancel some, and ask what became of them.

use rand::RngExt;
use sandshelf_jobs::{JobNumber, JobStage};
use sandshelf_model::Millis;

use super::{EmulatedWorld, Happening};
use crate::book::mix;
use crate::deployment::TaskKind;
use crate::host::{RequestBody, WorkItem};
use crate::queue::{Micros, MS};
use crate::sizes;
use crate::store::{StoreAsk, StoreReply};

/// How often a caller tries.
const TRIES: u32 = 5;
/// How long it goes on trying.
const BUDGET: Micros = 3_000 * MS;
/// How long it waits for an answer before it asks another host.
const TRY_PATIENCE: Micros = 1_300 * MS;
/// The pause after a refusal.
const RETRY_PAUSE: Micros = 250 * MS;
/// How often a job's state is asked for, and when, after it was taken in.
const LOOKS: u32 = 3;
const LOOK_AFTER_MS: std::ops::Range<Millis> = 400..6_000;
/// When a job is cancelled that is to be, after it was taken in.
const CANCEL_AFTER_MS: std::ops::Range<Millis> = 500..3_000;
/// How long a serving job stays.
const STAY_MS: std::ops::Range<Millis> = 25_000..140_000;

/// One request of a caller.
#[derive(Clone, Debug)]
struct CallerRequest {
    body: RequestBody,
    sent: Micros,
    tries: u32,
    answered: bool,
}

/// A job that a caller has handed in.
#[derive(Clone, Copy, Debug)]
pub(super) struct HandedJob {
    pub(super) number: JobNumber,
    class: usize,
    /// Its number among the requests that have to be served.
    request: usize,
    accepted: bool,
    cancelled: bool,
}

/// All callers.
#[derive(Debug, Default)]
pub(super) struct CallerDesk {
    requests: Vec<CallerRequest>,
    pub(super) jobs: Vec<HandedJob>,
}

impl EmulatedWorld {
    /// Hands the next job of a class in, and plans the one after it.
    pub(super) fn next_job(&mut self, class: usize) {
        if self.now >= self.traffic_until {
            return;
        }
        self.hand_in(class);
        let mut per_s = self.deployment.classes[class].per_s;
        let (burst, percent, until) = self.burst;
        if burst == class && self.now < until {
            per_s *= f64::from(percent) / 100.0;
        }
        let drawn: f64 = self.random.random();
        let pause = -(1.0 - drawn).ln() / per_s * 1e6;
        self.queue
            .push(self.now + pause as Micros, Happening::NextJob(class));
    }

    /// Hands a job of a class in.
    pub(super) fn hand_in(&mut self, class: usize) {
        let wall_ms = crate::host::WALL_START_MS + self.now / MS;
        let job = self.deployment.classes[class].draw(wall_ms, &mut self.random);
        let number = JobNumber(mix(0x7061, self.callers.jobs.len() as u64));
        let spec = job.spec.clone();
        self.book.add(number, job);
        let handed = HandedJob {
            number,
            class,
            request: self.host_oracle.requested(self.now / MS),
            accepted: false,
            cancelled: false,
        };
        self.callers.jobs.push(handed);
        let request = self.callers.requests.len();
        self.begin_request(RequestBody::Submit(request, number, spec), self.now);
    }

    fn begin_request(&mut self, body: RequestBody, at: Micros) {
        self.callers.requests.push(CallerRequest {
            body: body.clone(),
            sent: at,
            tries: 0,
            answered: false,
        });
        self.queue.push(at, Happening::Ask(body, 1));
    }

    /// A caller asks one of the hosts that take connections.
    pub(super) fn ask_host(&mut self, body: RequestBody, tries: u32) {
        let request = request_of(&body);
        self.callers.requests[request].tries = tries;
        let ready: Vec<usize> = (0..self.hosts.len())
            .filter(|host| self.hosts[*host].is_ready())
            .collect();
        if ready.is_empty() {
            self.queue
                .push(self.now + RETRY_PAUSE, Happening::AskAgain(request));
            return;
        }
        let host = ready[self.random.random_range(0..ready.len())];
        let bytes = match &body {
            RequestBody::Submit(_, _, spec) => sizes::submission(spec),
            _ => sizes::STORE_CALL * 2,
        };
        let life = self.life_of(host);
        self.send_request(life, WorkItem::Request(body), bytes);
        self.queue
            .push(self.now + TRY_PATIENCE, Happening::AskAgain(request));
    }

    /// A caller without an answer asks another host, unless it has given up.
    pub(super) fn ask_again(&mut self, request: usize) {
        let known = &self.callers.requests[request];
        if known.answered || known.tries >= TRIES || self.now > known.sent + BUDGET {
            return;
        }
        let (body, tries) = (known.body.clone(), known.tries + 1);
        self.queue.push(self.now, Happening::Ask(body, tries));
    }

    /// A host has answered a request, well or with a refusal.
    pub(super) fn responded(&mut self, request: usize, served: bool) {
        let known = &mut self.callers.requests[request];
        if known.answered {
            return;
        }
        if !served {
            self.queue
                .push(self.now + RETRY_PAUSE, Happening::AskAgain(request));
            return;
        }
        known.answered = true;
        if let RequestBody::Submit(_, number, _) = known.body {
            self.accepted(number);
        }
    }

    /// A job was taken in: its caller asks for its state from time to time, and may cancel it.
    fn accepted(&mut self, number: JobNumber) {
        let Some(job) = self
            .callers
            .jobs
            .iter_mut()
            .rev()
            .find(|job| job.number == number)
        else {
            return;
        };
        job.accepted = true;
        let class = &self.deployment.classes[job.class];
        let cancels = match class.kind {
            TaskKind::Serving(_) => Some(STAY_MS),
            _ if self.random.random_range(0..100) < class.cancelled_percent => {
                Some(CANCEL_AFTER_MS)
            }
            _ => None,
        };
        if let Some(after) = cancels {
            let at = self.now + self.random.random_range(after) * MS;
            let request = self.callers.requests.len();
            self.begin_request(RequestBody::Cancel(request, number), at);
        }
        for _ in 0..LOOKS {
            let at = self.now + self.random.random_range(LOOK_AFTER_MS) * MS;
            let request = self.callers.requests.len();
            self.begin_request(RequestBody::Show(request, number), at);
        }
    }

    /// The store has done what it was asked for.
    pub(super) fn note_stored(&mut self, ask: &StoreAsk, reply: &StoreReply) {
        let now = self.now / MS;
        match (ask, reply) {
            (StoreAsk::PutJob(_, number, spec), _) if !self.oracle.knows(*number) => {
                self.oracle.accepted(*number, spec);
            }
            (StoreAsk::PutCancel(_, number), _) => {
                self.oracle.cancelled(now, *number);
                let jobs = self.callers.jobs.iter_mut();
                for job in jobs.filter(|job| job.number == *number) {
                    job.cancelled = true;
                }
            }
            (StoreAsk::Write(write), StoreReply::Written(_)) => {
                for (number, row) in &write.batch.progress {
                    self.oracle.shown(now, *number, row.stage);
                }
            }
            _ => {}
        }
    }

    /// Counts each job that serves as a request: served where at least half of its tasks are at work.
    pub(super) fn count_serving(&mut self) {
        for index in 0..self.callers.jobs.len() {
            let job = self.callers.jobs[index];
            let serves = matches!(
                self.deployment.classes[job.class].kind,
                TaskKind::Serving(_)
            );
            if !serves || !job.accepted || job.cancelled {
                continue;
            }
            let request = self.host_oracle.requested(self.now / MS);
            let (at_work, all) = self.oracle.standing_running(job.number);
            if at_work * 2 >= all {
                self.host_oracle.served(request);
            }
        }
    }

    /// At the end, a job counts as served that has come to its end, or that serves or was cancelled.
    pub(super) fn count_served(&mut self) {
        for job in &self.callers.jobs {
            let progress = self.store.progress.get(&job.number);
            let stage = progress.map(|(row, _)| row.stage);
            let completed = stage == Some(JobStage::Completed);
            let failed = stage == Some(JobStage::Failed);
            let serves = matches!(
                self.deployment.classes[job.class].kind,
                TaskKind::Serving(_)
            );
            let begun = stage.is_some_and(|stage| stage != JobStage::Queued);
            if completed || failed || job.cancelled || serves && begun {
                self.host_oracle.served(job.request);
            }
        }
    }
}

fn request_of(body: &RequestBody) -> usize {
    match body {
        RequestBody::Submit(request, ..)
        | RequestBody::Cancel(request, _)
        | RequestBody::Show(request, _) => *request,
    }
}
