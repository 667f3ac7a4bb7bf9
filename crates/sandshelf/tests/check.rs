//! Runs the `sandshelf` binary: `check` reports every fault with its position and remedy; wrong command lines have their exit codes.

use std::fs;
use std::path::PathBuf;
use std::process::{Command, Output};

use sandshelf_cases::cases;

struct TestDirectory(PathBuf);

impl TestDirectory {
    fn new(name: &str, text: &str) -> Self {
        let unique = format!("sandshelf-check-{}-{name}", std::process::id());
        let path = std::env::temp_dir().join(unique);
        fs::create_dir_all(&path).expect("a directory can be made");
        fs::write(path.join("set.jsonc"), text).expect("a file can be written");
        Self(path)
    }
}

impl Drop for TestDirectory {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn sandshelf(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_sandshelf"))
        .args(arguments)
        .env_remove("SANDSHELF_PLATFORM")
        .output()
        .expect("the command starts")
}

/// Checks a set; expects exit code 3 and each of `parts` in the error output.
fn reports_faults(name: &str, text: &str, parts: &[&str]) {
    let directory = TestDirectory::new(name, text);
    let output = sandshelf(&["check", &directory.0.display().to_string()]);
    let printed = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(3), "{printed}");
    for part in parts {
        assert!(printed.contains(part), "no '{part}' in:\n{printed}");
    }
}

/// Checks a directory of the repository; expects no fault.
fn is_valid(path: &str) {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../../");
    let output = sandshelf(&["check", &format!("{root}{path}")]);
    let printed = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(0), "{printed}");
}

/// Runs the binary; expects the exit code and `part` in its output.
fn exits(arguments: &[&str], code: i32, part: &str) {
    let output = sandshelf(arguments);
    let printed = String::from_utf8_lossy(&output.stderr).into_owned()
        + &String::from_utf8_lossy(&output.stdout);
    assert_eq!(output.status.code(), Some(code), "{printed}");
    assert!(printed.contains(part), "no '{part}' in:\n{printed}");
}

const TEAM: &str = r#"{ "name": "t", "cpu_millis": 4000, "memory_mib": 4000 }"#;

cases! {
    auction_example_is_valid => is_valid("examples/auction");
    code_search_example_is_valid => is_valid("examples/code-search");
    broken_json_names_line_and_column => reports_faults(
        "json", "{\n  \"teams\": [,]\n}", &["set.jsonc:2:13:", "correct the JSON"]);
    unknown_field_is_named => reports_faults(
        "field", "{\n  \"team\": []\n}", &["set.jsonc:2:3: unknown field 'team'", "teams"]);
    duplicate_name_is_named => reports_faults(
        "twice", &format!("{{ \"teams\": [{TEAM},\n{TEAM}] }}"),
        &["set.jsonc:2:1: the team 't' is already declared"]);
    dangling_team_is_named => reports_faults(
        "dangling", r#"{ "jobs": [{ "name": "j", "team": "x", "cpu_millis": 1, "memory_mib": 1,
            "repeatable": true, "run_ms": 1 }] }"#, &["unknown team 'x'", "declare the team"]);
    negative_number_is_named => reports_faults(
        "negative", r#"{ "teams": [{ "name": "t", "cpu_millis": -4, "memory_mib": 1 }] }"#,
        &["-4 does not fit 'cpu_millis'"]);
    overflowing_number_is_named => reports_faults(
        "overflow", r#"{ "teams": [{ "name": "t", "cpu_millis": 99999999999999999999, "memory_mib": 1 }] }"#,
        &["99999999999999999999 does not fit"]);
    task_larger_than_quota_is_named => reports_faults(
        "large", &format!(r#"{{ "teams": [{TEAM}], "jobs": [{{ "name": "j", "team": "t", "cpu_millis": 5000,
            "memory_mib": 1, "repeatable": true, "run_ms": 1 }}] }}"#), &["larger than the whole quota of 't'"]);
    all_faults_are_reported_together => reports_faults(
        "many", "{ \"a\": 1,\n\"b\": 2,\n\"teams\": [ 7 ] }", &["'a'", "'b'", "3:12: a team", "3 fault(s)"]);
    missing_directory_is_named => exits(&["check", "/nowhere/at/all"], 3, "/nowhere/at/all");
    unknown_command_is_named => exits(&["frobnicate"], 2, "no command 'frobnicate'");
    missing_platform_is_named => exits(&["show"], 2, "--platform");
    help_is_printed => exits(&["--help"], 0, "Usage: sandshelf");
    version_is_printed => exits(&["--version"], 0, "sandshelf 0.");
}
