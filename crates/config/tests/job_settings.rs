//! The settings of decisions under load, advice and machines: what is read, and which faults are named.

use sandshelf_config::{parse_job_settings, JobSettings, SourceFile};
use sandshelf_model::{LoadPolicies, LoadPolicy};

const REQUIRED: &str = r#""host": "entry-1", "hall": "north", "caller_address": "127.0.0.1:1",
    "ready_address": "127.0.0.1:2", "store_address": "127.0.0.1:3""#;

fn parse(more: &str) -> Result<JobSettings, String> {
    let text = format!("{{ {REQUIRED}{more} }}");
    let file = SourceFile::new("settings.jsonc", &text);
    parse_job_settings(&file).map_err(|faults| faults.to_string())
}

macro_rules! refused {
    ($($name:ident: $text:expr => $fault:expr;)*) => {
        $(
            /// Guards against a setting with an error that is taken as if it were absent.
            #[test]
            fn $name() {
                let faults = parse($text).expect_err("the settings have a fault");
                assert!(faults.contains($fault), "{faults}");
            }
        )*
    };
}

refused! {
    unknown_policy: r#", "load_policies": ["copys"]"# => "copys is no load policy";
    policy_that_is_no_text: r#", "load_policies": [1]"# => "the value is no load policy";
    policies_that_are_no_list: r#", "load_policies": "copies""# => "is not a list";
    advice_without_port: r#", "advice_address": "10.0.0.1""# => "is no address";
    machine_api_without_port: r#", "machine_api_address": "10.0.0.1""# => "is no address";
    negative_rate: r#", "machine_api_address": "10.0.0.1:1", "machine_reads_per_s": -1"# => "does not fit";
}

/// Guards against decisions that take effect on deployments whose settings don't name them.
#[test]
fn nothing_is_switched_on_by_default() {
    let settings = parse("").expect("the settings are valid");
    assert_eq!(settings.load_policies, LoadPolicies::default());
    assert_eq!(settings.advice_address, None);
    assert_eq!(settings.machine_api, None);
}

/// Guards against a policy whose name is not read.
#[test]
fn each_policy_is_switched_on_by_its_name() {
    for policy in LoadPolicy::ALL {
        let settings = parse(&format!(r#", "load_policies": ["{}"]"#, policy.name()));
        let settings = settings.expect("the settings are valid");
        let expected = LoadPolicies::default().with(policy);
        assert_eq!(settings.load_policies, expected, "{policy:?}");
    }
}

/// Guards against rates and durations that are read in another unit than the settings have.
#[test]
fn the_machine_api_has_rates_and_durations() {
    let settings = parse(
        r#", "machine_api_address": "10.0.0.1:80", "machine_reads_per_s": 60.0, "machine_orders_per_s": 0.5,
        "machine_move_s": 1.5, "machine_upkeep_s": 2, "machine_holder_lease_ms": 3000, "machine_fencing_checked": true"#,
    );
    let api = settings.expect("the settings are valid").machine_api;
    let api = api.expect("its address is set");
    assert_eq!((api.millireads_per_s, api.milliorders_per_s), (60_000, 500));
    assert_eq!((api.move_ms, api.upkeep_ms), (1_500, 2_000));
    assert_eq!((api.holder_lease_ms, api.fencing_checked), (3_000, true));
}
