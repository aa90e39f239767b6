//! The settings that the platform hands over: names and values as text, read where they are used.

use std::collections::BTreeMap;

use thiserror::Error;

/// The settings as they were handed over at the start: names and values, unread.
pub type Settings = BTreeMap<String, String>;

/// Why an instance can't start with its settings.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SettingError {
    /// The value is used as a number and is not a finite one.
    #[error("setting {name}={value:?} is no number")]
    NotANumber {
        /// Name of the setting.
        name: String,
        /// Its value as handed over.
        value: String,
    },
    /// An operation with an idempotency key names no time for which its keys are remembered.
    #[error("setting Classes.{operation}.MemorySpanUs is missing or 0, but its effect needs it")]
    MissingIdempotencyWindow {
        /// Index of the operation in the settings.
        operation: usize,
    },
}

/// Settings whose names end so are numbers.
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

/// Settings whose names end so take one of a few words.
const ENUMERATIONS: [(&str, &str); 2] = [
    (".Effect", "read_like idempotency_key non_idempotent"),
    (".Halt", "silent discard freeze"),
];

const MICROSECONDS: f64 = 1e6;

/// Reads settings by name. Parsing is repeated at each use: a policy may replace the settings at
/// any time.
#[derive(Default)]
pub(crate) struct SettingsReader(Settings);

impl SettingsReader {
    /// Checks what will be read later. Words that are not known are returned as lines for the log:
    /// an unknown effect is taken for `non_idempotent` and an unknown halt for none, the strictest
    /// reading of each.
    ///
    /// # Errors
    /// The first setting, by name, that is to be a number and is not.
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

    /// The text of a setting, empty where it is absent.
    pub fn text(&self, name: &str) -> &str {
        self.0.get(name).map_or("", String::as_str)
    }

    /// A number, or `absent` where there is none.
    pub fn number(&self, name: &str, absent: f64) -> f64 {
        self.0
            .get(name)
            .and_then(|text| text.parse().ok())
            .unwrap_or(absent)
    }

    /// A time that the settings give in microseconds, in seconds; `absent`, in seconds, where there
    /// is none.
    pub fn seconds(&self, name: &str, absent: f64) -> f64 {
        self.0
            .get(name)
            .and_then(|text| text.parse().ok())
            .map_or(absent, |microseconds: f64| microseconds / MICROSECONDS)
    }

    /// Whether a setting is switched on, in either of the two forms that platforms write.
    pub fn is_on(&self, name: &str) -> bool {
        is_true(self.text(name))
    }

    /// Cores of the engine, one at the least.
    pub fn cores(&self) -> f64 {
        self.number("FamilyInfo.Cores", 1.0).max(1.0)
    }

    /// Mean number of downstream calls that this instance may have open; infinite where the
    /// settings name none.
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

/// What the settings say of one operation. Times are seconds.
#[derive(Default)]
pub(crate) struct OperationSettings {
    /// Running it twice does no harm.
    pub is_idempotent: bool,
    /// Repeats carry the same idempotency key and are answered with the first one's result.
    pub has_idempotency_key: bool,
    /// Latency objective; 0 where the operators have switched the operation off.
    pub objective: f64,
    /// What the objective grows by for each second of hinted cost.
    pub objective_stretch: f64,
    /// After this long the caller gives up.
    pub timeout: f64,
    /// Billed value of an answer within the objective.
    pub value: f64,
    /// Part of the value that a later answer still has.
    pub late_value: f64,
    /// For how long a repeat of an arrival may come.
    pub idempotency_window: f64,
    /// Part of the value that an answer without its downstream call has; 0 where it can't do
    /// without.
    pub value_without_call: f64,
    /// It makes downstream calls.
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

    /// It can't be answered without its downstream call.
    pub fn needs_call(&self) -> bool {
        self.makes_calls && self.value_without_call == 0.0
    }

    /// Whether the operators have switched it off: an objective of nothing is met by nothing.
    pub fn is_switched_off(&self) -> bool {
        self.objective == 0.0
    }
}
