//! Both fronts on a fake network: runs every scenario in `tests/scenarios/` and compares its transcript with
//! the snapshot in `tests/snapshots/`.

mod scenario;

#[test]
fn transcripts_of_scenarios_match_their_snapshots() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/scenarios");
    let mut names: Vec<String> = std::fs::read_dir(folder)
        .expect("tests/scenarios is readable")
        .filter_map(|entry| {
            entry
                .expect("the folder entry is readable")
                .file_name()
                .into_string()
                .ok()?
                .strip_suffix(".txt")
                .map(str::to_owned)
        })
        .collect();
    names.sort();
    assert!(!names.is_empty(), "no scenario in {folder}");
    for name in names {
        let script =
            std::fs::read_to_string(format!("{folder}/{name}.txt")).expect("the scenario is readable");
        insta::with_settings!({ prepend_module_to_snapshot => false, omit_expression => true }, {
            insta::assert_snapshot!(name.clone(), scenario::run_script(&script));
        });
    }
}
