//! Attribute macros for the sets of derives that the workspace shares.
//!
//! Most types of the workspace use one of three sets of derives. The name of the set shows what a
//! type is for, and the sets are the same in all crates:
//!
//! - `#[plain]`: a value that is compared and printed.
//! - `#[key]`: a small value that is ordered and used as a key.
//! - `#[wire]`: a message, row or file entry that leaves or enters the process.
//!
//! The crate of a `#[wire]` type must depend on `serde`.

use proc_macro::TokenStream;

/// Derives `Debug`, `Clone`, `PartialEq` and `Eq`.
#[proc_macro_attribute]
pub fn plain(_arguments: TokenStream, item: TokenStream) -> TokenStream {
    with_derives("Debug, Clone, PartialEq, Eq", item)
}

/// Derives `Debug`, `Clone`, `PartialEq`, `Eq`, `PartialOrd` and `Ord`.
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
