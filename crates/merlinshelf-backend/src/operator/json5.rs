//! Parsing of the operators' files, which are JSON5, with errors that name line and field.

use std::fmt;

use garde::Validate;
use serde::de::{DeserializeOwned, IgnoredAny};
use thiserror::Error;

/// Why the text of a file can't be used. Lines and columns are counted from 1.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Json5Error {
    /// The text is no JSON5, or has a field that does not exist or is of another type.
    #[error("{position}:{} {reason}", field_prefix(field))]
    Syntax {
        /// Where.
        position: Position,
        /// The path of the field; empty at the top.
        field: String,
        /// What the parser says.
        reason: String,
    },
    /// Text follows behind the document.
    #[error("1: {reason}")]
    TrailingText {
        /// What the parser says.
        reason: String,
    },
    /// Fields have values that can't be used.
    #[error("{}", join(.0))]
    InvalidFields(Vec<InvalidField>),
}

/// Where in a text an error is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Position {
    /// A line and a column.
    At {
        /// The line.
        line: usize,
        /// The column.
        column: usize,
    },
    /// The parser does not say where; shown as line 1.
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
    /// The line in which the field stands.
    pub line: usize,
    /// The path of the field.
    pub field: String,
    /// What would be right.
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
/// `LINE:COLUMN: FIELD: REASON` for what is no JSON5 or no such field, `LINE: FIELD: REASON` for a
/// value that is out of range.
pub fn parse_json5<T>(text: &str) -> Result<T, Json5Error>
where
    T: DeserializeOwned + Validate,
    T::Context: Default,
{
    let mut deserializer = json5::Deserializer::from_str(text);
    let document: T = serde_path_to_error::deserialize(&mut deserializer).map_err(syntax_error)?;
    // The deserializer above stops behind the first value; this one reads the text to its end.
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
    // The parser's text ends with the position, which is shown in front.
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

/// The line in which the last name of a dotted path stands behind the others.
fn line_of_field(text: &str, path: &str) -> usize {
    let mut offset = 0;
    for name in path.split('.') {
        offset += text[offset..].find(name).unwrap_or(0);
    }
    text[..offset].matches('\n').count() + 1
}
