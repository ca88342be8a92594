//! The owners of the shards, chosen among the serving endpoints of a view.

use call::owner::pick_owners;
use call::reserve::SHARD_COUNT;
use config::{State, View};
use std::net::SocketAddr;
use std::sync::Arc;

/// Where a claim or an outcome is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Destination {
    Local,
    Remote(SocketAddr),
}

/// The owners of each shard in one view, computed on first use.
#[derive(Debug)]
pub(crate) struct Owners {
    pub(crate) view: Arc<View>,
    by_shard: Vec<Option<[Option<Destination>; 2]>>,
}

impl Owners {
    pub(crate) fn new(view: Arc<View>) -> Self {
        Self {
            view,
            by_shard: vec![None; usize::from(SHARD_COUNT)],
        }
    }

    /// Returns the owners of a shard; `local_node` is the name of this node.
    pub(crate) fn find(&mut self, shard: u16, local_node: &str) -> [Option<Destination>; 2] {
        let view = &self.view;
        let cached = &mut self.by_shard[usize::from(shard)];
        *cached.get_or_insert_with(|| {
            let serving = view.endpoints().iter();
            let serving = serving.filter(|endpoint| endpoint.state == State::Serving);
            let serving: Vec<_> = serving.collect();
            let names = serving.iter().map(|endpoint| endpoint.node.as_str());
            pick_owners(shard, names).map(|index| {
                let endpoint = serving[index?];
                Some(if endpoint.node == local_node {
                    Destination::Local
                } else {
                    Destination::Remote(endpoint.address)
                })
            })
        })
    }
}
