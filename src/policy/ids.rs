//! Numbers by which queries, workers and their places are known.

use serde::{Deserialize, Serialize};

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {
        $($(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        pub struct $name(pub $inner);)*
    };
}

ids! {
    /// A query, or one part of it.
    RequestId(u64);
    /// The number that joins a query and its parts at one aggregator.
    JobId(u64);
    /// A server that answers parts.
    WorkerId(u32);
    /// A slice of the data; shard `s` is held by the workers of `cells_per_shard` cells in a row from cell
    /// `s`.
    ShardId(u32);
    /// A position of a worker in the layout.
    CellId(u32);
    /// A class of query, as an index into `Settings::classes`.
    ClassId(usize);
    /// A tenant, as an index into `Settings::tenants`.
    TenantId(usize);
    /// A zone.
    ZoneId(u32);
    /// A number that comes back with a timer.
    TimerId(u64);
    /// The number of an attempt of a part, from 0.
    AttemptNo(u32);
}
