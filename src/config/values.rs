//! Flattens both forms of the settings into one map from path to text, and reads single values from it.

use serde_json::Value;
use std::collections::BTreeMap;
use std::time::Duration;
use thiserror::Error;

/// A setting that cannot be read. The whole configuration that contains it is rejected.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum SettingError {
    /// A line has no equals sign.
    #[error("line {line}: '{text}' is not path=value")]
    Line {
        /// The number of the line, counted from 1.
        line: usize,
        /// The whole line.
        text: String,
    },
    /// A value does not have the form that its setting requires.
    #[error("setting {path}: '{value}' is not {expected}")]
    Value {
        /// The full path of the setting.
        path: String,
        /// The text of the value; for a list of scalars, the invalid entry.
        value: String,
        /// The form that was expected, in words.
        expected: &'static str,
    },
}

/// A setting with its path and its default.
pub struct Setting<T> {
    /// The path, relative to the [`Section`] that the setting belongs to.
    pub path: &'static str,
    /// The value if the configuration does not have the setting.
    pub default: T,
}

/// A type that a setting's text can be parsed as.
pub trait SettingValue: Sized {
    /// The form that the text must have, in words, for the error message.
    const EXPECTED: &'static str;

    /// Parses a text; None if it does not have the expected form.
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

/// Durations are written as whole nanoseconds.
impl SettingValue for Duration {
    const EXPECTED: &'static str = "a whole number of nanoseconds";

    fn from_text(text: &str) -> Option<Self> {
        text.parse().ok().map(Duration::from_nanos)
    }
}

/// All settings as text, by their full path.
pub struct Values(BTreeMap<String, String>);

impl Values {
    /// Reads one `path=value` from each line that is not blank. If a path occurs twice, the last value counts.
    pub fn from_lines(text: &str) -> Result<Self, SettingError> {
        let mut values = BTreeMap::new();
        for (index, line) in text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty()) {
            let unreadable = || SettingError::Line { line: index + 1, text: line.to_owned() };
            let (path, value) = line.split_once('=').ok_or_else(unreadable)?;
            values.insert(path.to_owned(), value.to_owned());
        }
        Ok(Values(values))
    }

    /// Flattens nested JSON into the paths of the line form: a list of scalars is joined by commas, and a list of
    /// objects becomes a `count` and items numbered from 0. A null counts as absent.
    pub fn from_json(value: &Value) -> Self {
        let mut values = BTreeMap::new();
        flatten(String::new(), value, &mut values);
        Values(values)
    }

    /// Returns the settings that are not items of a list of objects.
    pub fn root(&self) -> Section<'_> {
        Section { values: self, prefix: String::new() }
    }

    /// Returns the items of a list of objects, in order; none if the list is absent.
    pub fn items(&self, list: &str) -> Result<impl Iterator<Item = Section<'_>>, SettingError> {
        let count: u16 = self.root().get_optional(&format!("{list}.count"))?.unwrap_or_default();
        let list = list.to_owned();
        Ok((0..count).map(move |index| Section { values: self, prefix: format!("{list}.{index}.") }))
    }
}

/// The settings whose paths begin with the same prefix.
pub struct Section<'a> {
    values: &'a Values,
    /// Empty for the root, otherwise a path that ends in a dot.
    prefix: String,
}

impl Section<'_> {
    /// Reads a setting; its default if it is absent.
    pub fn get<T: SettingValue>(&self, setting: Setting<T>) -> Result<T, SettingError> {
        Ok(self.get_optional(setting.path)?.unwrap_or(setting.default))
    }

    /// Returns the text of a setting; an empty text if it is absent.
    pub fn text(&self, path: &str) -> &str {
        self.find(path).unwrap_or_default()
    }

    /// Returns the entries of a list of scalars, without the empty ones.
    pub fn entries(&self, path: &str) -> Vec<&str> {
        self.text(path).split(',').filter(|entry| !entry.is_empty()).collect()
    }

    /// Parses one entry of a list of scalars. `path` names the list in the error message.
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

/// A JSON number with a decimal point but no fraction is written as a whole number if its magnitude is below this.
const MAX_WHOLE_FLOAT: f64 = 1e15;

/// Converts a JSON scalar to the line form. A whole number with a decimal point loses the decimal point. A comma
/// in a string becomes an underscore, since commas separate entries in the line form.
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
