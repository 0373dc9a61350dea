//! Tests that the explanation of a refusal holds little memory. Alone in its process, since the peak is
//! that of the process: the backtrace of another test that fails would count.
#![cfg(target_os = "linux")]

use thistlesill_cli::refusal::explain;

const REFUSED: &str = "t=300.000 ev=request id=b-1 outcome=overloaded status=503 route=chat \
    urgency=1.0 decision=refused ground=no_room begin_ms=2000 aim_ms=250 caller=00ab daemon=edge-1 \
    hall=north back_ms=300 booked=true took_ms=0";

/// Guards against all requests of the files being held in memory to find the few of one caller: an
/// hour of log lines of a fleet has millions.
#[test]
fn only_the_attempts_of_the_caller_are_held() {
    let peak_kib = || -> u64 {
        let status = std::fs::read_to_string("/proc/self/status").expect("is readable");
        let mut lines = status.lines();
        let peak = lines.find_map(|line| line.strip_prefix("VmHWM:"));
        let number = peak.and_then(|text| text.split_whitespace().next());
        number.expect("is there").parse().expect("is a number")
    };
    let other = REFUSED.replace("b-1", "x-1").replace("00ab", "00cd");
    let later = REFUSED.replace("b-1", "b-7").replace("t=300", "t=301");
    let lines = std::iter::repeat_n(&*other, 100_000).chain([&*later, REFUSED]);
    let before = peak_kib();
    let explanation = explain("b-1", lines).expect("the id is known");
    // The kernel sums the counts of its processors approximately, and records the peak only when
    // memory is unmapped, so that a later value may be slightly smaller.
    let grown = peak_kib().saturating_sub(before);
    let ids = explanation.attempts.iter().map(|attempt| &*attempt.id);
    assert_eq!(ids.collect::<Vec<_>>(), ["b-1", "b-7"]);
    assert!(grown < 8 * 1024, "{grown} KiB more");
}
