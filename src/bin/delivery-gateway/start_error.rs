//! The errors that prevent the gateway from starting, or from continuing after a handover. Each ends the process,
//! except when the configuration is read again after the start: then the previous configuration stays in force.

use delivery_gateway::socket::AsIoError;
use delivery_gateway::SettingError;
use std::io;
use std::path::PathBuf;
use thiserror::Error;

use crate::handover::HandoverError;
use crate::journal::JournalError;

/// The reason why the gateway cannot start or continue.
#[derive(Debug, Error)]
pub enum StartError {
    #[error("the environment variable {0} is not set; expected a path")]
    MissingVariable(&'static str),
    #[error("cannot read the configuration at {}: {source}", .path.display())]
    ReadConfig { path: PathBuf, source: io::Error },
    #[error("cannot parse the configuration at {}: {source}", .path.display())]
    ParseConfig { path: PathBuf, source: serde_json::Error },
    #[error("cannot use the configuration's settings: {0}")]
    Setting(#[from] SettingError),
    #[error(transparent)]
    Journal(#[from] JournalError),
    #[error(transparent)]
    Handover(#[from] HandoverError),
    /// A system call failed with an error that is not retried.
    #[error("cannot {operation}: {source}")]
    System { operation: &'static str, source: io::Error },
    #[error("cannot listen at {address}: {source}")]
    Listen { address: String, source: io::Error },
}

impl StartError {
    /// Returns a function for `map_err` that adds the failed operation to an I/O error.
    pub fn system(operation: &'static str) -> impl FnOnce(io::Error) -> Self {
        move |source| StartError::System { operation, source }
    }
}

impl AsIoError for StartError {
    fn as_io_error(&self) -> Option<&io::Error> {
        match self {
            StartError::ReadConfig { source, .. } | StartError::Listen { source, .. } => Some(source),
            StartError::Journal(error) => error.io_error(),
            _ => None,
        }
    }
}
