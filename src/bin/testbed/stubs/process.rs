//! A gateway's process and its log.

use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use super::locked;

/// The lines that a process has logged.
#[derive(Default)]
struct Log {
    lines: Mutex<Vec<String>>,
    more: Condvar,
}

/// A gateway's process. It is killed when dropped.
pub struct Process {
    pub child: Child,
    log: Arc<Log>,
}

impl Process {
    /// Starts a gateway on the configuration, the state and the temporary files of a folder.
    ///
    /// # Errors
    /// The process cannot be started; the same holds for the variants below.
    pub fn start(binary: &Path, folder: &Path) -> io::Result<Self> {
        Process::start_with(binary, folder, &[])
    }

    /// Starts it with further variables in its environment.
    pub fn start_with(binary: &Path, folder: &Path, variables: &[(&str, PathBuf)]) -> io::Result<Self> {
        Process::start_logging_to(binary, folder, variables, Stdio::piped())
    }

    /// Starts it with its log elsewhere; only one that is piped here is read.
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
                    shared.more.notify_all();
                }
            });
        }
        Ok(Process { child, log })
    }

    /// Waits for so many lines of the log with some words, and returns the last of them.
    ///
    /// # Errors
    /// All lines, if there are not so many in time.
    pub fn wait_for_log_lines(
        &self,
        words: &str,
        times: usize,
        timeout: Duration,
    ) -> Result<String, Vec<String>> {
        let end = Instant::now() + timeout;
        let mut lines = locked(&self.log.lines);
        loop {
            let mut matching = lines.iter().filter(|line| line.contains(words));
            if let Some(line) = times.checked_sub(1).and_then(|before| matching.nth(before)) {
                return Ok(line.clone());
            }
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(lines.clone());
            }
            let waited = self.log.more.wait_timeout(lines, left);
            lines = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// Whether a line of the log so far has some words.
    pub fn has_logged(&self, words: &str) -> bool {
        locked(&self.log.lines).iter().any(|line| line.contains(words))
    }

    /// All lines of the log so far.
    pub fn lines(&self) -> Vec<String> {
        locked(&self.log.lines).clone()
    }

    /// A value in the process's `/proc` status, in the unit that it has there.
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

/// The address in a line of the log.
pub fn address_in(line: &str) -> Option<SocketAddr> {
    let (_, rest) = line.split_once("address=")?;
    rest.split_whitespace().next()?.parse().ok()
}
