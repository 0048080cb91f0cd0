//! The environment and the configuration file: where the gateway finds its state and its neighbours, and what it may
//! use. The file's keys are mapped to the program's terms here, once.

use delivery_gateway::discovery::DiscoveryUpdate;
use delivery_gateway::socket::retry_transient;
use delivery_gateway::{settings_from_json, ParsedSettings};
use serde::Deserialize;
use std::ffi::OsString;
use std::path::{Path, PathBuf};

use crate::start_error::StartError;

/// Overrides `admin_addr` of the configuration, as it is meant for one process.
const ADMIN_ADDRESS_VARIABLE: &str = "BALANCER_ADMIN_ADDR";

/// What the environment says.
pub struct Environment {
    /// The folder of what outlasts the process.
    pub state_folder: PathBuf,
    /// The configuration file.
    pub config_path: PathBuf,
}

impl Environment {
    /// Reads the environment.
    ///
    /// # Errors
    /// A variable is not set.
    pub fn read() -> Result<Self, StartError> {
        Ok(Environment {
            state_folder: PathBuf::from(variable("BALANCER_STATE")?),
            config_path: PathBuf::from(variable("BALANCER_CONFIG")?),
        })
    }
}

fn variable(name: &'static str) -> Result<OsString, StartError> {
    std::env::var_os(name).ok_or(StartError::MissingVariable(name))
}

/// The configuration file.
#[derive(Deserialize)]
pub struct Config {
    /// What the gateway calls itself in the log.
    pub name: String,
    /// Where clients connect, as `IP:port`.
    #[serde(rename = "listen")]
    pub listen_address: String,
    /// Where the endpoint list is watched and outcomes are notified. It alone may change in service.
    #[serde(rename = "discovery")]
    pub discovery_address: String,
    #[serde(rename = "admin_addr")]
    admin_address: Option<String>,
    seed: String,
    /// What the process may use of its machine.
    pub limits: ResourceLimits,
    /// The endpoint list to start with, unless the journal has a later one.
    #[serde(rename = "known")]
    pub endpoints: DiscoveryUpdate,
    settings: serde_json::Value,
}

/// What the process may use of its machine.
#[derive(Deserialize)]
pub struct ResourceLimits {
    /// In units of 10⁶ bytes.
    pub memory_mb: f64,
    /// Open descriptors, sockets and files alike.
    #[serde(rename = "sockets")]
    pub descriptors: usize,
    /// For the journal's files, in units of 10⁶ bytes.
    pub disk_mb: f64,
}

impl Config {
    /// Reads the file; what fails for a moment is tried again.
    ///
    /// # Errors
    /// The file cannot be read, or is not of this form.
    pub async fn read(path: &Path) -> Result<Self, StartError> {
        retry_transient("reading the configuration", || async {
            let text = std::fs::read(path)
                .map_err(|source| StartError::ReadConfig { path: path.to_owned(), source })?;
            serde_json::from_slice(&text)
                .map_err(|source| StartError::ParseConfig { path: path.to_owned(), source })
        })
        .await
    }

    /// Where operators call, if anywhere.
    pub fn admin_address(&self) -> Option<String> {
        let address = std::env::var(ADMIN_ADDRESS_VARIABLE).ok().or_else(|| self.admin_address.clone());
        address.filter(|address| !address.is_empty())
    }

    /// The settings, as the scheduler takes them.
    ///
    /// # Errors
    /// A setting cannot be read.
    pub fn settings(&self) -> Result<ParsedSettings, StartError> {
        Ok(settings_from_json(&self.settings)?)
    }

    /// The seed of the scheduler's randomness. Any text serves as one, but two gateways must not act alike.
    pub fn seed(&self) -> u64 {
        u64::from_str_radix(&self.seed, 16)
            .unwrap_or_else(|_| u64::from(crc32fast::hash(self.seed.as_bytes())))
    }
}

impl ResourceLimits {
    /// The limit of the journal's files.
    pub fn disk_bytes(&self) -> u64 {
        (self.disk_mb * 1e6) as u64
    }
}
