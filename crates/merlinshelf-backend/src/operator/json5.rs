//! Parsing of the operators' files, which are JSON5, with errors that name line and field.

use std::fmt;

use garde::Validate;
use serde::de::{DeserializeOwned, IgnoredAny};
use thiserror::Error;

/// Why the text of a file can't be used. Lines and columns are counted from 1.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Json5Error {
    /// The text is not JSON5, or has an unknown field or one of the wrong type.
    #[error("{position}:{} {reason}", field_prefix(field))]
    Syntax {
        /// The position of the error.
        position: Position,
        /// The path of the field; empty for the document itself.
        field: String,
        /// The parser's message.
        reason: String,
    },
    /// More text follows after the document.
    #[error("1: {reason}")]
    TrailingText {
        /// The parser's message.
        reason: String,
    },
    /// Fields have values that can't be used.
    #[error("{}", join(.0))]
    InvalidFields(Vec<InvalidField>),
}

/// The position of an error in a text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Position {
    /// A line and a column.
    At {
        /// The line.
        line: usize,
        /// The column.
        column: usize,
    },
    /// The parser does not report it; shown as line 1.
    Unknown,
}

impl fmt::Display for Position {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Position::At { line, column } => write!(formatter, "{line}:{column}"),
            Position::Unknown => formatter.write_str("1"),
        }
    }
}

/// A field whose value can't be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{line}: {field}: {reason}")]
pub struct InvalidField {
    /// The line of the field.
    pub line: usize,
    /// The path of the field.
    pub field: String,
    /// What is wrong, or what is expected.
    pub reason: String,
}

fn field_prefix(field: &str) -> String {
    if field.is_empty() {
        String::new()
    } else {
        format!(" {field}:")
    }
}

fn join(fields: &[InvalidField]) -> String {
    let texts: Vec<String> = fields.iter().map(ToString::to_string).collect();
    texts.join("; ")
}

/// Parses and validates the text of an operators' file.
///
/// # Errors
/// The text is `LINE:COLUMN: FIELD: REASON` for invalid JSON5 or an unknown field, and
/// `LINE: FIELD: REASON` for an invalid value.
pub fn parse_json5<T>(text: &str) -> Result<T, Json5Error>
where
    T: DeserializeOwned + Validate,
    T::Context: Default,
{
    let mut deserializer = json5::Deserializer::from_str(text);
    let document: T = serde_path_to_error::deserialize(&mut deserializer).map_err(syntax_error)?;
    // The deserializer above stops after the first value; this one reads the text to its end.
    json5::from_str::<IgnoredAny>(text).map_err(|error| Json5Error::TrailingText {
        reason: error.to_string(),
    })?;
    document
        .validate()
        .map_err(|report| invalid_fields(text, &report))?;
    Ok(document)
}

fn syntax_error(error: serde_path_to_error::Error<json5::Error>) -> Json5Error {
    let path = error.path().to_string();
    let error = error.into_inner();
    let text = error.to_string();
    // The parser's message ends with the position, which is shown first.
    let reason = text
        .rsplit_once(" at ")
        .map_or(text.as_str(), |(reason, _)| reason);
    Json5Error::Syntax {
        position: error
            .position()
            .map_or(Position::Unknown, |position| Position::At {
                line: position.line + 1,
                column: position.column + 1,
            }),
        field: if path == "." { String::new() } else { path },
        reason: reason.to_owned(),
    }
}

fn invalid_fields(text: &str, report: &garde::Report) -> Json5Error {
    let fields = report.iter().map(|(path, error)| {
        let field = path.to_string();
        InvalidField {
            line: line_of_field(text, &field),
            field,
            reason: error.message().to_owned(),
        }
    });
    Json5Error::InvalidFields(fields.collect())
}

/// The line of a field: that of the last name of its dotted path, searched for after the other
/// names.
fn line_of_field(text: &str, path: &str) -> usize {
    let mut offset = 0;
    for name in path.split('.') {
        offset += text[offset..].find(name).unwrap_or(0);
    }
    text[..offset].matches('\n').count() + 1
}
