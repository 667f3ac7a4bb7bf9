//! Callers: they submit jobs, cancel some, and ask for their state.

use std::collections::HashMap;

use rand::RngExt;
use sandshelf_jobs::{JobNumber, JobStage};
use sandshelf_model::Millis;

use super::{EmulatedWorld, WorldEvent};
use crate::catalog::mix;
use crate::deployment::TaskKind;
use crate::host::{RequestAnswer, RequestBody, WorkItem};
use crate::outcomes::SubmissionEnd;
use crate::queue::{Micros, MS};
use crate::sizes;
use crate::store::{StoreCall, StoreReply};

/// How many times a caller sends a request at most.
const MAX_TRIES: u32 = 5;
/// How long after the first try a caller still retries.
const RETRY_BUDGET_US: Micros = 3_000 * MS;
/// How long a caller waits for an answer before it asks another host.
const TRY_TIMEOUT_US: Micros = 1_300 * MS;
/// The pause before a retry where the outcome is unknown or no host was ready.
const RETRY_PAUSE_US: Micros = 250 * MS;
/// How many times a caller asks for the state of a job.
const STATE_QUERIES: u32 = 3;
/// When it asks, in milliseconds after the job was accepted.
const STATE_QUERY_AFTER_MS: std::ops::Range<Millis> = 400..6_000;
/// When a caller cancels a job that it has chosen to cancel, in milliseconds after the job was accepted.
const CANCEL_AFTER_MS: std::ops::Range<Millis> = 500..3_000;
/// When the caller of a serving job cancels it, in milliseconds after the job was accepted.
const SERVING_CANCEL_AFTER_MS: std::ops::Range<Millis> = 25_000..140_000;

/// A time span in which a class has more or less traffic than usual.
#[derive(Clone, Copy, Debug)]
pub(super) struct TrafficBurst {
    /// The index of the class.
    pub(super) class: usize,
    /// Its rate in percent of the usual one.
    pub(super) percent: u32,
    /// When it ends.
    pub(super) until: Micros,
}

/// One request of a caller.
#[derive(Clone, Debug)]
struct CallerRequest {
    body: RequestBody,
    /// When it was first sent.
    sent: Micros,
    tries: u32,
    answered: bool,
    /// How many of the tries were refused.
    refusals: u32,
}

/// A job that a caller has submitted.
#[derive(Clone, Copy, Debug)]
pub(super) struct SubmittedJob {
    pub(super) number: JobNumber,
    pub(super) class: usize,
    /// When its caller first tried to submit it.
    pub(super) submitted: Micros,
    /// Its index among the requests that the host oracle expects to be served.
    request: usize,
    /// The number of its submission among the callers' requests.
    submission: usize,
    pub(super) accepted: bool,
    /// When it was first shown as completed.
    pub(super) completed_at: Option<Micros>,
    /// When its cancellation was acknowledged.
    pub(super) cancelled_at: Option<Micros>,
}

/// The requests and jobs of all callers.
#[derive(Debug, Default)]
pub(super) struct CallerState {
    requests: Vec<CallerRequest>,
    pub(super) jobs: Vec<SubmittedJob>,
    /// The index of each job by its number.
    indices: HashMap<JobNumber, usize>,
}

impl CallerState {
    fn add_job(&mut self, job: SubmittedJob) {
        self.indices.insert(job.number, self.jobs.len());
        self.jobs.push(job);
    }

    fn job_mut(&mut self, number: JobNumber) -> Option<&mut SubmittedJob> {
        let index = self.indices.get(&number)?;
        self.jobs.get_mut(*index)
    }
}

impl EmulatedWorld {
    /// Submits the next job of a class, and schedules the one after it at an exponentially distributed interval.
    pub(super) fn next_job(&mut self, class: usize) {
        if self.now >= self.traffic_until {
            return;
        }
        self.submit_job(class);
        let mut per_s = self.deployment.classes[class].per_s;
        // Where several bursts of a class overlap, the newest counts.
        let mut bursts = self.bursts.iter().rev();
        let burst = bursts.find(|burst| burst.class == class && self.now < burst.until);
        if let Some(burst) = burst {
            per_s *= f64::from(burst.percent) / 100.0;
        }
        let drawn: f64 = self.random.random();
        let pause = -(1.0 - drawn).ln() / per_s * 1e6;
        self.queue
            .push(self.now + pause as Micros, WorldEvent::NextJob(class));
    }

    /// Draws a job of a class and submits it.
    pub(super) fn submit_job(&mut self, class: usize) {
        let wall_ms = crate::host::WALL_START_MS + self.now / MS;
        let job = self.deployment.classes[class].draw(wall_ms, &mut self.random);
        let number = JobNumber(mix(0x7061, self.callers.jobs.len() as u64));
        let spec = job.spec.clone();
        self.catalog.add(number, job);
        let request = self.callers.requests.len();
        let submitted = SubmittedJob {
            number,
            class,
            submitted: self.now,
            request: self.host_oracle.requested(self.now / MS),
            submission: request,
            accepted: false,
            completed_at: None,
            cancelled_at: None,
        };
        self.callers.add_job(submitted);
        self.begin_request(RequestBody::Submit(request, number, spec), self.now);
    }

    fn begin_request(&mut self, body: RequestBody, at: Micros) {
        self.callers.requests.push(CallerRequest {
            body: body.clone(),
            sent: at,
            tries: 0,
            answered: false,
            refusals: 0,
        });
        self.queue.push(at, WorldEvent::SendRequest(body, 1));
    }

    /// Sends a request to a random one of the hosts that accept connections.
    pub(super) fn send_to_host(&mut self, body: RequestBody, tries: u32) {
        let request = request_of(&body);
        self.callers.requests[request].tries = tries;
        let ready: Vec<usize> = (0..self.hosts.len())
            .filter(|host| self.hosts[*host].is_ready())
            .collect();
        if ready.is_empty() {
            self.queue
                .push(self.now + RETRY_PAUSE_US, WorldEvent::RetryRequest(request));
            return;
        }
        let host = ready[self.random.random_range(0..ready.len())];
        let bytes = match &body {
            RequestBody::Submit(_, _, spec) => sizes::submission(spec),
            _ => sizes::STORE_CALL_BYTES * 2,
        };
        let incarnation = self.incarnation_of(host);
        let sent = self.callers.requests[request].sent;
        let left_ms = (sent + RETRY_BUDGET_US).saturating_sub(self.now) / MS;
        self.send_request(incarnation, WorkItem::Request(body, left_ms), bytes);
        self.queue
            .push(self.now + TRY_TIMEOUT_US, WorldEvent::RetryRequest(request));
    }

    /// Retries a request that has no answer, unless its tries or its retry budget are used up.
    pub(super) fn retry_request(&mut self, request: usize) {
        let known = &self.callers.requests[request];
        if known.answered || known.tries >= MAX_TRIES || self.now > known.sent + RETRY_BUDGET_US {
            return;
        }
        let (body, tries) = (known.body.clone(), known.tries + 1);
        self.queue
            .push(self.now, WorldEvent::SendRequest(body, tries));
    }

    /// Handles a host's answer to a request.
    pub(super) fn handle_response(&mut self, request: usize, answer: RequestAnswer) {
        let known = &mut self.callers.requests[request];
        if known.answered {
            return;
        }
        let pause = match answer {
            RequestAnswer::Served => None,
            RequestAnswer::Refused(retry_after_ms) => Some(retry_after_ms * MS),
            RequestAnswer::Unknown => Some(RETRY_PAUSE_US),
        };
        known.refusals += u32::from(matches!(answer, RequestAnswer::Refused(_)));
        if let Some(pause) = pause {
            self.queue
                .push(self.now + pause, WorldEvent::RetryRequest(request));
            return;
        }
        known.answered = true;
        if let RequestBody::Submit(_, number, _) = known.body {
            self.handle_accepted(number);
        }
    }

    /// Schedules the state queries of an accepted job, and its cancellation where there is to be one.
    fn handle_accepted(&mut self, number: JobNumber) {
        let Some(job) = self.callers.job_mut(number) else {
            return;
        };
        job.accepted = true;
        let class = &self.deployment.classes[job.class];
        let cancels = match class.kind {
            TaskKind::Serving(_) => Some(SERVING_CANCEL_AFTER_MS),
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
        for _ in 0..STATE_QUERIES {
            let at = self.now + self.random.random_range(STATE_QUERY_AFTER_MS) * MS;
            let request = self.callers.requests.len();
            self.begin_request(RequestBody::Show(request, number), at);
        }
    }

    /// Informs the oracle of the jobs, cancellations and progress that the store has written.
    pub(super) fn note_stored(&mut self, ask: &StoreCall, reply: &StoreReply) {
        let now = self.now / MS;
        match (ask, reply) {
            (StoreCall::PutJob(_, number, spec), _) if !self.oracle.knows(*number) => {
                self.oracle.accepted(*number, spec);
            }
            (StoreCall::PutCancel(_, number), _) => {
                self.oracle.cancelled(now, *number);
                if let Some(job) = self.callers.job_mut(*number) {
                    job.cancelled_at.get_or_insert(self.now);
                }
            }
            (StoreCall::Write(write), StoreReply::Written(_)) => {
                for (number, row) in &write.batch.progress {
                    self.oracle.shown(now, *number, row.stage);
                    let job = self.callers.job_mut(*number);
                    if let (JobStage::Completed, Some(job)) = (row.stage, job) {
                        job.completed_at.get_or_insert(self.now);
                    }
                }
            }
            _ => {}
        }
    }

    /// Counts each accepted serving job as a request; it is served where at least half of its tasks are running.
    pub(super) fn count_serving(&mut self) {
        for index in 0..self.callers.jobs.len() {
            let job = self.callers.jobs[index];
            let serves = matches!(
                self.deployment.classes[job.class].kind,
                TaskKind::Serving(_)
            );
            if !serves || !job.accepted || job.cancelled_at.is_some() {
                continue;
            }
            let request = self.host_oracle.requested(self.now / MS);
            let (running, all) = self.oracle.standing_running(job.number);
            if running * 2 >= all {
                self.host_oracle.served(request);
            }
        }
    }

    /// How the submission of a job ended.
    pub(super) fn submission_end(&self, job: &SubmittedJob) -> SubmissionEnd {
        let request = &self.callers.requests[job.submission];
        if job.accepted {
            SubmissionEnd::Accepted
        } else if request.tries > 0 && request.refusals == request.tries {
            SubmissionEnd::Refused
        } else {
            SubmissionEnd::NotAccepted
        }
    }

    /// Counts, at the end, the submissions of jobs that were completed, failed or cancelled, or that serve, as served.
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
            if completed || failed || job.cancelled_at.is_some() || serves && begun {
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
