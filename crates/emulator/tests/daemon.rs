//! Checks that the constants of the emulated hosts equal those of the daemon's control thread. A constant that changes in the
//! daemon has to change in `src/host` as well.

const DAEMON: [&str; 8] = [
    include_str!("../../sandshelfd/src/jobs/owner.rs"),
    include_str!("../../sandshelfd/src/jobs/owner/claim.rs"),
    include_str!("../../sandshelfd/src/jobs/owner/notices.rs"),
    include_str!("../../sandshelfd/src/jobs/owner/strength.rs"),
    include_str!("../../sandshelfd/src/jobs/owner/tenure.rs"),
    include_str!("../../sandshelfd/src/jobs/takeover.rs"),
    include_str!("../../sandshelfd/src/jobs/intake.rs"),
    include_str!("../../sandshelfd/src/jobs/calls.rs"),
];
const EMULATOR: [&str; 7] = [
    include_str!("../src/host/control.rs"),
    include_str!("../src/host/model.rs"),
    include_str!("../src/host/notices.rs"),
    include_str!("../src/host/takeover.rs"),
    include_str!("../src/host/tenure.rs"),
    include_str!("../src/host/follow.rs"),
    include_str!("../src/host/calls.rs"),
];

/// Returns the value of a constant as written in the first source that defines it.
fn value<'a>(sources: &[&'a str], name: &str) -> &'a str {
    let begins = format!("const {name}: ");
    let lines = sources.iter().flat_map(|source| source.lines());
    let line = lines
        .filter_map(|line| line.split_once(&begins))
        .map(|(_, rest)| rest)
        .next();
    let line = line.unwrap_or_else(|| panic!("no source defines {name}"));
    let (_, value) = line.split_once(" = ").expect("a constant has a value");
    value
}

fn check_equal(name: &str) {
    assert_eq!(value(&DAEMON, name), value(&EMULATOR, name), "{name}");
}

sandshelf_cases::cases! {
    shard_lease => check_equal("SHARD_LEASE_MS");
    stagger => check_equal("CLAIM_STAGGER_MS");
    notice_interval => check_equal("NOTICE_INTERVAL_MS");
    overdue_after => check_equal("OVERDUE_AFTER_MS");
    query_after => check_equal("QUERY_AFTER_MS");
    query_interval => check_equal("QUERY_INTERVAL_MS");
    slow_read => check_equal("SLOW_READ_MS");
    first_claim => check_equal("FIRST_CLAIM_RANK_FACTOR");
    strong_processor => check_equal("STRONG_PROCESSOR_MILLICORES");
    weak_processor => check_equal("WEAK_PROCESSOR_MILLICORES");
    weak_link => check_equal("WEAK_LINK_KBIT_PER_S");
    parts_at_once => check_equal("PARTS_AT_ONCE");
    jobs_wait => check_equal("JOBS_WAIT_MS");
}
