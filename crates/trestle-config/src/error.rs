//! The error of this crate.

use std::fmt;

/// The result of reading or checking a file.
pub type Result<T> = std::result::Result<T, Error>;

/// Everything that is wrong with one file.
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

/// What kind of trouble an [`Error`] is about.
#[trestle_macros::plain]
#[derive(Copy)]
pub enum Category {
    /// The file cannot be read.
    Io,
    /// The text is not JSON with comments.
    Syntax,
    /// The content is not what is expected there.
    Data,
}

/// One thing that is wrong, and what to do about it.
#[trestle_macros::plain]
pub struct Problem {
    /// Line, starting at 1; 0 where none applies.
    pub line: usize,
    /// Column, starting at 1; 0 where none applies.
    pub column: usize,
    /// What is wrong and what to do.
    pub message: String,
}

impl Error {
    #[cold]
    pub(crate) fn new(file: &str, category: Category, problems: Vec<Problem>) -> Self {
        Self { inner: Box::new(Inner { file: file.to_owned(), category, problems }) }
    }

    /// What kind of trouble it is.
    pub fn classify(&self) -> Category {
        self.inner.category
    }

    /// Everything that is wrong, in the order of the file.
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
