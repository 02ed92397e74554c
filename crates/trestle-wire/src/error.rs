//! Error of this crate.

use snafu::Snafu;

/// The result of a conversion.
pub type Result<T> = std::result::Result<T, Error>;

/// A received or stored value that cannot be converted.
#[derive(Debug, Snafu)]
pub struct Error(Inner);

#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum Inner {
    #[snafu(display("`{key}` is not the key of a row that this version knows"))]
    Key { key: String },
    #[snafu(display("the content of row `{key}` is not understood: {source}"))]
    Content { key: String, source: serde_json::Error },
}
