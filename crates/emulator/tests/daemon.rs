//! The emulated hosts have the durations of the daemon's control thread: where one is changed there, it has to be changed in
//! `src/host` as well.

const DAEMON: [&str; 6] = [
    include_str!("../../sandshelfd/src/jobs/owner.rs"),
    include_str!("../../sandshelfd/src/jobs/owner/claim.rs"),
    include_str!("../../sandshelfd/src/jobs/owner/strength.rs"),
    include_str!("../../sandshelfd/src/jobs/takeover.rs"),
    include_str!("../../sandshelfd/src/jobs/intake.rs"),
    include_str!("../../sandshelfd/src/jobs/calls.rs"),
];
const EMULATOR: [&str; 5] = [
    include_str!("../src/host/control.rs"),
    include_str!("../src/host/model.rs"),
    include_str!("../src/host/takeover.rs"),
    include_str!("../src/host/follow.rs"),
    include_str!("../src/host/calls.rs"),
];

/// What a constant is set to in one of the sources.
fn value<'a>(sources: &[&'a str], name: &str) -> &'a str {
    let begins = format!("const {name}: ");
    let lines = sources.iter().flat_map(|source| source.lines());
    let line = lines
        .filter_map(|line| line.split_once(&begins))
        .map(|(_, rest)| rest)
        .next();
    let line = line.unwrap_or_else(|| panic!("{name} is nowhere set"));
    let (_, value) = line.split_once(" = ").expect("a constant has a value");
    value
}

fn same(name: &str) {
    assert_eq!(value(&DAEMON, name), value(&EMULATOR, name), "{name}");
}

sandshelf_cases::cases! {
    shard_lease => same("SHARD_LEASE_MS");
    stagger => same("CLAIM_STAGGER_MS");
    watch_period => same("WATCH_INTERVAL_MS");
    first_claim => same("FIRST_CLAIM_RANK_FACTOR");
    strong_processor => same("STRONG_PROCESSOR_MILLICORES");
    weak_processor => same("WEAK_PROCESSOR_MILLICORES");
    weak_link => same("WEAK_LINK_KBIT_PER_S");
    parts_at_once => same("PARTS_AT_ONCE");
    jobs_wait => same("JOBS_WAIT_MS");
}
