//! The audited module's limits: 950 non-blank lines, 110 characters a line, its types named at its head.

#[test]
fn module_keeps_its_limits() {
    let text = include_str!("../src/rules.rs");
    let lines = text.lines().filter(|line| !line.trim().is_empty()).count();
    assert!(lines <= 950, "src/rules.rs has {lines} non-blank lines");
    for (number, line) in text.lines().enumerate() {
        assert!(line.chars().count() <= 110, "src/rules.rs:{} is too long", number + 1);
    }
    assert!(text.lines().take(5).any(|line| line.contains("src/api.rs")), "the head names src/api.rs");
}
