//! Canonical bytes of a set: they don't depend on the order of declarations and decode to the same set. Also tests differences and that
//! the parser accepts or rejects any text.

use proptest::prelude::*;
use sandshelf_cases::cases;
use sandshelf_config::{difference, parse_set, ChangeKind, ConfigSet, SourceFile};

fn set(text: &str) -> ConfigSet {
    parse_set(&[SourceFile::new("set.jsonc", text)]).expect("the set is valid")
}

fn team(name: &str, cpu: u64) -> String {
    format!(r#"{{ "name": "{name}", "cpu_millis": {cpu}, "memory_mib": 10 }}"#)
}

fn teams(teams: &[String]) -> ConfigSet {
    set(&format!(r#"{{ "teams": [ {} ] }}"#, teams.join(", ")))
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 100, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn any_text_is_parsed_or_rejected(text in "[ -~\\n]{0,200}") {
        let file = SourceFile::new("any", &text);
        if let Err(faults) = parse_set(&[file]) {
            prop_assert!(!faults.faults.is_empty());
        }
    }

    #[test]
    fn sets_round_trip_unchanged(sizes in proptest::collection::vec(1_u64..1_000, 1..20)) {
        let list: Vec<String> = sizes.iter().enumerate().map(|(n, cpu)| team(&format!("t{n}"), *cpu)).collect();
        let first = teams(&list);
        let decoded = ConfigSet::from_bytes(&first.to_bytes()).expect("canonical bytes can be decoded");
        prop_assert_eq!(decoded.digest(), first.digest());
        let reversed: Vec<String> = list.iter().rev().cloned().collect();
        prop_assert_eq!(teams(&reversed).digest(), first.digest());
    }
}

fn differences_name_each_change() {
    let before = teams(&[team("a", 1), team("b", 1)]);
    let after = teams(&[team("a", 2), team("c", 1)]);
    let changes = difference(&before, &after);
    let kinds: Vec<(String, ChangeKind)> = changes
        .into_iter()
        .map(|change| (change.subject, change.change))
        .collect();
    assert_eq!(
        kinds,
        vec![
            ("team a".to_owned(), ChangeKind::Changed),
            ("team b".to_owned(), ChangeKind::Removed),
            ("team c".to_owned(), ChangeKind::Added),
        ]
    );
}

cases! {
    each_change_is_named => differences_name_each_change();
}
