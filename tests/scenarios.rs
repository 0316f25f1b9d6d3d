//! Both fronts against fake parties: runs every scenario in `tests/scenarios/` and compares its transcript
//! with a snapshot.

mod scenario;

#[test]
fn every_scenario_gives_its_transcript() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/scenarios");
    let mut names: Vec<String> = std::fs::read_dir(folder)
        .expect("the folder")
        .filter_map(|entry| {
            entry.expect("an entry").file_name().into_string().ok()?.strip_suffix(".txt").map(str::to_owned)
        })
        .collect();
    names.sort();
    assert!(!names.is_empty(), "no scenario was found");
    for name in names {
        let script = std::fs::read_to_string(format!("{folder}/{name}.txt")).expect("a script");
        insta::with_settings!({ prepend_module_to_snapshot => false, omit_expression => true }, {
            insta::assert_snapshot!(name.clone(), scenario::run_script(&script));
        });
    }
}
