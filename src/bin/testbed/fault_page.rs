//! The page of shared memory that tells the fault shim (`fault-shim/`) which system calls of a gateway are to fail.
//!
//! The page is a file that the shim maps. A test or the soak writes to the file to change the faults of a running
//! process, and reads from it how often each call was made and failed. This module owns the page's layout and the side
//! that writes it; the shim includes it for the layout alone.
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
/// Errors that one call can be given, of which each failure draws one.
pub const MAX_ERRORS: usize = 8;
/// The budget of a fault that lasts until it is cleared.
pub const UNLIMITED: u32 = u32::MAX;
/// The rate at which each call fails; other rates are parts of this.
pub const ALWAYS: u32 = 1 << 16;

/// Bytes of a word.
pub const WORD_BYTES: usize = size_of::<u32>();
/// Where the seed begins, in bytes.
const SEED_BYTE: usize = 0;
/// Where the offset of the wall clock begins, in bytes.
pub const WALL_OFFSET_BYTE: usize = 2 * WORD_BYTES;
/// Words before the first entry.
const HEADER_WORDS: usize = 4;

/// Words of an entry, counted from its beginning.
pub const RATE_WORD: usize = 0;
pub const BUDGET_WORD: usize = 1;
pub const SKIPPED_WORD: usize = 2;
pub const CALLS_WORD: usize = 3;
pub const FAILURES_WORD: usize = 4;
pub const ERRORS_WORD: usize = 5;
/// Words of one entry.
const ENTRY_WORDS: usize = ERRORS_WORD + MAX_ERRORS;

/// System calls that can fail, told apart by what they are made on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(usize)]
pub enum Call {
    Accept,
    Socket,
    Bind,
    Listen,
    Connect,
    /// The error of a connection that was established in the background, as `SO_ERROR` reports it.
    ConnectResult,
    SetSocketOption,
    GetSocketName,
    Shutdown,
    /// `read`, `readv`, `recv` and `recvmsg` on a TCP connection.
    TcpRead,
    /// `write`, `writev`, `send` and `sendmsg` on a TCP connection.
    TcpWrite,
    /// The same on a Unix socket.
    UnixRead,
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
    /// Instead of an error number: only a part of the bytes is read or written, without an error.
    pub const SHORT: i32 = -1;
    /// Instead of an error number: a part of the bytes is written, and then the disk is full.
    pub const TORN: i32 = -2;
    /// Instead of an error number: the process is killed before the call, or when half of the bytes are written.
    pub const KILLED_BEFORE: i32 = -3;
    /// Instead of an error number: the process is killed after the call, before it returns.
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

    /// Where the call's entry begins, in words.
    pub const fn entry(self) -> usize {
        HEADER_WORDS + self as usize * ENTRY_WORDS
    }
}

/// Bytes of the whole page.
pub const PAGE_BYTES: usize = WORD_BYTES * (HEADER_WORDS + Call::ALL.len() * ENTRY_WORDS);

/// Which calls fail, and how.
#[derive(Clone, Copy, Debug)]
pub struct Fault {
    /// How many of the calls fail, in parts of [`ALWAYS`].
    pub rate: u32,
    /// Calls that fail at most, or [`UNLIMITED`].
    pub budget: u32,
    /// Calls that succeed before the first failure.
    pub skipped: u32,
    /// Error numbers, or the negative numbers of [`Call`]; unused elements are 0.
    pub errors: [i32; MAX_ERRORS],
}

impl Fault {
    /// Fails each call with one of these errors.
    pub fn always(errors: &[i32]) -> Self {
        let mut padded = [0; MAX_ERRORS];
        padded.iter_mut().zip(errors).for_each(|(unused, error)| *unused = *error);
        Fault { rate: ALWAYS, budget: UNLIMITED, skipped: 0, errors: padded }
    }

    /// Fails this part of the calls, from 0 to 1.
    pub fn with_ratio(self, ratio: f64) -> Self {
        Fault { rate: (ratio * f64::from(ALWAYS)) as u32, ..self }
    }

    /// Lets so many calls succeed first.
    pub fn after(self, skipped: u32) -> Self {
        Fault { skipped, ..self }
    }

    /// Fails so many calls at most.
    pub fn times(self, budget: u32) -> Self {
        Fault { budget, ..self }
    }
}

/// What the shim has counted of one call since the page was created.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallCounts {
    pub calls: u32,
    /// Calls that failed.
    pub failures: u32,
}

/// The page as a test or the soak writes it. The methods fail where the page's file cannot be read or written.
pub struct FaultPage(File);

impl FaultPage {
    /// Creates a page on which nothing fails, in place of any that the file held.
    pub fn create(path: &Path, seed: u64) -> io::Result<Self> {
        let file = OpenOptions::new().read(true).write(true).create(true).truncate(true).open(path)?;
        file.set_len(PAGE_BYTES as u64)?;
        file.write_all_at(&seed.to_le_bytes(), SEED_BYTE as u64)?;
        Ok(FaultPage(file))
    }

    /// Sets the process's wall clock ahead of the machine's, or back where the offset is negative.
    pub fn step_wall_clock(&self, offset_ms: i64) -> io::Result<()> {
        self.0.write_all_at(&offset_ms.to_le_bytes(), WALL_OFFSET_BYTE as u64)
    }

    /// Lets a call fail from now on.
    pub fn set(&self, call: Call, fault: Fault) -> io::Result<()> {
        let errors: Vec<u8> = fault.errors.iter().flat_map(|error| error.to_le_bytes()).collect();
        let limits = [fault.budget.to_le_bytes(), fault.skipped.to_le_bytes()].concat();
        // The rate is written last, as the fault takes effect with it.
        self.0.write_all_at(&errors, byte_of(call, ERRORS_WORD))?;
        self.0.write_all_at(&limits, byte_of(call, BUDGET_WORD))?;
        self.0.write_all_at(&fault.rate.to_le_bytes(), byte_of(call, RATE_WORD))
    }

    /// Lets a call succeed again.
    pub fn clear(&self, call: Call) -> io::Result<()> {
        self.0.write_all_at(&0_u32.to_le_bytes(), byte_of(call, RATE_WORD))
    }

    /// Reads what the shim has counted of a call.
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

/// Where a word of a call's entry begins, in bytes.
fn byte_of(call: Call, word: usize) -> u64 {
    (WORD_BYTES * (call.entry() + word)) as u64
}
