//! Prints lines to standard output.

use std::io::{self, Write};

/// Prints a line; ignores errors, such as a closed pipe.
pub(crate) fn line(text: &str) {
    let _ = writeln!(io::stdout(), "{text}");
}
