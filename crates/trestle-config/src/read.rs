//! Reading files of JSON with comments.

use crate::{
    check,
    config::Config,
    error::{Category, Error, Problem, Result},
    file::ConfigFile,
    locate,
    settings::Settings,
};
use json_comments::StripComments;
use serde::de::DeserializeOwned;
use sha2::{Digest, Sha256};
use std::{fs, path::Path};

/// Reads and checks a configuration; `file` names it in errors.
///
/// # Errors
///
/// Fails if the text is not JSON with comments, has keys that are not known or
/// stand twice, or contradicts itself. All contradictions are told at once.
pub fn from_str(text: &str, file: &str) -> Result<Config> {
    let content: ConfigFile = read_jsonc(text, file)?;
    let findings = check::findings(&content);
    if findings.is_empty() {
        return Ok(Config::from(content));
    }
    let mut problems: Vec<Problem> = findings
        .into_iter()
        .map(|finding| {
            let path: Vec<&str> = finding.path.iter().map(String::as_str).collect();
            let message = format!("{}: {}", path.join("."), finding.message);
            locate::problem_at(text, &path, message)
        })
        .collect();
    problems.sort_by_key(|problem| (problem.line, problem.column));
    Err(Error::new(file, Category::Data, problems))
}

/// Reads the settings of a process.
///
/// # Errors
///
/// Fails if the file cannot be read or is not what a process needs.
pub fn read_settings(path: &Path) -> Result<Settings> {
    let file = path.display().to_string();
    let text = fs::read_to_string(path).map_err(|error| {
        let message = format!("cannot be read ({error}); check the path and its permissions");
        Error::new(&file, Category::Io, vec![Problem { line: 0, column: 0, message }])
    })?;
    let settings: Settings = read_jsonc(&text, &file)?;
    let problems: Vec<Problem> = settings
        .findings()
        .into_iter()
        .map(|(path, message)| {
            let message = format!("{}: {message}", path.join("."));
            locate::problem_at(&text, &path, message)
        })
        .collect();
    if problems.is_empty() {
        Ok(settings)
    } else {
        Err(Error::new(&file, Category::Data, problems))
    }
}

/// Reads any type from JSON with comments.
///
/// # Errors
///
/// Fails if the text is not JSON with comments, a key stands twice, or the
/// content does not fit the type.
pub fn read_jsonc<T: DeserializeOwned>(text: &str, file: &str) -> Result<T> {
    let stripped = StripComments::new(text.as_bytes());
    let content = serde_json::from_reader(stripped).map_err(|error| {
        let category = if error.is_data() { Category::Data } else { Category::Syntax };
        let (line, column) = (error.line(), error.column());
        let message = advice(&error);
        Error::new(file, category, vec![Problem { line, column, message }])
    })?;
    let duplicates = locate::duplicate_keys(text);
    if duplicates.is_empty() {
        Ok(content)
    } else {
        Err(Error::new(file, Category::Data, duplicates))
    }
}

/// The SHA-256 of a secret, in hexadecimal, as the configuration holds it.
pub fn digest(secret: &str) -> String {
    hex::encode(Sha256::digest(secret.as_bytes()))
}

fn advice(error: &serde_json::Error) -> String {
    let text = error.to_string();
    let what = text.rsplit_once(" at line ").map_or(text.as_str(), |(what, _)| what);
    if error.is_syntax() || error.is_eof() {
        format!("{what}; the file must be one JSON object, comments allowed, no trailing commas")
    } else {
        what.to_owned()
    }
}
