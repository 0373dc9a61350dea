//! x
/// x
pub fn report() -> String {
    String::new()
}
