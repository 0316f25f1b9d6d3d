use super::Outcome;

#[test]
fn quantiles_match_the_recorded_times_up_to_several_minutes() {
    let detection_s = vec![0.05, 2.15, 700.0];
    let mut outcome = Outcome { members: 5, seed: 1, killed: 3, detection_s, ..Outcome::default() };
    // The histogram keeps three significant digits.
    for (quantile, expected) in [(0.3, 0.05), (0.5, 2.15), (0.99, 700.0)] {
        let found = outcome.detection_quantile(quantile).expect("recorded detection times");
        assert!((found / expected - 1.0).abs() < 0.002, "quantile {quantile}: {found}, expected {expected}");
    }
    outcome.detection_s.clear();
    assert_eq!(outcome.detection_quantile(0.5), None);
}
