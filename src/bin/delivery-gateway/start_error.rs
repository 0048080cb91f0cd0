//! Why the gateway could not start. Each error ends the process, unless it was met when the configuration was read
//! again: then the configuration stays as it was.

use delivery_gateway::socket::AsIoError;
use delivery_gateway::SettingError;
use std::io;
use std::path::PathBuf;
use thiserror::Error;

use crate::handover::HandoverError;
use crate::journal::JournalError;

/// Why the gateway could not start.
#[derive(Debug, Error)]
pub enum StartError {
    #[error("the environment variable {0} is not set; it must name a path")]
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
    /// A system call that is not tried again.
    #[error("cannot {attempt}: {source}")]
    System { attempt: &'static str, source: io::Error },
    #[error("cannot listen at {address}: {source}")]
    Listen { address: String, source: io::Error },
}

impl StartError {
    /// For `map_err`: says what was tried when a system call failed.
    pub fn system(attempt: &'static str) -> impl FnOnce(io::Error) -> Self {
        move |source| StartError::System { attempt, source }
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
