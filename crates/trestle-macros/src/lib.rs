//! Derive sets shared by the workspace.
//!
//! Most types of the project want one of three sets of derives. Naming the
//! set says what a type is for, and keeps the sets the same everywhere:
//!
//! - `#[plain]`: a value that is compared and printed.
//! - `#[key]`: a small value that orders and indexes others.
//! - `#[wire]`: a message or row that leaves the process.
//!
//! A `#[wire]` type needs `serde` among the dependencies of its crate.

use proc_macro::TokenStream;

/// Derives `Debug`, `Clone`, `PartialEq` and `Eq`.
#[proc_macro_attribute]
pub fn plain(_arguments: TokenStream, item: TokenStream) -> TokenStream {
    with_derives("Debug, Clone, PartialEq, Eq", item)
}

/// Derives what `#[plain]` derives, and `PartialOrd` and `Ord`.
#[proc_macro_attribute]
pub fn key(_arguments: TokenStream, item: TokenStream) -> TokenStream {
    with_derives("Debug, Clone, PartialEq, Eq, PartialOrd, Ord", item)
}

/// Derives `Debug`, `Clone`, `PartialEq`, `Serialize` and `Deserialize`.
#[proc_macro_attribute]
pub fn wire(_arguments: TokenStream, item: TokenStream) -> TokenStream {
    with_derives("Debug, Clone, PartialEq, ::serde::Serialize, ::serde::Deserialize", item)
}

fn with_derives(derives: &str, item: TokenStream) -> TokenStream {
    let attribute = format!("#[derive({derives})]");
    let mut output: TokenStream = attribute.parse().expect("a derive list parses");
    output.extend(item);
    output
}
