//! Typed numeric identifiers of queries, workers, shards and the other objects of the decision module.

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
    /// The id of a query or of one part of it.
    RequestId(u64);
    /// A number that a query and its parts share at one aggregator.
    JobId(u64);
    /// The id of a server that answers parts.
    WorkerId(u32);
    /// The number of a shard of the data. Shard `s` is held by the workers of `cells_per_shard` consecutive
    /// cells from cell `s`.
    ShardId(u32);
    /// The number of a cell: the position of a worker in the data layout.
    CellId(u32);
    /// A class of query, as an index into `Settings::classes`.
    ClassId(usize);
    /// A tenant, as an index into `Settings::tenants`.
    TenantId(usize);
    /// The number of a zone.
    ZoneId(u32);
    /// A number that is returned with the event of a timer.
    TimerId(u64);
    /// The number of an attempt of a part, counted from 0.
    AttemptNo(u32);
}
