//! The page of memory that tells the fault shim (`fault-shim/`) which system calls of a gateway are to fail.
//!
//! The page is a file that the shim maps, so that whoever holds the file changes the faults of a running process by
//! writing to it, and reads back how often each call was made and failed. This module owns the layout alone: it
//! injects nothing and judges nothing.

use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::Path;

/// Names the file of the page to the shim.
pub const PAGE_VARIABLE: &str = "FAULT_PAGE";
/// Errors that one call can be given, of which each failure draws one.
pub const ERRORS: usize = 8;
/// A fault that goes on until it is cleared.
pub const UNLIMITED: u32 = u32::MAX;
/// The rate of a call that fails each time; rates are parts of this.
pub const ALWAYS: u32 = 1 << 16;

/// Words (of 4 bytes) before the entries: the seed (two) and the offset of the wall clock in milliseconds (two).
pub const HEADER_WORDS: usize = 4;
/// Words of one entry: rate, budget, skipped, calls, failures, and the errors.
pub const ENTRY_WORDS: usize = 5 + ERRORS;

/// System calls that can fail, distinguished by what they are made on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(usize)]
pub enum Call {
    Accept,
    Socket,
    Bind,
    Listen,
    Connect,
    /// The error of a connection that came up late, as `SO_ERROR` has it.
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
    /// Opening a file of the folder that lasts, for reading or writing.
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
    /// In the place of an error number: only a part of the bytes is read or written, without an error.
    pub const SHORT: i32 = -1;
    /// In the place of an error number: a part of the bytes is written, and then the disk is full.
    pub const TORN: i32 = -2;
    /// In the place of an error number: the process is killed before the call, or when half of the bytes are written ...
    pub const KILLED_BEFORE: i32 = -3;
    /// ... or right behind the call, before it returns.
    pub const KILLED_BEHIND: i32 = -4;

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
pub const PAGE_BYTES: usize = 4 * (HEADER_WORDS + Call::ALL.len() * ENTRY_WORDS);

/// Which calls fail, and how.
#[derive(Clone, Copy, Debug)]
pub struct Fault {
    /// Calls that fail, of [`ALWAYS`].
    pub rate: u32,
    /// Calls that fail at most, or [`UNLIMITED`].
    pub budget: u32,
    /// Calls that are let through first.
    pub skipped: u32,
    /// Error numbers, or one of the negative numbers of [`Call`]; unused places hold 0.
    pub errors: [i32; ERRORS],
}

impl Fault {
    /// Fails each call with one of these errors.
    pub fn always(errors: &[i32]) -> Self {
        let mut padded = [0; ERRORS];
        padded.iter_mut().zip(errors).for_each(|(place, error)| *place = *error);
        Fault { rate: ALWAYS, budget: UNLIMITED, skipped: 0, errors: padded }
    }

    /// Fails this ratio of the calls.
    pub fn with_ratio(self, ratio: f64) -> Self {
        Fault { rate: (ratio * f64::from(ALWAYS)) as u32, ..self }
    }

    /// Lets so many calls through first.
    pub fn after(self, skipped: u32) -> Self {
        Fault { skipped, ..self }
    }

    /// Fails so many calls at most.
    pub fn times(self, budget: u32) -> Self {
        Fault { budget, ..self }
    }
}

/// What the shim has counted of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Counted {
    /// Calls made.
    pub calls: u32,
    /// Calls that were made to fail.
    pub failures: u32,
}

/// The side of the page that decides what fails. The other side is the shim.
pub struct FaultPage(File);

impl FaultPage {
    /// A page on which nothing fails.
    ///
    /// # Errors
    /// The file cannot be written; the same holds for the other functions.
    pub fn create(path: &Path, seed: u64) -> io::Result<Self> {
        let file = OpenOptions::new().read(true).write(true).create(true).truncate(true).open(path)?;
        file.set_len(PAGE_BYTES as u64)?;
        file.write_all_at(&seed.to_le_bytes(), 0)?;
        Ok(FaultPage(file))
    }

    /// Sets the offset of the wall clock from the machine's own.
    pub fn step_wall_clock(&self, offset_ms: i64) -> io::Result<()> {
        self.0.write_all_at(&offset_ms.to_le_bytes(), 8)
    }

    /// Lets a call fail from now on.
    pub fn set(&self, call: Call, fault: Fault) -> io::Result<()> {
        let at = 4 * call.entry() as u64;
        let errors: Vec<u8> = fault.errors.iter().flat_map(|error| error.to_le_bytes()).collect();
        // The rate goes last: what it sets off is complete by then.
        self.0.write_all_at(&errors, at + 20)?;
        self.0.write_all_at(&[fault.budget.to_le_bytes(), fault.skipped.to_le_bytes()].concat(), at + 4)?;
        self.0.write_all_at(&fault.rate.to_le_bytes(), at)
    }

    /// Lets a call succeed again.
    pub fn clear(&self, call: Call) -> io::Result<()> {
        self.0.write_all_at(&0_u32.to_le_bytes(), 4 * call.entry() as u64)
    }

    /// What was counted since the page was made.
    pub fn counted(&self, call: Call) -> io::Result<Counted> {
        let mut words = [0; 8];
        self.0.read_exact_at(&mut words, 4 * call.entry() as u64 + 12)?;
        let [a, b, c, d, e, f, g, h] = words;
        Ok(Counted { calls: u32::from_le_bytes([a, b, c, d]), failures: u32::from_le_bytes([e, f, g, h]) })
    }
}
