//! A short run of the fault soak; longer runs are started by hand.

use std::path::Path;
use std::time::Duration;

use thistlesill_platform_standin::soak::{self, Crashes};
use thistlesill_platform_standin::world::Size;

use crate::support::{claim, place};

/// The seed of the run in CI.
const SEED: u64 = 7;
/// Time during which faults are injected.
const TIME: Duration = Duration::from_secs(8);

/// Seeds that failed before, with the cause.
const CASES: [(u64, &str); 1] = [(
    114,
    "the soak itself did not start a daemon again that ended after the rest was healed",
)];

async fn run(net: u8, seed: u64, crashes: Crashes) -> Vec<String> {
    let program = Path::new(env!("CARGO_BIN_EXE_thistlesill-edge"));
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{seed}"));
    drop(std::fs::remove_dir_all(&folder));
    soak::run(program, &folder, net, seed, TIME, crashes).await
}

#[tokio::test(flavor = "multi_thread")]
async fn random_faults_break_no_promise() {
    claim(41);
    let faults = run(41, SEED, Crashes::Reset).await;
    assert!(faults.is_empty(), "{faults:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn random_faults_and_silent_crashes_break_no_promise() {
    claim(44);
    // The folder of a run has the name of its seed.
    let faults = run(44, SEED + 1, Crashes::Silent).await;
    assert!(faults.is_empty(), "{faults:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn targets_that_stand_still_together_break_no_promise() {
    let (program, folder) = place(43);
    let size = Size::with_many_groups(6);
    let violations = soak::run_standstills(program, &folder, 43, SEED, TIME, size, 40).await;
    assert!(violations.is_empty(), "{violations:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn seeds_that_once_failed_are_kept() {
    claim(42);
    for (seed, cause) in CASES {
        let faults = run(42, seed, Crashes::Reset).await;
        assert!(faults.is_empty(), "seed {seed} ({cause}): {faults:?}");
    }
}
