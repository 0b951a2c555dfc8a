//! Fitting of lines.

use scale::fit::fit_line;

#[test]
fn an_exact_line_is_fitted_without_error_and_a_noisy_one_with_some() {
    let exact: Vec<(f64, f64)> = [1.0, 10.0, 50.0, 100.0].map(|x| (x, 3.0 + 0.25 * x)).to_vec();
    let fit = fit_line(&exact).expect("four points of different sizes");
    assert!((fit.slope - 0.25).abs() < 1e-12 && (fit.base - 3.0).abs() < 1e-9 && fit.error < 1e-9, "{fit:?}");
    assert!((fit.figure_at(200.0) - 53.0).abs() < 1e-9);
    let noisy: Vec<(f64, f64)> =
        exact.iter().zip([1.0, -1.0, 1.0, -1.0]).map(|(p, n)| (p.0, p.1 + n)).collect();
    let fit = fit_line(&noisy).expect("four points of different sizes");
    assert!(fit.error > 0.005 && (fit.slope - 0.25).abs() < 4.0 * fit.error, "{fit:?}");
}

#[test]
fn fewer_than_four_points_or_equal_sizes_give_no_line() {
    assert_eq!(fit_line(&[(1.0, 1.0), (2.0, 2.0), (3.0, 3.0)]), None);
    assert_eq!(fit_line(&[(5.0, 1.0); 4]), None);
}
