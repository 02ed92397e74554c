//! Types of names.
//!
//! Each kind of name has its own type, so that a model cannot be passed where an endpoint is
//! expected. Clones share their text, because decisions hold each name many times.

use std::sync::Arc;

macro_rules! name_type {
    ($($(#[$doc:meta])* $name:ident;)+) => {
        $(
            $(#[$doc])*
            #[trestle_macros::key]
            pub struct $name(Arc<str>);

            impl $name {
                /// Returns the name as text.
                pub fn as_str(&self) -> &str {
                    &self.0
                }
            }

            impl From<&str> for $name {
                fn from(text: &str) -> Self {
                    Self(text.into())
                }
            }

            impl From<String> for $name {
                fn from(text: String) -> Self {
                    Self(text.into())
                }
            }

            impl From<Arc<str>> for $name {
                fn from(text: Arc<str>) -> Self {
                    Self(text)
                }
            }

            impl AsRef<str> for $name {
                fn as_ref(&self) -> &str {
                    &self.0
                }
            }

            impl std::borrow::Borrow<str> for $name {
                fn borrow(&self) -> &str {
                    &self.0
                }
            }

            impl std::fmt::Display for $name {
                fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                    f.write_str(&self.0)
                }
            }
        )+
    };
}

name_type! {
    /// Name of a VM that runs a daemon.
    VmName;
    /// Name of a failure domain.
    DomainName;
    /// Name of an endpoint: a model engine or a server of a plain service.
    EndpointName;
    /// Name of a model in the configuration.
    ModelName;
    /// Name of a team, whose callers share keys and limits.
    TeamName;
    /// Name of a service: interchangeable engines, or interchangeable servers of a plain service.
    ServiceName;
    /// Name of an adapter, unique within its model.
    AdapterName;
    /// Version of an endpoint's software. Versions have no order.
    SoftwareVersion;
}
