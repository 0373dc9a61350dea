//! Many users come at once, each with a request body within the operator's limit. Does the daemon stay
//! within its memory, and answer what it has handed on?

use std::io::{self, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::http;
use crate::record::Record;
use crate::world::{HOST, Sent, Work, World, config};

const KEY: &str = "n2ctnfzs989anu6wsjnb";
/// Size of an upload; the config's `maxBodyBytes` is 4,194,304.
const UPLOAD: usize = 4_000_000;
/// Bytes that one consumer sends in a second, on a line of some 5 Mbit/s.
const UPLOAD_RATE: f64 = 600_000.0;
/// Uploads that begin in a second when many users come at once, and how many there are.
const BURST_PER_SECOND: u32 = 28;
/// Uploads that begin in a second otherwise.
const CALM_PER_SECOND: u32 = 4;
const UPLOADS: u32 = 84;
/// Consumers that send small requests one after the other, each on one kept channel.
const KEPT: usize = 8;
const DEADLINE: Duration = Duration::from_secs(8);
/// The most requests that may be lost like this at any time.
const ALLOWED: usize = 3;

pub fn run(record: &Record, trouble: bool) -> io::Result<Verdict> {
    let work = Work {
        time: Duration::from_millis(300),
        answer_bytes: 800,
    };
    let world = World::start(record, 2, &config(1, &[KEY], &[]), work)?;
    let killed = world.watch_memory(0);
    let ended = Arc::new(AtomicBool::new(false));
    let cut = Arc::new(Mutex::new(Vec::new()));
    let kept = (0..KEPT).map(|number| {
        let (address, record) = (world.caller_address(0), record.clone());
        let (ended, cut) = (ended.clone(), cut.clone());
        thread::spawn(move || {
            let lost = send_kept(address, number, &ended, &record);
            if let Some(id) = lost {
                cut.lock().expect("the lock is sound").push(id);
            }
        })
    });
    let kept: Vec<_> = kept.collect();
    thread::sleep(Duration::from_secs(1));
    let per_second = if trouble {
        BURST_PER_SECOND
    } else {
        CALM_PER_SECOND
    };
    let mut uploads = Vec::new();
    for number in 0..UPLOADS {
        let (address, record) = (world.caller_address(0), record.clone());
        uploads.push(thread::spawn(move || upload(address, number, &record)));
        thread::sleep(Duration::from_secs(1) / per_second);
    }
    let mut served = 0;
    for upload in uploads {
        served += usize::from(upload.join().is_ok_and(|status| status == Some(200)));
    }
    thread::sleep(Duration::from_secs(1));
    ended.store(true, Ordering::SeqCst);
    for thread in kept {
        drop(thread.join());
    }
    let cut = cut.lock().expect("the lock is sound");
    let lost = cut
        .iter()
        .filter(|id| !world.runs.of(id).is_empty())
        .count();
    let killed = killed.load(Ordering::SeqCst);
    record.line(format!(
        "seen      {served} uploads served; the daemon went over its memory: {killed}; LOST: {lost} \
         requests of kept channels ran and their channels closed without an answer"
    ));
    Ok(if lost > ALLOWED {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Sends requests on one channel until the end; returns the one whose channel closed unanswered.
fn send_kept(
    address: std::net::SocketAddr,
    number: usize,
    ended: &AtomicBool,
    record: &Record,
) -> Option<String> {
    let stream = TcpStream::connect(address).ok()?;
    for round in 0.. {
        if ended.load(Ordering::SeqCst) {
            return None;
        }
        let id = format!("kept-{number}-{round}");
        let request = Sent {
            id: &id,
            method: "POST",
            path: "/post/2f",
            key: Some(KEY),
            deadline: DEADLINE,
            note: "",
        };
        let stream = stream.try_clone().ok()?;
        let answer = http::exchange(stream, &request.encode(), DEADLINE, |_| {});
        match answer {
            Ok(answer) if answer.complete => {}
            Ok(_) | Err(_) => {
                record.line(format!(
                    "consumer  {id}: the channel closed without an answer"
                ));
                return Some(id);
            }
        }
    }
    None
}

fn upload(address: std::net::SocketAddr, number: u32, record: &Record) -> Option<u16> {
    let id = format!("upload-{number}");
    record.line(format!(
        "consumer  sends {id}: POST /post/2f, {UPLOAD} bytes"
    ));
    let head = format!(
        "POST /post/2f HTTP/1.1\r\nHost: {HOST}\r\nThistlesill-Attempt-Id: {id}\r\n\
         Thistlesill-Deadline-Ms: {}\r\nThistlesill-Key: {KEY}\r\nContent-Length: {UPLOAD}\r\n\r\n",
        DEADLINE.as_millis()
    );
    let sent = || -> io::Result<http::Answer> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.write_all(head.as_bytes())?;
        let (start, mut done) = (Instant::now(), 0);
        let part = [b'x'; 50_000];
        while done < UPLOAD {
            let count = part.len().min(UPLOAD - done);
            stream.write_all(&part[..count])?;
            done += count;
            let due = start + Duration::from_secs_f64(done as f64 / UPLOAD_RATE);
            thread::sleep(due.saturating_duration_since(Instant::now()));
        }
        http::exchange(stream, b"", DEADLINE, |_| {})
    };
    let told = match &sent() {
        Ok(answer) => {
            record.line(format!("consumer  {id}: answer {}", answer.status));
            return Some(answer.status);
        }
        Err(error) => format!("no answer: {error}"),
    };
    record.line(format!("consumer  {id}: {told}"));
    None
}
