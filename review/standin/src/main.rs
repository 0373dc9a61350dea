//! The review's cases as programs: `review-standin CASE RECORD`.
//!
//! Exit codes: 0 if the rule held, 1 if it was broken, 2 if the case couldn't run. With `TROUBLE=0`
//! in the environment the disruption is left out.

mod cases;
mod http;
mod json;
mod record;
mod server;
mod slow;
mod store;
mod world;

use std::path::Path;
use std::process::ExitCode;

use record::Record;

/// What a case found.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, path] = args.as_slice() else {
        eprintln!("usage: review-standin CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(Path::new(path)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{path}: {error}");
            return ExitCode::from(2);
        }
    };
    record.line(format!("case      {case}, disruption: {trouble}"));
    let found = match case.as_str() {
        "keys" => cases::keys::run(&record, trouble),
        "proof" => cases::proof::run(&record, trouble),
        "answer" => cases::answer::run(&record, trouble),
        _ => Err(std::io::Error::other("no such case")),
    };
    match found {
        Ok(Verdict::Held) => {
            record.line("verdict   the rule held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            record.line("verdict   the rule was broken");
            ExitCode::from(1)
        }
        Err(error) => {
            record.line(format!("verdict   the case couldn't run: {error}"));
            ExitCode::from(2)
        }
    }
}
