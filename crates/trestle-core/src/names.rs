//! Names of the things that decisions are about.
//!
//! Each kind of name is a type of its own, so that a model cannot be passed
//! where an endpoint is meant. Copies share their text: decisions hold each name many times.

use std::sync::Arc;

macro_rules! name_type {
    ($($(#[$doc:meta])* $name:ident;)+) => {
        $(
            $(#[$doc])*
            #[trestle_macros::key]
            pub struct $name(Arc<str>);

            impl $name {
                /// The name as text.
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
    /// A VM that runs a daemon.
    VmName;
    /// A failure domain.
    DomainName;
    /// An engine or a server of a plain service.
    EndpointName;
    /// A model, as the configuration names it.
    ModelName;
    /// A team, whose callers share limits.
    TeamName;
    /// A service: engines, or servers of a plain application, that stand for each other.
    ServiceName;
    /// An adapter of a model, by the name it has there.
    AdapterName;
}
