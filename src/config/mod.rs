//! Reads settings, given as `path=value` lines or with the same names as nested JSON, into [`ParsedSettings`].
//!
//! - `values` flattens both forms into one map from path to text, and reads single values from it.
//! - `keys` is the table of all settings, with the name, purpose, unit and default of each. No other file of the
//!   library has the names of settings.
//! - `mapping` reads the settings of the table into [`Settings`](crate::Settings).
//!
//! A setting that is absent has its default, and one that is not in the table is ignored. A single invalid value fails
//! the whole reading, so that settings are never applied in part.

mod keys;
mod mapping;
mod values;

pub use mapping::ParsedSettings;
pub use values::SettingError;

use serde_json::Value;
use values::Values;

/// Reads settings in their line form, as the simulator sends them: one `path=value` per line.
///
/// # Errors
/// [`SettingError::Line`] for a line without an equals sign, [`SettingError::Value`] for an invalid value.
pub fn settings_from_lines(text: &str) -> Result<ParsedSettings, SettingError> {
    mapping::parsed_settings(&Values::from_lines(text)?)
}

/// Reads the same settings from nested JSON, as in the gateway's configuration file.
///
/// # Errors
/// [`SettingError::Value`] for an invalid value.
pub fn settings_from_json(value: &Value) -> Result<ParsedSettings, SettingError> {
    mapping::parsed_settings(&Values::from_json(value))
}
