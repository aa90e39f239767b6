//! The settings passed by the platform: names and values as text, parsed when they are used.

use std::collections::BTreeMap;

use thiserror::Error;

/// The settings as passed at the start: names and unparsed values.
pub type Settings = BTreeMap<String, String>;

/// Error in the settings that prevents an instance from starting.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SettingError {
    /// The value of a numeric setting is not a finite number.
    #[error("setting {name}={value:?} is no number")]
    NotANumber {
        /// Name of the setting.
        name: String,
        /// Its unparsed value.
        value: String,
    },
    /// An operation with an idempotency key has no time for which its keys are kept.
    #[error(
        "setting Classes.{operation}.MemorySpanUs is missing or 0, but operations with an idempotency key need it"
    )]
    MissingIdempotencyWindow {
        /// Index of the operation in the settings.
        operation: usize,
    },
}

/// Name suffixes of the numeric settings.
const NUMERIC_SUFFIXES: [&str; 14] = [
    "Us",
    "Kb",
    ".Worth",
    "eWorth",
    "Cores",
    "CallShare",
    "Factor",
    "Multiple",
    "count",
    "Total",
    "PerS",
    "Capacity",
    "Stretch",
    "Servers",
];

/// Name suffixes of the settings that accept only certain words, with these words.
const ENUMERATIONS: [(&str, &str); 2] = [
    (".Effect", "read_like idempotency_key non_idempotent"),
    (".Halt", "silent discard freeze"),
];

const MICROSECONDS: f64 = 1e6;

/// Reads settings by name. They are parsed at each use, since a policy may replace them at any
/// time.
#[derive(Default)]
pub(crate) struct SettingsReader(Settings);

impl SettingsReader {
    /// Validates the settings. Unknown words are returned as warnings for the log: an unknown
    /// effect is treated as `non_idempotent`, and with an unknown halt no run is stopped, which is
    /// the safest interpretation of each.
    ///
    /// # Errors
    /// Returns an error for the first numeric setting, by name, that is not a finite number.
    pub fn new(settings: Settings) -> Result<(SettingsReader, Vec<String>), SettingError> {
        let mut warnings = Vec::new();
        for (name, value) in &settings {
            let is_numeric = NUMERIC_SUFFIXES.iter().any(|suffix| name.ends_with(suffix));
            if is_numeric && !is_finite_number(value) {
                return Err(SettingError::NotANumber {
                    name: name.clone(),
                    value: value.clone(),
                });
            }
            let enumeration = ENUMERATIONS
                .iter()
                .find(|(suffix, _)| name.ends_with(suffix));
            if let Some((_, words)) = enumeration
                && words.split(' ').all(|word| word != value)
            {
                warnings.push(format!("setting {name}={value:?} is none of: {words}"));
            }
        }
        Ok((SettingsReader(settings), warnings))
    }

    /// The value of a setting; empty if it is absent.
    pub fn text(&self, name: &str) -> &str {
        self.0.get(name).map_or("", String::as_str)
    }

    /// The value of a numeric setting, or `default` if it is absent.
    pub fn number(&self, name: &str, default: f64) -> f64 {
        self.0
            .get(name)
            .and_then(|text| text.parse().ok())
            .unwrap_or(default)
    }

    /// The value of a setting in microseconds, converted to seconds; `default`, in seconds, if it
    /// is absent.
    pub fn seconds(&self, name: &str, default: f64) -> f64 {
        self.0
            .get(name)
            .and_then(|text| text.parse().ok())
            .map_or(default, |microseconds: f64| microseconds / MICROSECONDS)
    }

    /// Whether a setting is switched on, in either of the two notations that platforms use.
    pub fn is_on(&self, name: &str) -> bool {
        is_true(self.text(name))
    }

    /// Number of cores of the engine, at least 1.
    pub fn cores(&self) -> f64 {
        self.number("FamilyInfo.Cores", 1.0).max(1.0)
    }

    /// Mean number of downstream calls that this instance may have open; infinite if the settings
    /// give no quota.
    pub fn call_quota(&self) -> f64 {
        self.number("FamilyInfo.CallShare", f64::INFINITY)
    }
}

fn is_finite_number(text: &str) -> bool {
    text.parse::<f64>().is_ok_and(f64::is_finite)
}

fn is_true(text: &str) -> bool {
    matches!(text, "true" | "1")
}

/// Settings of one operation. Times are seconds.
#[derive(Default)]
pub(crate) struct OperationSettings {
    /// Whether it may safely run more than once.
    pub is_idempotent: bool,
    /// Whether repeats carry an idempotency key and are answered with the result of the first
    /// attempt.
    pub has_idempotency_key: bool,
    /// Latency objective; 0 if the operators have switched the operation off.
    pub objective: f64,
    /// Seconds added to the objective for each second of the cost hint.
    pub objective_stretch: f64,
    /// Timeout of the caller.
    pub timeout: f64,
    /// Billed value of an answer within the objective.
    pub value: f64,
    /// Fraction of the value that an answer after the objective still has.
    pub late_value: f64,
    /// How long after an arrival its repeats may arrive.
    pub idempotency_window: f64,
    /// Fraction of the value that an answer without its downstream call has; 0 if the operation
    /// needs its call.
    pub value_without_call: f64,
    /// Whether it makes downstream calls.
    pub makes_calls: bool,
}

impl OperationSettings {
    /// Reads the settings of the operation with this index.
    pub fn read(settings: &SettingsReader, operation: usize) -> OperationSettings {
        let path = |name: &str| format!("Classes.{operation}.{name}");
        let listed = |name: &str| {
            let values = settings.text(name);
            values.split(',').nth(operation).unwrap_or("")
        };
        let effect = settings.text(&path("Effect"));
        let timeout = settings.seconds(&path("DeadlineUs"), 1.0);
        OperationSettings {
            is_idempotent: effect == "read_like",
            has_idempotency_key: effect == "idempotency_key",
            objective: settings.seconds(&path("AimUs"), timeout),
            objective_stretch: settings.number(&path("AimStretch"), 0.0),
            timeout,
            value: settings.number(&path("Worth"), 1.0),
            late_value: settings.number(&path("LateWorth"), 0.0),
            idempotency_window: settings.seconds(&path("MemorySpanUs"), 0.0),
            value_without_call: listed("FamilyInfo.ClassSkipWorth").parse().unwrap_or(0.0),
            makes_calls: is_true(listed("FamilyInfo.ClassCalls")),
        }
    }

    /// Whether it can't be answered without its downstream call.
    pub fn needs_call(&self) -> bool {
        self.makes_calls && self.value_without_call == 0.0
    }

    /// Whether the operators have switched it off. No answer can meet an objective of 0.
    pub fn is_switched_off(&self) -> bool {
        self.objective == 0.0
    }
}
