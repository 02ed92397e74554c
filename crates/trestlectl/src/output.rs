//! Lines on standard output.

use std::io::{self, Write};

/// Prints a line; a reader that has gone away is no error.
pub(crate) fn line(text: &str) {
    let _ = writeln!(io::stdout(), "{text}");
}
