//! Error of this crate.

use std::fmt;

/// Result of reading or checking a file.
pub type Result<T> = std::result::Result<T, Error>;

/// All problems that were found in one file.
#[derive(Debug)]
pub struct Error {
    inner: Box<Inner>,
}

#[derive(Debug)]
struct Inner {
    file: String,
    category: Category,
    problems: Vec<Problem>,
}

/// Category of an [`Error`].
#[trestle_macros::plain]
#[derive(Copy)]
pub enum Category {
    /// The file cannot be read.
    Io,
    /// The text is not JSON with comments.
    Syntax,
    /// The content is not valid: a key is unknown, missing or duplicate, or a value is wrong.
    Data,
}

/// One problem of a file, and how to solve it.
#[trestle_macros::plain]
pub struct Problem {
    /// Line, counted from 1; 0 if the problem has no position in the file.
    pub line: usize,
    /// Column, counted from 1; 0 if the problem has no position in the file.
    pub column: usize,
    /// Description of the problem and of its solution.
    pub message: String,
}

impl Error {
    #[cold]
    pub(crate) fn new(file: &str, category: Category, problems: Vec<Problem>) -> Self {
        Self { inner: Box::new(Inner { file: file.to_owned(), category, problems }) }
    }

    /// Returns the category of the error.
    pub fn classify(&self) -> Category {
        self.inner.category
    }

    /// Returns the problems; those of a configuration file are in the order of the file.
    pub fn problems(&self) -> &[Problem] {
        &self.inner.problems
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.inner.problems.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{}", self.inner.file)?;
            if problem.line > 0 {
                write!(f, ":{}:{}", problem.line, problem.column)?;
            }
            write!(f, ": {}", problem.message)?;
        }
        Ok(())
    }
}

impl std::error::Error for Error {}
