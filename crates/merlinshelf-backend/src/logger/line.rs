//! Formats the lines of the log as text or as JSON.

use std::time::Duration;

use log::Record;
use log::kv::{Error, Key, Value, VisitSource};
use serde_json::{Map, Number, json};

use crate::operator::Format;

/// One line.
pub(super) struct Line<'a> {
    pub record: &'a Record<'a>,
    pub part: &'a str,
    /// The time since 1970.
    pub time: Duration,
    /// The number of lines that were dropped before this one.
    pub missing_lines: u64,
}

/// The part of the program that a module belongs to, as shown in the log: the module's name, or the
/// program's for modules that manage the whole process.
pub(super) fn part(target: &str) -> &str {
    let mut modules = target.split("::").skip(1);
    match modules.next() {
        Some("process" | "instance" | "upgrade" | "startup_wait" | "control") => {
            return "merlinshelf";
        }
        // The name of this feature in the operators' file.
        Some("gossip") => return "learning",
        _ => {}
    }
    match target.rsplit("::").next().unwrap_or("") {
        // Modules of the agent's process.
        "host" | "event_loop" | "probing" | "instance_processes" | "recovery" => "merlinshelf",
        module => module,
    }
}

impl Line<'_> {
    /// Formats the line, with its line end.
    pub(super) fn format(&self, format: Format) -> String {
        match format {
            Format::Text => self.as_text(),
            Format::Json => self.as_json(),
        }
    }

    /// Seconds since 1970 with three decimals.
    fn timestamp(&self) -> String {
        format!("{}.{:03}", self.time.as_secs(), self.time.subsec_millis())
    }

    /// Time, level, part, text, and the number of lines missing before this one.
    pub(super) fn as_text(&self) -> String {
        let missing = if self.missing_lines > 0 {
            format!(" ({} lines lost before this)", self.missing_lines)
        } else {
            String::new()
        };
        format!(
            "{} {} {}: {}{missing}\n",
            self.timestamp(),
            self.record.level(),
            self.part,
            self.record.args()
        )
    }

    /// One object: time in Unix seconds, level, part, text, the number of lines missing before this
    /// one, and the fields.
    pub(super) fn as_json(&self) -> String {
        let mut fields = Fields(Map::new());
        // The visitor below never fails.
        let _ = self.record.key_values().visit(&mut fields);
        let time = match self.timestamp().parse::<Number>() {
            Ok(time) => json!(time),
            Err(_) => json!(self.time.as_secs()),
        };
        let mut object = Map::new();
        object.insert("time".into(), time);
        object.insert(
            "level".into(),
            json!(self.record.level().as_str().to_lowercase()),
        );
        object.insert("part".into(), json!(self.part));
        object.insert("text".into(), json!(self.record.args().to_string()));
        if self.missing_lines > 0 {
            object.insert("lost_before".into(), json!(self.missing_lines));
        }
        object.extend(fields.0);
        serde_json::Value::Object(object).to_string() + "\n"
    }
}

/// The fields of a line as JSON.
struct Fields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        self.0.insert(key.as_str().to_owned(), to_json(&value));
        Ok(())
    }
}

/// Numbers and booleans as such, everything else as text.
fn to_json(value: &Value) -> serde_json::Value {
    if let Some(number) = value.to_u64() {
        return json!(number);
    }
    if let Some(number) = value.to_i64() {
        return json!(number);
    }
    if let Some(number) = value.to_f64().filter(|number| number.is_finite()) {
        return json!(number);
    }
    match value.to_bool() {
        Some(is_true) => json!(is_true),
        None => json!(value.to_string()),
    }
}
