//! Reads and checks files of JSON with comments.

use crate::{
    check,
    config::Config,
    entry_settings::EntrySettings,
    error::{Category, Error, Problem, Result},
    file::ConfigFile,
    locate,
    settings::Settings,
};
use json_comments::StripComments;
use serde::de::DeserializeOwned;
use sha2::{Digest, Sha256};
use std::{collections::BTreeMap, fs, path::Path};

/// Parses and checks a configuration; `file` is the name of the file in errors.
///
/// # Errors
///
/// Fails if the text is not JSON with comments, has unknown or duplicate keys, or has values that
/// are not valid or contradict each other. All such values are reported at once.
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

/// Settings of a daemon, of either kind.
#[derive(Debug, Clone, PartialEq)]
pub enum SettingsFile {
    /// Settings of a daemon whose state is on the platform and whose engines have this project's
    /// own interface.
    Platform(Settings),
    /// Settings of a daemon whose state is in an outside store.
    Entry(EntrySettings),
}

/// Key that only the settings of a daemon with an outside store have.
const STORE_KEY: &str = "store_address";

/// Reads and checks the settings of a daemon.
///
/// # Errors
///
/// Fails if the file cannot be read, is not JSON with comments, has unknown or duplicate keys, or
/// has values that are not valid.
pub fn read_settings(path: &Path) -> Result<SettingsFile> {
    let file = path.display().to_string();
    let text = fs::read_to_string(path).map_err(|error| {
        let message = format!("cannot be read ({error}); check the path and its permissions");
        Error::new(&file, Category::Io, vec![Problem { line: 0, column: 0, message }])
    })?;
    let keys: BTreeMap<String, serde_json::Value> = read_jsonc(&text, &file)?;
    if keys.contains_key(STORE_KEY) {
        let settings: EntrySettings = read_jsonc(&text, &file)?;
        reject_findings(&text, &file, settings.findings())?;
        return Ok(SettingsFile::Entry(settings));
    }
    let settings: Settings = read_jsonc(&text, &file)?;
    reject_findings(&text, &file, settings.findings())?;
    Ok(SettingsFile::Platform(settings))
}

/// Returns an error with the position of each finding, or `Ok` if there is none.
fn reject_findings(
    text: &str,
    file: &str,
    findings: Vec<(Vec<&'static str>, String)>,
) -> Result<()> {
    let problems: Vec<Problem> = findings
        .into_iter()
        .map(|(path, message)| {
            let message = format!("{}: {message}", path.join("."));
            locate::problem_at(text, &path, message)
        })
        .collect();
    match problems.is_empty() {
        true => Ok(()),
        false => Err(Error::new(file, Category::Data, problems)),
    }
}

/// Parses a value of any type from JSON with comments; `file` is the name of the file in errors.
///
/// # Errors
///
/// Fails if the text is not JSON with comments, if an object has duplicate keys, or if the content
/// does not match the type.
pub fn read_jsonc<T: DeserializeOwned>(text: &str, file: &str) -> Result<T> {
    let stripped = StripComments::new(text.as_bytes());
    let content = serde_json::from_reader(stripped).map_err(|error| {
        let category = if error.is_data() { Category::Data } else { Category::Syntax };
        let (line, column) = (error.line(), error.column());
        let message = message_of(&error);
        Error::new(file, category, vec![Problem { line, column, message }])
    })?;
    let duplicates = locate::duplicate_keys(text);
    if duplicates.is_empty() {
        Ok(content)
    } else {
        Err(Error::new(file, Category::Data, duplicates))
    }
}

/// Returns the SHA-256 of a secret in hexadecimal, which the configuration has in place of the
/// secret.
pub fn digest(secret: &str) -> String {
    hex::encode(Sha256::digest(secret.as_bytes()))
}

/// Returns the error's text without its line and column; for syntax errors, with advice.
fn message_of(error: &serde_json::Error) -> String {
    let text = error.to_string();
    let what = text.rsplit_once(" at line ").map_or(text.as_str(), |(what, _)| what);
    if error.is_syntax() || error.is_eof() {
        format!("{what}; the file must be one JSON object, comments allowed, no trailing commas")
    } else {
        what.to_owned()
    }
}
