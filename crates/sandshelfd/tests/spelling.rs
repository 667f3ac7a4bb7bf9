//! Checks that the platform's own names occur only in `platform/`, where they are decoded.

use std::fs;
use std::path::Path;

/// Names of the platform for which the crates have names of their own.
const PLATFORM_NAMES: [&str; 12] = [
    "rows-tx",
    "rows-get",
    "rows-feed",
    "run-start",
    "run-stop",
    "fencing_token",
    "schema_version",
    "expected_revision",
    "anti_affinity",
    "long_running",
    "mem_mb",
    "X-Sandshelf-",
];

fn search_folder(folder: &Path, found: &mut Vec<String>) {
    for entry in fs::read_dir(folder).expect("a readable folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            search_folder(&path, found);
        } else if path.extension().is_some_and(|ending| ending == "rs")
            && !path.ends_with("tests/spelling.rs")
        {
            let text = fs::read_to_string(&path).expect("a readable file");
            let named = PLATFORM_NAMES.iter().filter(|name| text.contains(**name));
            found.extend(named.map(|name| format!("{name} in {}", path.display())));
        }
    }
}

fn no_platform_names_in(folder: &str) {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut found = Vec::new();
    search_folder(&root.join(folder), &mut found);
    assert!(found.is_empty(), "move these to platform/: {found:#?}");
}

sandshelf_cases::cases! {
    crates_use_their_own_names => no_platform_names_in("crates");
}
