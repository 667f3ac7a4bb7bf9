//! Runs the `sandshelf` binary: `trace` merges the logs of two hosts, of which the first dies as owner and the second takes over.

use std::fs;
use std::path::PathBuf;
use std::process::{Command, Output};

use sandshelf_cases::cases;

/// The log of the host that accepts the job and owns the shard until it dies.
const FIRST_LOG: &str = "\
time=2026-12-02T12:00:00.000Z level=info event=shard_owned epoch=1 took_ms=60 jobs=0 workers=0
time=2026-12-02T12:00:01.000Z level=info event=job_accepted job=00000000000000a7 queue=lots version=12
time=2026-12-02T12:00:01.020Z level=info event=task_placed task=00000000000000a7.0.0.0 run=1048577 worker=w-1
time=2026-12-02T12:00:01.030Z level=info event=task_placed task=00000000000000a8.0.0.0 run=1048577 worker=w-2
";
/// The log of the host that takes over the shard.
const SECOND_LOG: &str = "\
time=2026-12-02T12:00:04.500Z level=info event=shard_owned epoch=2 took_ms=80 jobs=2 workers=2
time=2026-12-02T12:00:04.900Z level=info event=task_ended task=00000000000000a7.0.0.0 run=1048577 worker=w-1 outcome=done
time=2026-12-02T12:00:04.950Z level=info event=job_finished job=00000000000000a7 state=completed
time=2026-12-02T12:00:09.000Z level=info event=shard_lost epoch=2 cause=\"a paused host\"
";

struct LogFiles(PathBuf);

impl LogFiles {
    fn write(name: &str) -> Self {
        let unique = format!("sandshelf-trace-{}-{name}", std::process::id());
        let directory = std::env::temp_dir().join(unique);
        fs::create_dir_all(&directory).expect("a directory can be made");
        fs::write(directory.join("entry-1.log"), FIRST_LOG).expect("a log can be written");
        fs::write(directory.join("entry-2.log"), SECOND_LOG).expect("a log can be written");
        Self(directory)
    }

    fn trace(&self, subject: &str) -> Output {
        Command::new(env!("CARGO_BIN_EXE_sandshelf"))
            .arg("trace")
            .arg(subject)
            // The later log is given first: lines are ordered by time, not by argument.
            .args([self.0.join("entry-2.log"), self.0.join("entry-1.log")])
            .output()
            .expect("the command starts")
    }
}

impl Drop for LogFiles {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn logs_are_merged_by_time() {
    let output = LogFiles::write("merged").trace("00000000000000a7");
    assert_eq!(output.status.code(), Some(0));
    let printed = String::from_utf8_lossy(&output.stdout).into_owned();
    let expected = "\
* 2026-12-02T12:00:01.000Z entry-1 event=job_accepted job=00000000000000a7 queue=lots version=12
* 2026-12-02T12:00:01.020Z entry-1 event=task_placed task=00000000000000a7.0.0.0 run=1048577 worker=w-1
  2026-12-02T12:00:04.500Z entry-2 event=shard_owned epoch=2 took_ms=80 jobs=2 workers=2
* 2026-12-02T12:00:04.900Z entry-2 event=task_ended task=00000000000000a7.0.0.0 run=1048577 worker=w-1 outcome=done
* 2026-12-02T12:00:04.950Z entry-2 event=job_finished job=00000000000000a7 state=completed
";
    assert_eq!(printed, expected);
}

fn unknown_subject_is_missing() {
    let output = LogFiles::write("missing").trace("00000000000000ff");
    assert_eq!(output.status.code(), Some(6));
    let printed = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        printed.contains("no line names '00000000000000ff'"),
        "{printed}"
    );
}

fn prefix_of_an_id_does_not_match() {
    let output = LogFiles::write("part").trace("00000000000000a");
    assert_eq!(output.status.code(), Some(6));
}

cases! {
    two_logs_one_trace => logs_are_merged_by_time();
    unknown_subject => unknown_subject_is_missing();
    prefix_of_an_id => prefix_of_an_id_does_not_match();
}
