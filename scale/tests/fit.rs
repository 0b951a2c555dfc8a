//! Slopes.

use scale::fit::line;

#[test]
fn a_line_is_found_with_no_error_and_a_noisy_one_with_some() {
    let exact: Vec<(f64, f64)> = [1.0, 10.0, 50.0, 100.0].map(|x| (x, 3.0 + 0.25 * x)).to_vec();
    let fit = line(&exact).expect("four sizes");
    assert!((fit.slope - 0.25).abs() < 1e-12 && (fit.base - 3.0).abs() < 1e-9 && fit.error < 1e-9, "{fit:?}");
    assert!((fit.at(200.0) - 53.0).abs() < 1e-9);
    let noisy: Vec<(f64, f64)> =
        exact.iter().zip([1.0, -1.0, 1.0, -1.0]).map(|(p, n)| (p.0, p.1 + n)).collect();
    let fit = line(&noisy).expect("four sizes");
    assert!(fit.error > 0.005 && (fit.slope - 0.25).abs() < 4.0 * fit.error, "{fit:?}");
}

#[test]
fn fewer_than_four_sizes_or_all_the_same_make_no_slope() {
    assert_eq!(line(&[(1.0, 1.0), (2.0, 2.0), (3.0, 3.0)]), None);
    assert_eq!(line(&[(5.0, 1.0); 4]), None);
}
