//! The owners of shards among the nodes that a view knows.

use call::owner::pick_owners;
use call::reserve::SHARD_COUNT;
use config::{State, View};
use std::net::SocketAddr;
use std::sync::Arc;

/// Whom to ask.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Way {
    Local,
    Remote(SocketAddr),
}

/// The owners of each shard in one view, found when first asked for.
#[derive(Debug)]
pub(crate) struct Owners {
    pub(crate) view: Arc<View>,
    ways: Vec<Option<[Option<Way>; 2]>>,
}

impl Owners {
    pub(crate) fn new(view: Arc<View>) -> Self {
        Self {
            view,
            ways: vec![None; usize::from(SHARD_COUNT)],
        }
    }

    pub(crate) fn find(&mut self, shard: u16, own: &str) -> [Option<Way>; 2] {
        let view = &self.view;
        let found = &mut self.ways[usize::from(shard)];
        *found.get_or_insert_with(|| {
            let serving = view.endpoints().iter();
            let serving = serving.filter(|endpoint| endpoint.state == State::Serving);
            let serving: Vec<_> = serving.collect();
            let names = serving.iter().map(|endpoint| endpoint.node.as_str());
            pick_owners(shard, names).map(|index| {
                let endpoint = serving[index?];
                Some(if endpoint.node == own {
                    Way::Local
                } else {
                    Way::Remote(endpoint.address)
                })
            })
        })
    }
}
