//! The fleet of the examples, as sessions run it.

/// Its configuration file.
pub const CONFIG: &str = include_str!("../../../examples/fleet.jsonc");

/// VMs of its daemons, three in one failure domain and two in each of the others.
pub const DAEMONS: [(&str, &str); 7] = [
    ("poa-centro-1", "poa-centro"),
    ("poa-centro-2", "poa-centro"),
    ("poa-centro-3", "poa-centro"),
    ("caxias-1", "caxias"),
    ("caxias-2", "caxias"),
    ("pelotas-1", "pelotas"),
    ("pelotas-2", "pelotas"),
];

/// Placements that its configuration asks for.
pub const PLACEMENTS: usize = 60;
