//! Declarations of settings, and validation of their values.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

use derive_more::{Display, Error};
use ini::Ini;

/// Value of an optional setting that is not set.
const NO_VALUE: &str = "none";

/// Type and range of a setting.
#[derive(Clone, Copy, Debug)]
pub enum Kind {
    /// Any non-empty text.
    Text,
    /// `IP:port`.
    Address,
    /// A whole number of milliseconds, minimum and maximum included.
    Millis(u64, u64),
    /// The same, or `none`.
    OptionalMillis(u64, u64),
    /// A whole number, minimum and maximum included.
    Count(u64, u64),
    /// A floating-point number, minimum and maximum included.
    Real(f64, f64),
    /// `yes` or `no`.
    Flag,
    /// One of a list of words.
    Choice(&'static [&'static str]),
}

impl Kind {
    /// The unit and range as text, for messages and the settings reference.
    pub fn range(self) -> String {
        match self {
            Kind::Text => "text".to_owned(),
            Kind::Address => "IP:port, such as 127.0.0.1:7001".to_owned(),
            Kind::Millis(min, max) => format!("{min} to {max} milliseconds"),
            Kind::OptionalMillis(min, max) => format!("`none`, or {min} to {max} milliseconds"),
            Kind::Count(min, max) => format!("a whole number from {min} to {max}"),
            Kind::Real(min, max) => format!("a number from {min} to {max}"),
            Kind::Flag => "`yes` or `no`".to_owned(),
            Kind::Choice(words) => format!("one of {}", words.join(", ")),
        }
    }

    fn accepts(self, text: &str) -> bool {
        match self {
            Kind::Text => !text.is_empty(),
            Kind::Address => text.parse::<SocketAddr>().is_ok(),
            Kind::Millis(min, max) | Kind::Count(min, max) => {
                text.parse().is_ok_and(|n: u64| (min..=max).contains(&n))
            }
            Kind::OptionalMillis(min, max) => {
                text == NO_VALUE || Kind::Millis(min, max).accepts(text)
            }
            Kind::Real(min, max) => text.parse().is_ok_and(|n: f64| (min..=max).contains(&n)),
            Kind::Flag => matches!(text, "yes" | "no"),
            Kind::Choice(words) => words.contains(&text),
        }
    }
}

/// One setting of a program.
#[derive(Clone, Copy, Debug)]
pub struct Setting {
    /// Section of the INI file.
    pub section: &'static str,
    /// Key in the section.
    pub key: &'static str,
    /// Type and range of the value.
    pub kind: Kind,
    /// Value used when the file does not set it; `None` when the file must set it.
    pub default: Option<&'static str>,
    /// Description, shown in the settings reference.
    pub help: &'static str,
}

/// Declares a setting; `default` is `None` when the file must set it.
pub const fn setting(
    section: &'static str,
    key: &'static str,
    kind: Kind,
    default: Option<&'static str>,
    help: &'static str,
) -> Setting {
    Setting { section, key, kind, default, help }
}

/// Why a settings file was rejected.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum ConfigError {
    /// The file cannot be read or is not valid INI.
    #[display("{file}: {cause}; give a readable INI file")]
    File {
        /// Path of the file.
        file: String,
        /// The I/O or syntax error.
        cause: String,
    },
    /// The file has a key that the program does not declare.
    #[display("{file}: [{section}] {key} is not a setting; remove it or see --print-settings")]
    UnknownKey {
        /// Path of the file.
        file: String,
        /// Section of the file.
        section: String,
        /// Key in the section.
        key: String,
    },
    /// A setting without a default is missing in the file.
    #[display("{file}: [{section}] {key} is missing; give {range}")]
    Missing {
        /// Path of the file.
        file: String,
        /// Section of the file.
        section: String,
        /// Key in the section.
        key: String,
        /// The allowed values.
        range: String,
    },
    /// A value has the wrong type or is out of range.
    #[display("{file}: [{section}] {key} is `{value}`; give {range}")]
    BadValue {
        /// Path of the file.
        file: String,
        /// Section of the file.
        section: String,
        /// Key in the section.
        key: String,
        /// The value in the file.
        value: String,
        /// The allowed values.
        range: String,
    },
}

/// The validated values of all settings of a program.
#[derive(Clone, Debug, Default)]
pub struct Values {
    file: String,
    values: BTreeMap<(&'static str, &'static str), String>,
}

impl Values {
    /// Reads a file and validates it against the declared settings.
    ///
    /// # Errors
    /// [`ConfigError`] for the first error found.
    pub fn load(file: &Path, settings: &[Setting]) -> Result<Values, ConfigError> {
        let name = file.display().to_string();
        let text = std::fs::read_to_string(file)
            .map_err(|e| ConfigError::File { file: name.clone(), cause: e.to_string() })?;
        Values::parse(&name, &text, settings)
    }

    /// Parses INI text and validates it against the declared settings; `file` is used in error
    /// messages only. An empty value counts as not set.
    ///
    /// ```
    /// use bulrushusher_config::{Kind, Setting, Values, setting};
    /// use bulrushusher_time::Millis;
    /// const SETTINGS: &[Setting] = &[setting(
    ///     "gate", "time_to_live_ms", Kind::Millis(1, 60_000), Some("2000"),
    ///     "How long a granted slot is held for its order.",
    /// )];
    /// let values = Values::parse("a.ini", "[gate]\ntime_to_live_ms = 400\n", SETTINGS).unwrap();
    /// assert_eq!(values.millis("gate", "time_to_live_ms"), Millis(400));
    /// let error = Values::parse("a.ini", "[gate]\ntime_to_live_ms = 0\n", SETTINGS).unwrap_err();
    /// assert_eq!(
    ///     error.to_string(),
    ///     "a.ini: [gate] time_to_live_ms is `0`; give 1 to 60000 milliseconds"
    /// );
    /// ```
    ///
    /// # Errors
    /// As [`Values::load`].
    pub fn parse(file: &str, text: &str, settings: &[Setting]) -> Result<Values, ConfigError> {
        let ini = Ini::load_from_str(text)
            .map_err(|e| ConfigError::File { file: file.to_owned(), cause: e.to_string() })?;
        check_all_declared(file, &ini, settings)?;
        let mut values = BTreeMap::new();
        for setting in settings {
            let given = ini.get_from(Some(setting.section), setting.key);
            let value = check_value(file, setting, given)?;
            values.insert((setting.section, setting.key), value);
        }
        Ok(Values { file: file.to_owned(), values })
    }

    /// The value as text.
    ///
    /// # Panics
    /// When the setting is not declared, which is a bug in the program.
    pub fn text(&self, section: &str, key: &str) -> &str {
        let found = self.values.iter().find(|((s, k), _)| *s == section && *k == key);
        match found {
            Some((_, value)) => value,
            None => panic!("[{section}] {key} is not a declared setting"),
        }
    }

    /// The value as an address.
    ///
    /// # Panics
    /// When the setting is not declared with this type, which is a bug in the program.
    pub fn address(&self, section: &str, key: &str) -> SocketAddr {
        self.parsed(section, key)
    }

    /// The value as a duration.
    ///
    /// # Panics
    /// When the setting is not declared with this type, which is a bug in the program.
    pub fn millis(&self, section: &str, key: &str) -> bulrushusher_time::Millis {
        bulrushusher_time::Millis(self.parsed(section, key))
    }

    /// The value as a duration; `None` for `none`.
    ///
    /// ```
    /// use bulrushusher_config::{Kind, Setting, Values, setting};
    /// use bulrushusher_time::Millis;
    /// const SETTINGS: &[Setting] = &[setting(
    ///     "gate", "pause_ms", Kind::OptionalMillis(1, 60_000), Some("none"), "A pause.",
    /// )];
    /// let values = |text| Values::parse("a.ini", text, SETTINGS).unwrap();
    /// assert_eq!(values("").optional_millis("gate", "pause_ms"), None);
    /// let given = values("[gate]\npause_ms = 400\n");
    /// assert_eq!(given.optional_millis("gate", "pause_ms"), Some(Millis(400)));
    /// ```
    ///
    /// # Panics
    /// When the setting is not declared with this type, which is a bug in the program.
    pub fn optional_millis(&self, section: &str, key: &str) -> Option<bulrushusher_time::Millis> {
        (self.text(section, key) != NO_VALUE).then(|| self.millis(section, key))
    }

    /// The value as a whole number.
    ///
    /// # Panics
    /// When the setting is not declared with this type, which is a bug in the program.
    pub fn count(&self, section: &str, key: &str) -> usize {
        self.parsed(section, key)
    }

    /// The value as a floating-point number.
    ///
    /// # Panics
    /// When the setting is not declared with this type, which is a bug in the program.
    pub fn real(&self, section: &str, key: &str) -> f64 {
        self.parsed(section, key)
    }

    /// The value as a flag.
    ///
    /// # Panics
    /// When the setting is not declared, which is a bug in the program.
    pub fn flag(&self, section: &str, key: &str) -> bool {
        self.text(section, key) == "yes"
    }

    /// The value converted to a validated type, such as a name.
    ///
    /// # Errors
    /// [`ConfigError::BadValue`] with the error of the conversion.
    pub fn checked<'a, T>(&'a self, section: &str, key: &str) -> Result<T, ConfigError>
    where
        T: TryFrom<&'a str>,
        T::Error: std::fmt::Display,
    {
        let value = self.text(section, key);
        T::try_from(value).map_err(|e| ConfigError::BadValue {
            file: self.file.clone(),
            section: section.to_owned(),
            key: key.to_owned(),
            value: value.to_owned(),
            range: e.to_string(),
        })
    }

    fn parsed<T: std::str::FromStr>(&self, section: &str, key: &str) -> T {
        match self.text(section, key).parse() {
            Ok(value) => value,
            Err(_) => panic!("[{section}] {key} is declared with another type"),
        }
    }
}

fn check_all_declared(file: &str, ini: &Ini, settings: &[Setting]) -> Result<(), ConfigError> {
    for (section, properties) in ini.iter() {
        let section = section.unwrap_or("");
        for (key, _) in properties.iter() {
            if !settings.iter().any(|s| s.section == section && s.key == key) {
                return Err(ConfigError::UnknownKey {
                    file: file.to_owned(),
                    section: section.to_owned(),
                    key: key.to_owned(),
                });
            }
        }
    }
    Ok(())
}

fn check_value(file: &str, setting: &Setting, given: Option<&str>) -> Result<String, ConfigError> {
    let section = setting.section.to_owned();
    let (file, key, range) = (file.to_owned(), setting.key.to_owned(), setting.kind.range());
    // Templates of settings files leave a value empty when the deployment does not set it.
    let given = given.filter(|value| !value.is_empty());
    let Some(value) = given.or(setting.default) else {
        return Err(ConfigError::Missing { file, section, key, range });
    };
    if !setting.kind.accepts(value) {
        let value = value.to_owned();
        return Err(ConfigError::BadValue { file, section, key, value, range });
    }
    Ok(value.to_owned())
}

/// Documentation of a program's settings, as a Markdown table.
pub fn settings_reference(settings: &[Setting]) -> String {
    let mut text = String::from("| section | key | value | default | what it does |\n");
    text.push_str("| --- | --- | --- | --- | --- |\n");
    for s in settings {
        let default = s.default.map_or("none, must be given".to_owned(), |d| format!("`{d}`"));
        let row = format!(
            "| {} | `{}` | {} | {} | {} |\n",
            s.section,
            s.key,
            s.kind.range(),
            default,
            s.help
        );
        text.push_str(&row);
    }
    text
}
