//! Reading files of JSON with comments.

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

/// The settings of a daemon, of either kind.
#[derive(Debug, Clone, PartialEq)]
pub enum SettingsFile {
    /// For a daemon before engines that answer to this project's own interface.
    Platform(Settings),
    /// For a daemon whose state lies in an outside store.
    Entry(EntrySettings),
}

/// The key that tells the two kinds of settings from each other.
const STORE_KEY: &str = "store_address";

/// Reads the settings of a process.
///
/// # Errors
///
/// Fails if the file cannot be read or is not what a process needs.
pub fn read_settings(path: &Path) -> Result<SettingsFile> {
    let file = path.display().to_string();
    let text = fs::read_to_string(path).map_err(|error| {
        let message = format!("cannot be read ({error}); check the path and its permissions");
        Error::new(&file, Category::Io, vec![Problem { line: 0, column: 0, message }])
    })?;
    let keys: BTreeMap<String, serde_json::Value> = read_jsonc(&text, &file)?;
    if keys.contains_key(STORE_KEY) {
        let settings: EntrySettings = read_jsonc(&text, &file)?;
        refuse(&text, &file, settings.findings())?;
        return Ok(SettingsFile::Entry(settings));
    }
    let settings: Settings = read_jsonc(&text, &file)?;
    refuse(&text, &file, settings.findings())?;
    Ok(SettingsFile::Platform(settings))
}

/// Fails with everything that was found wrong, each with its place.
fn refuse(text: &str, file: &str, findings: Vec<(Vec<&'static str>, String)>) -> Result<()> {
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
