//! Reads the environment and the configuration file: the paths and addresses that the gateway uses, and its resource
//! limits. [`Config`] has the file's top-level keys. The keys in `known` and in `settings` are mapped in the library:
//! see [`DiscoveryUpdate`] and [`settings_from_json`]. The `log` module reads variables of its own.

use delivery_gateway::discovery::DiscoveryUpdate;
use delivery_gateway::socket::retry_transient;
use delivery_gateway::{settings_from_json, ParsedSettings};
use serde::Deserialize;
use std::ffi::OsString;
use std::path::{Path, PathBuf};

use crate::start_error::StartError;

/// The variable that overrides `admin_addr` of the configuration for one process. If it is empty, the process has no
/// admin endpoint.
const ADMIN_ADDRESS_VARIABLE: &str = "BALANCER_ADMIN_ADDR";

/// The paths that the environment variables set.
pub struct Environment {
    /// The folder of the files that outlast the process: the journal's files and the lock file.
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
            state_folder: PathBuf::from(required_variable("BALANCER_STATE")?),
            config_path: PathBuf::from(required_variable("BALANCER_CONFIG")?),
        })
    }
}

fn required_variable(name: &'static str) -> Result<OsString, StartError> {
    std::env::var_os(name).ok_or(StartError::MissingVariable(name))
}

/// The configuration file.
#[derive(Deserialize)]
pub struct Config {
    /// The name of the gateway in the log.
    pub name: String,
    /// The address at which clients connect, as `IP:port`.
    #[serde(rename = "listen")]
    pub listen_address: String,
    /// The address of the discovery agent, which serves the endpoint list and receives notifications, as `host:port`.
    /// Only this key takes effect when the file is read again at SIGHUP.
    #[serde(rename = "discovery")]
    pub discovery_address: String,
    /// The address of the admin endpoint, as `IP:port`. [`ADMIN_ADDRESS_VARIABLE`] overrides it.
    #[serde(rename = "admin_addr")]
    admin_address: Option<String>,
    /// The text from which [`seed`](Self::seed) derives the seed of the scheduler's random numbers.
    seed: String,
    pub limits: ResourceLimits,
    /// The initial endpoint list. It is used if the journal has none, or one with an older revision.
    #[serde(rename = "known")]
    pub endpoints: DiscoveryUpdate,
    settings: serde_json::Value,
}

/// The resource limits of the process.
#[derive(Deserialize)]
pub struct ResourceLimits {
    /// The memory, in units of 10⁶ bytes.
    pub memory_mb: f64,
    /// The maximum number of open descriptors of sockets and files.
    #[serde(rename = "sockets")]
    pub descriptors: usize,
    /// The disk space for the journal's files, in units of 10⁶ bytes.
    pub disk_mb: f64,
}

impl Config {
    /// Reads the file. Retries transient errors.
    ///
    /// # Errors
    /// The file cannot be read, or is not valid JSON with the expected keys.
    pub async fn read(path: &Path) -> Result<Self, StartError> {
        retry_transient("reading the configuration", || async {
            let json = std::fs::read(path)
                .map_err(|source| StartError::ReadConfig { path: path.to_owned(), source })?;
            serde_json::from_slice(&json)
                .map_err(|source| StartError::ParseConfig { path: path.to_owned(), source })
        })
        .await
    }

    /// Returns the address of the admin endpoint: that of [`ADMIN_ADDRESS_VARIABLE`] if it is set, otherwise that of
    /// the file. None if it is unset or empty; the gateway then has no admin endpoint.
    pub fn admin_address(&self) -> Option<String> {
        let address = std::env::var(ADMIN_ADDRESS_VARIABLE).ok().or_else(|| self.admin_address.clone());
        address.filter(|address| !address.is_empty())
    }

    /// Parses the settings.
    ///
    /// # Errors
    /// A setting is invalid.
    pub fn settings(&self) -> Result<ParsedSettings, StartError> {
        Ok(settings_from_json(&self.settings)?)
    }

    /// Returns the seed of the scheduler's random numbers: the text as a hexadecimal number of up to 64 bits or, if it
    /// is not one, its CRC-32. Each gateway needs its own text, so that no two gateways make the same random decisions.
    pub fn seed(&self) -> u64 {
        u64::from_str_radix(&self.seed, 16)
            .unwrap_or_else(|_| u64::from(crc32fast::hash(self.seed.as_bytes())))
    }
}

impl ResourceLimits {
    /// Returns the disk space for the journal's files, in bytes.
    pub fn disk_bytes(&self) -> u64 {
        (self.disk_mb * 1e6) as u64
    }
}
