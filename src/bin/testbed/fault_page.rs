//! The page of shared memory that configures which system calls of a gateway the fault shim (`fault-shim/`) fails, and
//! the offset of the gateway's wall clock.
//!
//! The page is a file that the shim maps. A test or the soak writes to the file to change the faults of a running
//! process, and reads from it how often each call was made and had a fault. This module owns the page's layout and the
//! functions that write and read the file. The shim includes this module only for the layout.
//!
//! Layout, in little-endian words of 4 bytes: the seed (two words), the offset of the wall clock in milliseconds (two
//! words), and an entry for each of [`Call::ALL`], in that order. An entry is: rate, budget, skipped, calls, failures,
//! and the errors.

use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::Path;

/// The environment variable that names the page's file to the shim.
pub const PAGE_VARIABLE: &str = "FAULT_PAGE";
/// The maximum number of errors for one call. Each failure draws one of them at random.
pub const MAX_ERRORS: usize = 8;
/// The budget of a fault without a limit: it lasts until it is cleared.
pub const UNLIMITED: u32 = u32::MAX;
/// The rate at which every call fails. A lower rate fails the fraction `rate / ALWAYS` of the calls.
pub const ALWAYS: u32 = 1 << 16;

/// The size of a word in bytes.
pub const WORD_BYTES: usize = size_of::<u32>();
/// The byte offset of the seed.
const SEED_BYTE: usize = 0;
/// The byte offset of the wall clock's offset.
pub const WALL_OFFSET_BYTE: usize = 2 * WORD_BYTES;
/// The number of words before the first entry.
const HEADER_WORDS: usize = 4;

/// Positions of the words in an entry, counted from its beginning.
pub const RATE_WORD: usize = 0;
pub const BUDGET_WORD: usize = 1;
pub const SKIPPED_WORD: usize = 2;
pub const CALLS_WORD: usize = 3;
pub const FAILURES_WORD: usize = 4;
pub const ERRORS_WORD: usize = 5;
/// The number of words in an entry.
const ENTRY_WORDS: usize = ERRORS_WORD + MAX_ERRORS;

/// Groups of system calls that can fail. Calls on different kinds of descriptors or files are separate groups.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(usize)]
pub enum Call {
    Accept,
    Socket,
    Bind,
    Listen,
    Connect,
    /// The result of a non-blocking `connect`, as `SO_ERROR` reports it.
    ConnectResult,
    SetSocketOption,
    GetSocketName,
    Shutdown,
    /// `read`, `recv` and `recvmsg` on a TCP connection.
    TcpRead,
    /// `write`, `writev`, `send` and `sendmsg` on a TCP connection.
    TcpWrite,
    /// `read`, `recv` and `recvmsg` on a Unix socket.
    UnixRead,
    /// `write`, `writev`, `send` and `sendmsg` on a Unix socket.
    UnixWrite,
    SocketPair,
    EpollCreate,
    EpollControl,
    EpollWait,
    EventFd,
    /// Opening a file of the state folder, for reading or writing.
    StateOpen,
    StateRead,
    StateWrite,
    StateTruncate,
    StateSync,
    StateRename,
    StateUnlink,
    StateLock,
    /// Opening or reading the configuration.
    ConfigOpen,
    ConfigRead,
}

impl Call {
    /// Used in place of an error number: only a part of the bytes is read or written, without an error. `sendmsg`,
    /// `recvmsg` and calls that transfer no bytes are made as without a fault.
    pub const SHORT: i32 = -1;
    /// Used in place of an error number: a torn write. `write` and `pwrite64` write half of the bytes and then fail
    /// with `ENOSPC`. Other transfers fail with it and transfer nothing; other calls are made as without a fault.
    pub const TORN: i32 = -2;
    /// Used in place of an error number: the process is killed before the call, or after half of the bytes are written.
    pub const KILLED_BEFORE: i32 = -3;
    /// Used in place of an error number: the process is killed after the call, before the call returns. It applies to
    /// transfers and renames; in `read` and `recv` the process is killed before the call. Other calls are made as
    /// without a fault.
    pub const KILLED_AFTER: i32 = -4;

    /// All calls, in the order of their entries.
    pub const ALL: [Call; 28] = [
        Call::Accept,
        Call::Socket,
        Call::Bind,
        Call::Listen,
        Call::Connect,
        Call::ConnectResult,
        Call::SetSocketOption,
        Call::GetSocketName,
        Call::Shutdown,
        Call::TcpRead,
        Call::TcpWrite,
        Call::UnixRead,
        Call::UnixWrite,
        Call::SocketPair,
        Call::EpollCreate,
        Call::EpollControl,
        Call::EpollWait,
        Call::EventFd,
        Call::StateOpen,
        Call::StateRead,
        Call::StateWrite,
        Call::StateTruncate,
        Call::StateSync,
        Call::StateRename,
        Call::StateUnlink,
        Call::StateLock,
        Call::ConfigOpen,
        Call::ConfigRead,
    ];

    /// Returns the word offset of the call's entry.
    pub const fn entry_word(self) -> usize {
        HEADER_WORDS + self as usize * ENTRY_WORDS
    }
}

/// The size of the page in bytes.
pub const PAGE_BYTES: usize = WORD_BYTES * (HEADER_WORDS + Call::ALL.len() * ENTRY_WORDS);

/// A fault: how often a call fails, and with which errors.
#[derive(Clone, Copy, Debug)]
pub struct Fault {
    /// The rate at which calls fail, from 0 to [`ALWAYS`].
    pub rate: u32,
    /// The maximum number of calls that fail, or [`UNLIMITED`].
    pub budget: u32,
    /// The number of calls that would fail at this rate but succeed, before the first failure.
    pub skipped: u32,
    /// Error numbers, or the negative constants of [`Call`]; unused elements are 0.
    pub errors: [i32; MAX_ERRORS],
}

impl Fault {
    /// Fails every call with one of these errors, drawn at random. Errors beyond [`MAX_ERRORS`] are ignored.
    pub fn always(errors: &[i32]) -> Self {
        let mut padded = [0; MAX_ERRORS];
        padded.iter_mut().zip(errors).for_each(|(unused, error)| *unused = *error);
        Fault { rate: ALWAYS, budget: UNLIMITED, skipped: 0, errors: padded }
    }

    /// Fails this ratio of the calls, from 0 to 1.
    pub fn with_ratio(self, ratio: f64) -> Self {
        Fault { rate: (ratio * f64::from(ALWAYS)) as u32, ..self }
    }

    /// Skips the first `skipped` calls that would fail.
    pub fn after(self, skipped: u32) -> Self {
        Fault { skipped, ..self }
    }

    /// Limits the number of failures to `budget`.
    pub fn times(self, budget: u32) -> Self {
        Fault { budget, ..self }
    }
}

/// The shim's counts for one group of calls since the page was created.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallCounts {
    pub calls: u32,
    /// The number of calls for which a fault was drawn.
    pub failures: u32,
}

/// The page's file, for tests and the soak. The methods return an error if the file cannot be read or written.
pub struct FaultPage(File);

impl FaultPage {
    /// Creates a page without faults; an existing file is truncated first.
    pub fn create(path: &Path, seed: u64) -> io::Result<Self> {
        let file = OpenOptions::new().read(true).write(true).create(true).truncate(true).open(path)?;
        file.set_len(PAGE_BYTES as u64)?;
        file.write_all_at(&seed.to_le_bytes(), SEED_BYTE as u64)?;
        Ok(FaultPage(file))
    }

    /// Sets the offset of the process's wall clock from the machine's; a negative offset sets it back.
    pub fn step_wall_clock(&self, offset_ms: i64) -> io::Result<()> {
        self.0.write_all_at(&offset_ms.to_le_bytes(), WALL_OFFSET_BYTE as u64)
    }

    /// Sets the fault of a call, which takes effect at once.
    pub fn set(&self, call: Call, fault: Fault) -> io::Result<()> {
        let errors: Vec<u8> = fault.errors.iter().flat_map(|error| error.to_le_bytes()).collect();
        let limits = [fault.budget.to_le_bytes(), fault.skipped.to_le_bytes()].concat();
        // The rate is written last, because the fault takes effect with it.
        self.0.write_all_at(&errors, byte_of(call, ERRORS_WORD))?;
        self.0.write_all_at(&limits, byte_of(call, BUDGET_WORD))?;
        self.0.write_all_at(&fault.rate.to_le_bytes(), byte_of(call, RATE_WORD))
    }

    /// Clears the fault of a call, so that it succeeds again.
    pub fn clear(&self, call: Call) -> io::Result<()> {
        self.0.write_all_at(&0_u32.to_le_bytes(), byte_of(call, RATE_WORD))
    }

    /// Reads the shim's counts for a call.
    pub fn call_counts(&self, call: Call) -> io::Result<CallCounts> {
        let calls = self.read_word(call, CALLS_WORD)?;
        let failures = self.read_word(call, FAILURES_WORD)?;
        Ok(CallCounts { calls, failures })
    }

    fn read_word(&self, call: Call, word: usize) -> io::Result<u32> {
        let mut bytes = [0; WORD_BYTES];
        self.0.read_exact_at(&mut bytes, byte_of(call, word))?;
        Ok(u32::from_le_bytes(bytes))
    }
}

/// Returns the byte offset of a word in a call's entry.
fn byte_of(call: Call, word: usize) -> u64 {
    (WORD_BYTES * (call.entry_word() + word)) as u64
}
