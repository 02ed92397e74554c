//! Lines and columns of keys and values in JSON with comments.

use crate::error::Problem;
use jsonc_parser::{
    CollectOptions, ParseOptions,
    ast::{ObjectPropName, Value},
    common::Ranged,
    parse_to_ast,
};
use std::collections::BTreeSet;

/// Creates a problem with the line and column of the key that a path of keys leads to.
///
/// If the path does not exist in the text, the position of its last existing key is used.
pub(crate) fn problem_at(text: &str, path: &[&str], message: String) -> Problem {
    let offset = offset_of(text, path).unwrap_or(0);
    let (line, column) = line_and_column(text, offset);
    Problem { line, column, message }
}

/// Returns a problem for each key that occurs more than once in one object.
pub(crate) fn duplicate_keys(text: &str) -> Vec<Problem> {
    let mut problems = Vec::new();
    let parsed = parse_to_ast(text, &CollectOptions::default(), &ParseOptions::default());
    if let Ok(Some(value)) = parsed.map(|parsed| parsed.value) {
        collect_duplicates(text, &value, &mut problems);
    }
    problems
}

fn collect_duplicates(text: &str, value: &Value<'_>, problems: &mut Vec<Problem>) {
    match value {
        Value::Object(object) => {
            let mut seen = BTreeSet::new();
            for property in &object.properties {
                let name = name_of(&property.name);
                if !seen.insert(name) {
                    let (line, column) = line_and_column(text, property.name.start());
                    let message = format!("key `{name}` stands twice; remove one of them");
                    problems.push(Problem { line, column, message });
                }
                collect_duplicates(text, &property.value, problems);
            }
        }
        Value::Array(array) => {
            for element in &array.elements {
                collect_duplicates(text, element, problems);
            }
        }
        _ => {}
    }
}

fn offset_of(text: &str, path: &[&str]) -> Option<usize> {
    let parsed = parse_to_ast(text, &CollectOptions::default(), &ParseOptions::default()).ok()?;
    let mut value = parsed.value?;
    let mut offset = value.start();
    for part in path {
        let Value::Object(object) = value else { break };
        let Some(property) =
            object.properties.into_iter().find(|property| name_of(&property.name) == *part)
        else {
            break;
        };
        offset = property.name.start();
        value = property.value;
    }
    Some(offset)
}

fn name_of<'a>(name: &'a ObjectPropName<'_>) -> &'a str {
    name.as_str()
}

fn line_and_column(text: &str, offset: usize) -> (usize, usize) {
    let before = text.get(..offset).unwrap_or("");
    let line = before.matches('\n').count() + 1;
    let column = before.chars().rev().take_while(|c| *c != '\n').count() + 1;
    (line, column)
}
