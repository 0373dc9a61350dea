//! Measures what the cores' work costs at several sizes, in time and bytes, for
//! `docs/CAPACITY.md`.

mod cores;
mod fit;
mod messages;
mod settings;

pub use fit::format_line;
pub use fit::{Point, Slope};

/// Measures all slopes and returns them as text, one line per slope.
pub fn report() -> String {
    let mut out = String::new();
    out.push_str("processor time of the cores, per event\n");
    for slope in cores::slopes() {
        out.push_str(&format_line(&slope));
    }
    out.push_str("\nbytes of messages\n");
    for slope in messages::slopes() {
        out.push_str(&format_line(&slope));
    }
    out.push_str("\nsettings\n");
    for slope in settings::slopes() {
        out.push_str(&format_line(&slope));
    }
    out
}
