//! Simulates days in virtual time, and prints the broken rules and the resources that owners used.
//!
//! `cargo run --release -p sandshelf-emulator -- --site auction --day burst --seeds 1:5`

use std::process::ExitCode;
use std::time::Instant;

use lexopt::{Arg, Parser, ValueExt};
use sandshelf_emulator::days::{day, DAYS};
use sandshelf_emulator::deployment::Deployment;
use sandshelf_emulator::report::SimulationReport;
use sandshelf_emulator::world::EmulatedWorld;
use sandshelf_model::{LoadPolicies, LoadPolicy};

const USAGE: &str = "\
sandshelf-emulate [--site auction|code-search|small|camp|match] [--day NAME] [--seeds FIRST:LAST]
                  [--policies NAME,...|all|none] [--seconds] [--measure] [--broken N]
  --policies  the decisions under load that are switched on (default none): admission, copies,
              stuck_runs, fair_order, reservations, preemption
  --seconds   prints the owner's stats second by second
  --measure   compares the scheduler's measured time with the cost model
  --broken N  prints the first N violations of rules in full (default 2)";

struct EmulateOptions {
    site: String,
    day: String,
    first: u64,
    last: u64,
    policies: LoadPolicies,
    seconds: bool,
    measure: bool,
    broken: usize,
}

fn parse_seeds(text: &str) -> Result<(u64, u64), lexopt::Error> {
    let (first, last) = text.split_once(':').unwrap_or((text, text));
    let number = |text: &str| {
        text.parse()
            .map_err(|_| lexopt::Error::from("a seed must be a non-negative integer"))
    };
    Ok((number(first)?, number(last)?))
}

fn parse_policies(text: &str) -> Result<LoadPolicies, lexopt::Error> {
    match text {
        "all" => return Ok(LoadPolicies::all()),
        "none" => return Ok(LoadPolicies::default()),
        _ => {}
    }
    text.split(',')
        .try_fold(LoadPolicies::default(), |policies, name| {
            let policy = LoadPolicy::from_name(name);
            let unknown = || lexopt::Error::from(format!("no policy is called {name}"));
            Ok(policies.with(policy.ok_or_else(unknown)?))
        })
}

fn parse_arguments() -> Result<Option<EmulateOptions>, lexopt::Error> {
    let mut options = EmulateOptions {
        site: "auction".to_owned(),
        day: "burst".to_owned(),
        first: 1,
        last: 1,
        policies: LoadPolicies::default(),
        seconds: false,
        measure: false,
        broken: 2,
    };
    let mut parser = Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("site") => options.site = parser.value()?.string()?,
            Arg::Long("day") => options.day = parser.value()?.string()?,
            Arg::Long("seeds") => {
                (options.first, options.last) = parse_seeds(&parser.value()?.string()?)?;
            }
            Arg::Long("policies") => {
                options.policies = parse_policies(&parser.value()?.string()?)?;
            }
            Arg::Long("seconds") => options.seconds = true,
            Arg::Long("measure") => options.measure = true,
            Arg::Long("broken") => options.broken = parser.value()?.parse()?,
            Arg::Long("help") => return Ok(None),
            other => return Err(other.unexpected()),
        }
    }
    Ok(Some(options))
}

fn print_seconds(report: &SimulationReport) {
    println!(
        "second host epoch  cpu  kbit wait_ms  jobs waiting  runs open serving over filling slowed"
    );
    for row in &report.seconds {
        let counts = &row.counts;
        println!(
            "{:6} {:4} {:5} {:4} {:5} {:7} {:5} {:7} {:5} {:4} {:7} {:4} {:7} {:6}",
            row.second,
            row.host,
            row.epoch,
            row.processor_millis,
            row.read_kbit,
            row.wait_ms,
            counts.jobs,
            counts.waiting,
            counts.runs,
            counts.open_workers,
            counts.serving,
            counts.over_target,
            counts.filling,
            counts.slowed
        );
    }
}

fn print_measured(report: &SimulationReport) {
    let steps = &report.scheduler_steps;
    let measured: f64 = steps.iter().map(|step| step.took_us).sum();
    let costs: f64 = steps.iter().map(|step| step.costs_us as f64).sum();
    println!(
        "scheduler: {} steps, {:.2} s measured, {:.2} s by the cost model",
        steps.len(),
        measured / 1e6,
        costs / 1e6
    );
    for (name, us) in sandshelf_emulator::meter::fit(steps) {
        println!("  {name}: {us:.2} us");
    }
}

fn main() -> ExitCode {
    let options = match parse_arguments() {
        Ok(Some(options)) => options,
        Ok(None) => {
            println!("{USAGE}\ndays:");
            for (name, description) in DAYS {
                println!("  {name}: {description}");
            }
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("{error}\n{USAGE}");
            return ExitCode::from(2);
        }
    };
    let site = Deployment::from_name(&options.site);
    let site = site.map(|site| site.with_policies(options.policies));
    let plan = site.and_then(|site| day(&options.day, site));
    let Some(plan) = plan else {
        eprintln!("unknown site or day\n{USAGE}");
        return ExitCode::from(2);
    };
    let mut all_rules_hold = true;
    for seed in options.first..=options.last {
        let started_at = Instant::now();
        let mut world = EmulatedWorld::new(seed, plan.clone());
        if options.measure {
            world.measure_scheduler();
        }
        world.run();
        let report = world.report();
        println!(
            "{} {} seed {seed}, {:.1} s",
            options.site,
            options.day,
            started_at.elapsed().as_secs_f64()
        );
        println!("{report}");
        if options.seconds {
            print_seconds(&report);
        }
        if options.measure {
            print_measured(&report);
        }
        for (at, rule, what) in report.broken.iter().take(options.broken) {
            let what: String = what.chars().take(400).collect();
            println!("  {at} {rule:?}: {what}");
        }
        all_rules_hold &= report.broken.is_empty();
    }
    if all_rules_hold {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
