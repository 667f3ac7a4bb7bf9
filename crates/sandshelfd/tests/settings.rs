//! Runs the `sandshelfd` binary with `--check`: it reports every fault of the settings before it exits.

use std::fs;
use std::process::Command;

use sandshelf_cases::cases;

/// Runs `--check` on settings; expects the exit code and each of `parts` in the printed output.
fn check(name: &str, text: &str, code: i32, parts: &[&str]) {
    let unique = format!("sandshelfd-check-{}-{name}.jsonc", std::process::id());
    let path = std::env::temp_dir().join(unique);
    fs::write(&path, text).expect("a file can be written");
    let output = Command::new(env!("CARGO_BIN_EXE_sandshelfd"))
        .args(["--settings", &path.display().to_string(), "--check"])
        .output()
        .expect("the daemon starts");
    let _ = fs::remove_file(&path);
    let printed = String::from_utf8_lossy(&output.stderr).into_owned()
        + &String::from_utf8_lossy(&output.stdout);
    assert_eq!(output.status.code(), Some(code), "{printed}");
    for part in parts {
        assert!(printed.contains(part), "no '{part}' in:\n{printed}");
    }
}

const ADDRESSES: &str = r#""caller_address": "127.0.0.1:0", "operator_address": "127.0.0.1:0",
    "peer_address": "127.0.0.1:0", "platform_address": "127.0.0.1:4000""#;

cases! {
    task_lease_shorter_than_a_takeover_is_reported => check(
        "short", &format!("{{ \"host\": \"e\", \"hall\": \"h\", {ADDRESSES}, \"task_lease_ms\": 2000 }}"),
        2, &["task_lease_ms 2000", "raise task_lease_ms"]);
    complete_settings_are_valid => check(
        "sound", &format!("{{ // ours\n \"host\": \"entry-1\", \"hall\": \"north\", {ADDRESSES} }}"), 0, &["sound"]);
    host_name_as_address_is_reported => check(
        "name", &format!("{{ \"host\": \"e\", \"hall\": \"h\",\n{} }}", ADDRESSES.replace("127.0.0.1:4000", "store:4000")),
        2, &["'store:4000' is no address for 'platform_address'", "IP-NUMBER:PORT"]);
    every_missing_field_is_reported => check(
        "missing", "{}", 2, &["'host'", "'hall'", "'caller_address'", "'platform_address'"]);
    unknown_setting_is_reported => check(
        "unknown", &format!("{{ \"host\": \"e\", \"hall\": \"h\", {ADDRESSES},\n\"tik_ms\": 5 }}"),
        2, &[":3:1: unknown field 'tik_ms'", "tick_ms"]);
    tick_too_long_for_the_lease_is_reported => check(
        "tick", &format!("{{ \"host\": \"e\", \"hall\": \"h\", {ADDRESSES}, \"shard_lease_ms\": 600, \"tick_ms\": 400 }}"),
        2, &["tick_ms 400", "raise shard_lease_ms"]);
    limits_of_the_process_out_of_range_are_reported => check(
        "limits", &format!("{{ \"host\": \"e\", \"hall\": \"h\", {ADDRESSES}, \"memory_mb\": 8, \"max_descriptors\": 64 }}"),
        2, &["8 does not fit 'memory_mb'", "64 does not fit 'max_descriptors'"]);
}
