//! A daemon is killed and started again while the daemon that it asks for proofs stands still. The
//! answers to the first life's questions then reach the second life. Does a key that is taken away
//! afterwards, while the daemon is cut off, go out of force there in time?

use std::io;
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::record::Record;
use crate::world::{REVOKE, Sent, Signal, Work, World, config};

const FIRST: &str = "n2ctnfzs989anu6wsjnb";
const SECOND: &str = "anfqasnmgkcuyj8pjbvk";
/// The daemon that reads the store: the first one by name.
const READER: usize = 0;
const ASKER: usize = 1;
/// How long the daemons run before anything happens.
const CALM: Duration = Duration::from_secs(15);
/// How long the reader stands still; the sheets name 3.5 s.
const FREEZE: Duration = Duration::from_millis(3_500);
const ROUNDS: usize = 8;

pub fn run(record: &Record, trouble: bool) -> io::Result<Verdict> {
    let work = Work {
        time: Duration::from_millis(30),
        answer_bytes: 800,
    };
    let all = config(1, &[FIRST], &[SECOND]);
    let mut world = World::start(record, 2, &all, work)?;
    thread::sleep(CALM);
    if trouble {
        world.signal(READER, Signal::Stop);
        let woken = Instant::now() + FREEZE;
        thread::sleep(Duration::from_millis(1_200));
        world.signal(ASKER, Signal::Kill);
        world.start_daemon(ASKER)?;
        thread::sleep(woken.saturating_duration_since(Instant::now()));
        world.signal(READER, Signal::Cont);
    } else {
        thread::sleep(FREEZE);
    }
    thread::sleep(Duration::from_secs(2));
    world.wait_until_ready(ASKER)?;
    if post(&world, "before", "with a key in force") != Some(200) {
        return Err(io::Error::other(
            "a request with a key in force isn't served",
        ));
    }
    // From here on the asker is cut off: from the store, and from the only other daemon.
    record.line("link      the way of the second daemon to the store is cut");
    world.daemons[ASKER].way.cut();
    world.signal(READER, Signal::Kill);
    let acknowledged = world.put_config(
        &config(2, &[FIRST], &[]),
        "takes away the second tenant's key",
    );
    let due = acknowledged + REVOKE + Duration::from_millis(300);
    thread::sleep(due.saturating_duration_since(Instant::now()));
    let mut ran = 0;
    for round in 0..ROUNDS {
        let id = format!("after-{round}");
        let since = acknowledged.elapsed().as_millis();
        let note = format!("with a key taken away {since} ms before");
        post(&world, &id, &note);
        ran += world.runs.of(&id).len();
        thread::sleep(Duration::from_millis(200));
    }
    record.line(format!(
        "ready     the second daemon says it is ready: {}",
        world.is_ready(ASKER)
    ));
    record.line(format!(
        "seen      CONFIG: {ran} requests ran that were sent more than revokeMs after the \
         acknowledgement of a config that removed their key"
    ));
    Ok(if ran > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

fn post(world: &World, id: &str, note: &str) -> Option<u16> {
    let request = Sent {
        id,
        method: "POST",
        path: "/post/2f",
        key: Some(SECOND),
        deadline: Duration::from_secs(4),
        note,
    };
    world.send(ASKER, &request)
}
