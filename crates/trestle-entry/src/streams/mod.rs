//! Streams whose service runs several versions of its software: which versions there are, where
//! streams began, and which other daemons know it.

pub(crate) mod keepers;
pub(crate) mod lookup;
pub(crate) mod versions;
