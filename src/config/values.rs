//! The flat map that both forms of the settings are read into, and the reading of single values from it.

use serde_json::Value;
use std::collections::BTreeMap;
use std::time::Duration;
use thiserror::Error;

/// A setting that cannot be read. The configuration that holds it is not used.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum SettingError {
    /// A line without an equals sign.
    #[error("line {line}: '{text}' is not path=value")]
    Line {
        /// Counted from 1.
        line: usize,
        /// The whole line.
        text: String,
    },
    /// A value of the wrong form.
    #[error("setting {path}: '{value}' is not {expected}")]
    Value {
        /// The setting's full path.
        path: String,
        /// The text found there; of a list, the entry that is wrong.
        value: String,
        /// What it should be.
        expected: &'static str,
    },
}

/// A setting: where it stands, and the value that it has where it is absent.
pub struct Setting<T> {
    /// Its path, relative to the [`Section`] that it belongs to.
    pub path: &'static str,
    /// Its value where the configuration does not have it.
    pub default: T,
}

/// What the text of a setting can be read as.
pub trait SettingValue: Sized {
    /// What the text should be, for the error message.
    const EXPECTED: &'static str;

    /// The value that a text stands for; none if it has the wrong form.
    fn from_text(text: &str) -> Option<Self>;
}

impl SettingValue for u16 {
    const EXPECTED: &'static str = "a whole number from 0 to 65535";

    fn from_text(text: &str) -> Option<Self> {
        text.parse().ok()
    }
}

impl SettingValue for u32 {
    const EXPECTED: &'static str = "a whole number from 0 to 4294967295";

    fn from_text(text: &str) -> Option<Self> {
        text.parse().ok()
    }
}

impl SettingValue for usize {
    const EXPECTED: &'static str = "a whole number";

    fn from_text(text: &str) -> Option<Self> {
        text.parse().ok()
    }
}

impl SettingValue for f64 {
    const EXPECTED: &'static str = "a number";

    fn from_text(text: &str) -> Option<Self> {
        text.parse().ok()
    }
}

impl SettingValue for bool {
    const EXPECTED: &'static str = "true or false";

    fn from_text(text: &str) -> Option<Self> {
        text.parse().ok()
    }
}

/// Durations stand as whole nanoseconds.
impl SettingValue for Duration {
    const EXPECTED: &'static str = "a whole number of nanoseconds";

    fn from_text(text: &str) -> Option<Self> {
        text.parse().ok().map(Duration::from_nanos)
    }
}

/// All settings as text, by their full path.
pub struct Values(BTreeMap<String, String>);

impl Values {
    /// Reads one `path=value` from each line that is not blank; of a path that comes twice, the last counts.
    pub fn from_lines(text: &str) -> Result<Self, SettingError> {
        let mut values = BTreeMap::new();
        for (index, line) in text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty()) {
            let unreadable = || SettingError::Line { line: index + 1, text: line.to_owned() };
            let (path, value) = line.split_once('=').ok_or_else(unreadable)?;
            values.insert(path.to_owned(), value.to_owned());
        }
        Ok(Values(values))
    }

    /// Spreads nested JSON into the paths of the line form: lists of scalars are joined by commas, lists of objects
    /// get a `count` and numbered items.
    pub fn from_json(value: &Value) -> Self {
        let mut values = BTreeMap::new();
        flatten(String::new(), value, &mut values);
        Values(values)
    }

    /// The settings that are not items of a list of objects.
    pub fn root(&self) -> Section<'_> {
        Section { values: self, prefix: String::new() }
    }

    /// The items of a list of objects, in their order.
    pub fn items(&self, list: &str) -> Result<impl Iterator<Item = Section<'_>>, SettingError> {
        let count: u16 = self.root().get_optional(&format!("{list}.count"))?.unwrap_or_default();
        let list = list.to_owned();
        Ok((0..count).map(move |index| Section { values: self, prefix: format!("{list}.{index}.") }))
    }
}

/// The settings below one path.
pub struct Section<'a> {
    values: &'a Values,
    /// Empty, or ends in a dot.
    prefix: String,
}

impl Section<'_> {
    /// The value of a setting, or its default where it is absent.
    pub fn get<T: SettingValue>(&self, setting: Setting<T>) -> Result<T, SettingError> {
        Ok(self.get_optional(setting.path)?.unwrap_or(setting.default))
    }

    /// The text of a setting; empty where it is absent.
    pub fn text(&self, path: &str) -> &str {
        self.find(path).unwrap_or_default()
    }

    /// The entries of a list of scalars that are not empty.
    pub fn entries(&self, path: &str) -> Vec<&str> {
        self.text(path).split(',').filter(|entry| !entry.is_empty()).collect()
    }

    /// Reads one entry of a list of scalars.
    pub fn entry<T: SettingValue>(&self, path: &str, entry: &str) -> Result<T, SettingError> {
        T::from_text(entry).ok_or_else(|| SettingError::Value {
            path: self.full_path(path),
            value: entry.to_owned(),
            expected: T::EXPECTED,
        })
    }

    fn get_optional<T: SettingValue>(&self, path: &str) -> Result<Option<T>, SettingError> {
        self.find(path).map(|text| self.entry(path, text)).transpose()
    }

    fn find(&self, path: &str) -> Option<&str> {
        self.values.0.get(&self.full_path(path)).map(String::as_str)
    }

    fn full_path(&self, path: &str) -> String {
        format!("{}{path}", self.prefix)
    }
}

fn flatten(path: String, value: &Value, values: &mut BTreeMap<String, String>) {
    let below = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
    match value {
        Value::Object(fields) => fields.iter().for_each(|(name, field)| flatten(below(name), field, values)),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            values.insert(below("count"), items.len().to_string());
            items.iter().enumerate().for_each(|(at, item)| flatten(below(&at.to_string()), item, values));
        }
        Value::Array(items) => {
            let entries: Vec<String> = items.iter().map(scalar_text).collect();
            values.insert(path, entries.join(","));
        }
        Value::Null => {}
        _ => {
            values.insert(path, scalar_text(value));
        }
    }
}

/// The largest number below which a JSON number with a decimal point is taken for a whole one.
const MAX_WHOLE_FLOAT: f64 = 1e15;

/// A scalar in the line form. A whole number may have a decimal point in JSON, but has none there; a comma, which
/// separates entries there, becomes an underscore.
fn scalar_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.replace(',', "_"),
        Value::Number(number) => {
            match number.as_f64().filter(|n| n.fract() == 0.0 && n.abs() < MAX_WHOLE_FLOAT) {
                Some(whole) if number.is_f64() => format!("{whole:.0}"),
                _ => number.to_string(),
            }
        }
        other => other.to_string(),
    }
}
