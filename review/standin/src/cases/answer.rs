//! A daemon is told to stop while a consumer on a slow line reads an answer. Does the consumer get all
//! of it, within the time that the platform grants?

use std::io;
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::http;
use crate::record::Record;
use crate::slow::connect_small;
use crate::world::{GRACE, Sent, Signal, Work, World, config};

const KEY: &str = "n2ctnfzs989anu6wsjnb";
const ANSWER_BYTES: usize = 262_000;
/// Bytes that the consumer's line brings in a second: the answer takes 7.2 s, less than `graceS`, than
/// the consumer's deadline and than the route's timeout.
const BYTES_PER_SECOND: f64 = 36_500.0;
const RECEIVE_BUFFER: i32 = 4_096;
const DEADLINE: Duration = Duration::from_secs(8);

pub fn run(record: &Record, trouble: bool) -> io::Result<Verdict> {
    let work = Work {
        time: Duration::from_millis(30),
        answer_bytes: ANSWER_BYTES,
    };
    let world = World::start(record, 2, &config(1, &[KEY], &[]), work)?;
    let request = Sent {
        id: "slow-line",
        method: "POST",
        path: "/post/2f",
        key: Some(KEY),
        deadline: DEADLINE,
        note: "and reads the answer at 36.5 KB a second",
    };
    let stream = connect_small(world.caller_address(0), RECEIVE_BUFFER)?;
    record.line(format!(
        "consumer  sends {} to {}: POST {}, {}",
        request.id, world.daemons[0].name, request.path, request.note
    ));
    let began = Instant::now();
    let mut first_part = None;
    let mut has_ended = false;
    let answer = http::exchange(stream, &request.encode(), DEADLINE, |read| {
        let start = *first_part.get_or_insert_with(|| {
            if trouble {
                world.signal(0, Signal::Term);
            }
            Instant::now()
        });
        if !has_ended && world.has_ended(0) {
            has_ended = true;
            record.line(format!("consumer  slow-line: {read} bytes read so far"));
        }
        let due = start + Duration::from_secs_f64(read as f64 / BYTES_PER_SECOND);
        thread::sleep(due.saturating_duration_since(Instant::now()));
    })?;
    let took = began.elapsed().as_millis();
    let seal = answer.header("thistlesill-response-seal").unwrap_or("none");
    let length = answer.header("content-length").unwrap_or("none");
    record.line(format!(
        "consumer  slow-line: answer {}, seal {seal}, Content-Length {length}, {} of {ANSWER_BYTES} \
         bytes read, complete: {}, {took} ms after it was sent",
        answer.status,
        answer.body.len(),
        answer.complete
    ));
    if trouble && !world.wait_for_end(0, GRACE) {
        return Err(io::Error::other("the daemon did not end within graceS"));
    }
    let runs = world.runs.of(request.id).len();
    if runs != 1 || answer.status != 200 {
        return Err(io::Error::other("the request was not served"));
    }
    record.line(format!(
        "seen      LOST: {} requests that were read and passed on to a server have no complete answer",
        u32::from(!answer.complete)
    ));
    Ok(if answer.complete {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}
