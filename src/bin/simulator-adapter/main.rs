//! The simulator's adapter: runs schedulers for the simulator. Batches of records arrive on standard input, and each is
//! answered by one frame of replies on standard output, until the input ends. Invalid input, or a failure to read or
//! write, ends the program with an error.
//!
//! - `frames` reads frames from the input.
//! - `wire` decodes batches and encodes replies.
//! - `translation` maps the wire's records to the scheduler's events, and its actions to the wire's replies.
//! - `instances` owns the schedulers, and passes each its events.

mod frames;
mod instances;
mod translation;
mod wire;

use std::io::{self, BufReader, Read, Write};
use std::process::ExitCode;
use thiserror::Error;

use crate::frames::{read_frame, FrameError};
use crate::instances::{BatchError, InstanceTable};
use crate::wire::{read_batch, write_frame, WireError};

const INPUT_BUFFER_BYTES: usize = 1 << 16;

/// Why the adapter exits before the end of its input.
#[derive(Debug, Error)]
#[error("batch {batch}: {cause}")]
struct AdapterError {
    /// The number of the batch, counted from 0.
    batch: u64,
    cause: Cause,
}

#[derive(Debug, Error)]
enum Cause {
    #[error(transparent)]
    Frame(#[from] FrameError),
    #[error(transparent)]
    Wire(#[from] WireError),
    #[error(transparent)]
    Batch(#[from] BatchError),
    #[error("cannot write the reply: {0}")]
    Reply(io::Error),
}

/// Answers batches until the input ends.
fn serve(input: &mut impl Read, output: &mut impl Write) -> Result<(), AdapterError> {
    let mut instances = InstanceTable::default();
    let mut batch = 0;
    while serve_batch(&mut instances, input, output).map_err(|cause| AdapterError { batch, cause })? {
        batch += 1;
    }
    Ok(())
}

/// Answers one batch. Returns false at the end of the input.
fn serve_batch(
    instances: &mut InstanceTable,
    input: &mut impl Read,
    output: &mut impl Write,
) -> Result<bool, Cause> {
    let Some(body) = read_frame(input)? else { return Ok(false) };
    let replies = instances.run(read_batch(&body)?)?;
    output.write_all(&write_frame(&replies)).map_err(Cause::Reply)?;
    output.flush().map_err(Cause::Reply)?;
    Ok(true)
}

fn main() -> ExitCode {
    let mut input = BufReader::with_capacity(INPUT_BUFFER_BYTES, io::stdin().lock());
    match serve(&mut input, &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
