//! A child process that ends with its owner.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// Between two looks at a process that is to end.
const LOOK: Duration = Duration::from_millis(20);

/// A running process.
#[derive(Debug)]
pub struct Child {
    inner: std::process::Child,
    log: PathBuf,
}

/// The path of one of the project's binaries: beside the running one.
///
/// # Panics
///
/// If the running program's path is not known.
pub fn binary(name: &str) -> PathBuf {
    let exe = std::env::current_exe().expect("the program's own path");
    let mut dir = exe.parent().expect("a folder").to_owned();
    if dir.ends_with("deps") {
        dir.pop();
    }
    dir.join(name)
}

impl Child {
    /// Starts a binary of the project, its output in a log file.
    ///
    /// # Panics
    ///
    /// If it cannot be started: the workspace must be built first.
    pub fn start(name: &str, arguments: &[&Path], log: &Path) -> Self {
        let file = File::options()
            .create(true)
            .append(true)
            .open(log)
            .expect("a log file");
        let again = file.try_clone().expect("a log file");
        let path = binary(name);
        let inner = Command::new(&path)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::from(file))
            .stderr(Stdio::from(again))
            .spawn()
            .unwrap_or_else(|e| panic!("{}: {e}; build the workspace first", path.display()));
        Self {
            inner,
            log: log.to_owned(),
        }
    }

    /// What it wrote.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Processor time used so far.
    pub fn processor_time(&self) -> Duration {
        let path = format!("/proc/{}/schedstat", self.inner.id());
        let text = std::fs::read_to_string(path).unwrap_or_default();
        let first = text.split_whitespace().next();
        Duration::from_nanos(first.and_then(|n| n.parse().ok()).unwrap_or(0))
    }

    /// Memory that it holds, in kilobytes.
    pub fn resident_kb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.inner.id());
        let text = std::fs::read_to_string(path).unwrap_or_default();
        let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        let number = line.and_then(|l| l.split_whitespace().next());
        number.and_then(|n| n.parse().ok()).unwrap_or(0)
    }

    /// Tells it to stop.
    pub fn stop(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Freezes it.
    pub fn freeze(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Lets it go on.
    pub fn thaw(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Ends it at once.
    pub fn kill(&mut self) {
        drop(self.inner.kill());
        drop(self.inner.wait());
    }

    /// Waits until it has ended; whether it ended well in time.
    pub async fn ended(&mut self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if let Ok(Some(status)) = self.inner.try_wait() {
                return status.success();
            }
            tokio::time::sleep(LOOK).await;
        }
        false
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.inner.id().cast_signed());
        // A process that has ended takes no signal.
        let _ = kill(pid, signal);
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        self.kill();
    }
}
