//! A child process that is killed when its handle is dropped.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// Interval between two checks of whether a process has exited.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A child process with its log file, killed on drop.
#[derive(Debug)]
pub struct ChildProcess {
    inner: std::process::Child,
    log: PathBuf,
}

/// Returns the path of one of the project's binaries, which lies beside the running one.
///
/// # Panics
///
/// If the path of the running program is unknown.
pub fn binary(name: &str) -> PathBuf {
    let exe = std::env::current_exe().expect("the program's own path");
    let mut dir = exe.parent().expect("a folder").to_owned();
    if dir.ends_with("deps") {
        dir.pop();
    }
    dir.join(name)
}

impl ChildProcess {
    /// Starts a binary of the project and appends its output to a log file.
    ///
    /// # Panics
    ///
    /// If the binary cannot be started: the workspace must be built first.
    pub fn start(name: &str, arguments: &[&Path], log: &Path) -> Self {
        let file = File::options()
            .create(true)
            .append(true)
            .open(log)
            .expect("a log file");
        let stderr = file.try_clone().expect("a log file");
        let path = binary(name);
        let inner = Command::new(&path)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::from(file))
            .stderr(Stdio::from(stderr))
            .spawn()
            .unwrap_or_else(|e| panic!("{}: {e}; build the workspace first", path.display()));
        Self {
            inner,
            log: log.to_owned(),
        }
    }

    /// Returns the id of the process.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.inner.id()
    }

    /// Returns what the process has written to its log file.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Returns the CPU time used so far, from the scheduler's statistics of the main thread.
    pub fn cpu_time(&self) -> Duration {
        let path = format!("/proc/{}/schedstat", self.inner.id());
        let text = std::fs::read_to_string(path).unwrap_or_default();
        let first = text.split_whitespace().next();
        Duration::from_nanos(first.and_then(|n| n.parse().ok()).unwrap_or(0))
    }

    /// Returns the resident memory in kilobytes.
    pub fn resident_kb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.inner.id());
        let text = std::fs::read_to_string(path).unwrap_or_default();
        let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        let number = line.and_then(|l| l.split_whitespace().next());
        number.and_then(|n| n.parse().ok()).unwrap_or(0)
    }

    /// Sends SIGTERM, which asks the process to stop.
    pub fn stop(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Sends SIGSTOP, which suspends the process.
    pub fn suspend(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Sends SIGCONT, which resumes a suspended process.
    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        drop(self.inner.kill());
        drop(self.inner.wait());
    }

    /// Waits until the process has exited; returns whether it exited successfully within `limit`.
    pub async fn wait_for_exit(&mut self, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            if let Ok(Some(status)) = self.inner.try_wait() {
                return status.success();
            }
            tokio::time::sleep(EXIT_POLL_INTERVAL).await;
        }
        false
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.inner.id().cast_signed());
        // Fails if the process has exited.
        let _ = kill(pid, signal);
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
