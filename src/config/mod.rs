//! The one reader of settings: `path=value` lines, or the same names as nested JSON, become [`ParsedSettings`].
//!
//! - `values` spreads both forms into one flat map from path to text, and reads single values from it.
//! - `keys` is the table of all settings, with the name, purpose, unit and default of each. It is the only place that
//!   knows the names of settings.
//! - `mapping` puts the table's values into [`Settings`](crate::Settings).
//!
//! A setting that is absent has its default, and one that the table does not list is ignored. A value of the wrong
//! form fails the whole reading: nothing is applied in part.

mod keys;
mod mapping;
mod values;

pub use mapping::ParsedSettings;
pub use values::SettingError;

use serde_json::Value;
use values::Values;

/// Reads settings in their line form, as the simulator sends them: one `path=value` on each line.
///
/// # Errors
/// [`SettingError::Line`] for a line without an equals sign, [`SettingError::Value`] for a value of the wrong form.
pub fn settings_from_lines(text: &str) -> Result<ParsedSettings, SettingError> {
    mapping::parsed_settings(&Values::from_lines(text)?)
}

/// Reads the same settings as nested JSON, as they stand in the gateway's configuration file.
///
/// # Errors
/// [`SettingError::Value`] for a value of the wrong form.
pub fn settings_from_json(value: &Value) -> Result<ParsedSettings, SettingError> {
    mapping::parsed_settings(&Values::from_json(value))
}
