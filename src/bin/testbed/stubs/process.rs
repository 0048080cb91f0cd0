//! A gateway's process and its log.

use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use super::locked;

/// The log lines of a process, shared with the thread that reads them.
#[derive(Default)]
struct Log {
    lines: Mutex<Vec<String>>,
    line_added: Condvar,
}

/// A gateway's process. It is killed when dropped.
pub struct Process {
    pub child: Child,
    log: Arc<Log>,
}

impl Process {
    /// Starts a gateway on a folder that holds its configuration (`config.json`), state (`state`) and temporary files
    /// (`tmp`).
    ///
    /// # Errors
    /// Returns an error if the process cannot be started. The same holds for the two variants below.
    pub fn start(binary: &Path, folder: &Path) -> io::Result<Self> {
        Process::start_with(binary, folder, &[])
    }

    /// Starts a gateway with additional environment variables.
    pub fn start_with(binary: &Path, folder: &Path, variables: &[(&str, PathBuf)]) -> io::Result<Self> {
        Process::start_logging_to(binary, folder, variables, Stdio::piped())
    }

    /// Starts a gateway that logs to `log`. Its lines are only available here if `log` is [`Stdio::piped`].
    pub fn start_logging_to(
        binary: &Path,
        folder: &Path,
        variables: &[(&str, PathBuf)],
        log: Stdio,
    ) -> io::Result<Self> {
        let mut child = Command::new(binary)
            .envs(variables.iter().map(|(name, value)| (name, value)))
            .env("BALANCER_STATE", folder.join("state"))
            .env("TMPDIR", folder.join("tmp"))
            .env("BALANCER_CONFIG", folder.join("config.json"))
            .stderr(log)
            .spawn()?;
        let log = Arc::new(Log::default());
        if let Some(errors) = child.stderr.take() {
            let shared = log.clone();
            thread::spawn(move || {
                for line in BufReader::new(errors).lines().map_while(Result::ok) {
                    locked(&shared.lines).push(line);
                    shared.line_added.notify_all();
                }
            });
        }
        Ok(Process { child, log })
    }

    /// Waits until `count` lines of the log contain `text`, and returns the last of these lines.
    ///
    /// # Errors
    /// Returns all lines so far if there are fewer matching lines after `timeout`.
    pub fn wait_for_log_lines(
        &self,
        text: &str,
        count: usize,
        timeout: Duration,
    ) -> Result<String, Vec<String>> {
        let end = Instant::now() + timeout;
        let mut lines = locked(&self.log.lines);
        loop {
            let mut matching = lines.iter().filter(|line| line.contains(text));
            if let Some(line) = count.checked_sub(1).and_then(|before| matching.nth(before)) {
                return Ok(line.clone());
            }
            let remaining = end.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return Err(lines.clone());
            }
            let waited = self.log.line_added.wait_timeout(lines, remaining);
            lines = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// Returns whether any line logged so far contains `text`.
    pub fn has_logged(&self, text: &str) -> bool {
        locked(&self.log.lines).iter().any(|line| line.contains(text))
    }

    /// Returns all lines logged so far.
    pub fn lines(&self) -> Vec<String> {
        locked(&self.log.lines).clone()
    }

    /// Returns a value from the process's `/proc/PID/status`, in the unit of that file; `None` if it cannot be read.
    pub fn status_value(&self, name: &str) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(':'))?;
        line.split_whitespace().next()?.parse().ok()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the address after `address=` in a log line; `None` if there is none.
pub fn address_in(line: &str) -> Option<SocketAddr> {
    let (_, rest) = line.split_once("address=")?;
    rest.split_whitespace().next()?.parse().ok()
}
