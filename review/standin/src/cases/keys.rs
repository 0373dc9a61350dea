//! The last key of a config is taken away: what do the daemons do with requests that carry a key
//! that was taken away, a key that no config ever held, or none?

use std::io;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::record::Record;
use crate::world::{REVOKE, Sent, Work, World, config};

const FIRST: &str = "n2ctnfzs989anu6wsjnb";
const SECOND: &str = "anfqasnmgkcuyj8pjbvk";
const NEVER_HELD: &str = "zzzznever0held0key00";
const DAEMONS: u8 = 2;
const ROUNDS: usize = 3;

pub fn run(record: &Record, trouble: bool) -> io::Result<Verdict> {
    let work = Work {
        time: Duration::from_millis(30),
        answer_bytes: 800,
    };
    let all = config(1, &[FIRST], &[SECOND]);
    let world = World::start(record, DAEMONS, &all, work)?;
    for number in 0..usize::from(DAEMONS) {
        for (key, name) in [(FIRST, "first"), (SECOND, "second")] {
            let id = format!("before-{number}-{name}");
            if post(&world, number, &id, Some(key), "with a key in force") != Some(200) {
                return Err(io::Error::other(
                    "a request with a key in force isn't served",
                ));
            }
        }
        let id = format!("before-{number}-never");
        post(
            &world,
            number,
            &id,
            Some(NEVER_HELD),
            "with a key that no config held",
        );
        if !world.runs.of(&id).is_empty() {
            return Err(io::Error::other(
                "keys aren't checked before the disruption",
            ));
        }
    }
    world.put_config(
        &config(2, &[], &[SECOND]),
        "takes away the key of the first tenant",
    );
    thread::sleep(Duration::from_secs(2));
    if trouble {
        world.put_config(
            &config(3, &[], &[]),
            "takes away the key of the second tenant, the last one",
        );
    } else {
        world.put_config(
            &config(3, &[], &[SECOND]),
            "sends a version with the same keys",
        );
    }
    thread::sleep(REVOKE + Duration::from_secs(1));
    let (mut revoked, mut foreign) = (0, 0);
    for round in 0..ROUNDS {
        for number in 0..usize::from(DAEMONS) {
            let runs = |name: &str, key: Option<&str>, note: &str| {
                let id = format!("after-{round}-{number}-{name}");
                post(&world, number, &id, key, note);
                world.runs.of(&id).len()
            };
            revoked += runs(
                "first",
                Some(FIRST),
                "with a key taken away over 5 s before",
            );
            foreign += runs("never", Some(NEVER_HELD), "with a key that no config held");
            foreign += runs("none", None, "without a key");
            if trouble {
                revoked += runs(
                    "second",
                    Some(SECOND),
                    "with a key taken away over 5 s before",
                );
            } else if runs("second", Some(SECOND), "with a key in force") != 1 {
                return Err(io::Error::other(
                    "a request with a key in force isn't served",
                ));
            }
        }
    }
    record.line(format!(
        "seen      CONFIG: {revoked} requests ran that were sent more than revokeMs after the \
         acknowledgement of a config that removed their key"
    ));
    record.line(format!(
        "seen      besides, ROUTE: {foreign} requests ran with a key that no config has held, or none"
    ));
    Ok(if revoked > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

fn post(world: &World, number: usize, id: &str, key: Option<&str>, note: &str) -> Option<u16> {
    let request = Sent {
        id,
        method: "POST",
        path: "/post/2f",
        key,
        deadline: Duration::from_secs(4),
        note,
    };
    world.send(number, &request)
}
