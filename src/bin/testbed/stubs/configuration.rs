//! Configuration files for gateways.

use serde_json::{json, Value};
use std::io;
use std::net::SocketAddr;
use std::path::Path;

/// Returns an entry of `Lanes` for the settings. The deadline of the class is eight times its latency objective.
///
/// `idempotency` is one of the values of `Effect`. If `is_ordered`, messages of one key are sent one at a time.
pub fn class(
    latency_objective_secs: u64,
    name: &str,
    idempotency: &str,
    window_ms: u64,
    is_ordered: bool,
) -> Value {
    json!({
        "Name": name, "Effect": idempotency, "Group": "all", "RepeatWindow": window_ms * 1_000_000,
        "OneAtATime": is_ordered, "Worth": 1.0, "LateShare": 0.5,
        "Aim": latency_objective_secs * 1_000_000_000, "Deadline": latency_objective_secs * 8 * 1_000_000_000,
    })
}

/// Returns an entry of the endpoint list, with the only zone and kind that [`Configuration::write`] lists.
pub fn target(uid: &str, address: SocketAddr, destination: u32, state: &str, capacity_hint: f64) -> Value {
    json!({
        "uid": uid, "endpoint": address.to_string(), "az": "kingston", "model": "banks", "pod_group": destination,
        "state": state, "capacity_hint": capacity_hint, "boot_ms": 0,
    })
}

/// The values of a gateway's configuration that tests and sweeps vary. [`Configuration::write`] fixes the others.
pub struct Configuration<'a> {
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub memory_mb: u32,
    pub sockets: u32,
    pub disk_mb: f64,
    pub targets: &'a [Value],
    pub fleet_size: u32,
    pub classes: &'a [Value],
    pub zone: &'a str,
    pub max_in_flight_calls: u32,
    pub max_batch_size: u32,
    pub max_pending_messages: u32,
}

impl Configuration<'_> {
    /// Replaces `config.json` in a folder atomically, by renaming a complete new file over it.
    ///
    /// # Errors
    /// Returns an error if the file cannot be written or renamed; the previous configuration then stays.
    pub fn write(&self, folder: &Path) -> io::Result<()> {
        let config = json!({
            "name": "n0", "listen": self.listen.to_string(), "admin_addr": "127.0.0.1:0",
            "discovery": self.discovery.to_string(), "seed": "7",
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets, "disk_mb": self.disk_mb},
            "known": {"rev": 1, "all": true, "targets": self.targets},
            "settings": {
                "Balancers": self.fleet_size, "Lanes": self.classes, "MachineTypes": ["banks"], "Zones": [self.zone],
                "Projects": [{"Name": "north", "QuotaPerS": 0.0}, {"Name": "south", "QuotaPerS": 1e6}],
                "OverShareWorth": 0.2,
                "WeightSource": "nominal",
                "FamilyInfo": {
                    "CallsOut": self.max_in_flight_calls, "KindBatch": [self.max_batch_size], "OwnLimits": [false],
                },
                "Permissions": {
                    "MostHeld": self.max_pending_messages, "SendCap": 8, "Cancel": true, "ConnIdle": 15_000_000_000_u64,
                    "ConnectTimeout": 5_000_000_000_u64,
                },
                "Rules": {"AnswerSlack": 20_000_000, "OrderSettle": 100_000_000, "Fall": 2_000_000_000},
            },
        });
        let new_file = folder.join("config.new");
        std::fs::write(&new_file, config.to_string())?;
        std::fs::rename(new_file, folder.join("config.json"))
    }
}
