//! The example fleet, as used by sessions.

/// Content of the configuration file `examples/fleet.jsonc`.
pub const CONFIG: &str = include_str!("../../../examples/fleet.jsonc");

/// VMs of the daemons with their failure domains: three in one, and two in each of the others.
pub const DAEMONS: [(&str, &str); 7] = [
    ("poa-centro-1", "poa-centro"),
    ("poa-centro-2", "poa-centro"),
    ("poa-centro-3", "poa-centro"),
    ("caxias-1", "caxias"),
    ("caxias-2", "caxias"),
    ("pelotas-1", "pelotas"),
    ("pelotas-2", "pelotas"),
];

/// Number of placements, over all endpoints, that the configuration requires.
pub const PLACEMENTS: usize = 60;
