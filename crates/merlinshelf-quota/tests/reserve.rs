//! Drawing calls from a host's reserve file.

use merlinshelf_quota::reserve::{DrawError, draw};

const DRIFT: f64 = 0.02;
const RESERVE: u32 = 3;

/// Draws as often as possible for five seconds; returns the file and the times of the drawn calls.
fn draw_for_five_seconds() -> (Vec<u8>, Vec<f64>) {
    let mut bytes = Vec::new();
    let mut drawn_at = Vec::new();
    for tick in 0..500 {
        let now = 100.0 + f64::from(tick) * 0.01;
        match draw(&bytes, now, RESERVE, DRIFT) {
            Ok(next) => {
                bytes = next;
                drawn_at.push(now);
            }
            Err(error) => assert_eq!(error, DrawError::Exhausted),
        }
    }
    (bytes, drawn_at)
}

#[test]
fn no_window_exceeds_the_reserve() {
    let (_, drawn_at) = draw_for_five_seconds();
    assert!(
        drawn_at.windows(4).all(|four| four[3] - four[0] > 1.05),
        "{drawn_at:?}"
    );
    assert!(drawn_at.len() >= 12, "{drawn_at:?}");
}

#[test]
fn a_corrupt_file_counts_as_spent() {
    let (bytes, _) = draw_for_five_seconds();
    let truncated = &bytes[..bytes.len() - 3];
    let error = draw(truncated, 105.0, RESERVE, DRIFT).expect_err("the file is corrupt");
    let DrawError::Corrupt { replacement } = error else {
        panic!("{error}");
    };
    assert!(draw(&replacement, 105.5, RESERVE, DRIFT).is_err());
    assert!(draw(&replacement, 106.1, RESERVE, DRIFT).is_ok());
    assert!(draw(&f64::NAN.to_le_bytes(), 5.0, 1, DRIFT).is_err());
}

#[test]
fn times_from_before_the_last_reboot_do_not_count() {
    assert!(draw(&1e9_f64.to_le_bytes(), 5.0, 1, DRIFT).is_ok());
}
