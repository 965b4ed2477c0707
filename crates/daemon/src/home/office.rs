//! Which instance is the home of an upstream, and which its deputy.

use basilramp_core::home::Office;
use basilramp_core::{id, partition};

use crate::membership::{Handle, Peer};

/// Returns the office that this instance holds for an upstream, if any.
pub(super) fn own(members: &Handle, upstream: &id::Upstream) -> Option<Office> {
    let own = members.own();
    if members.home(upstream)?.id == own {
        return Some(Office::Home);
    }
    let deputy = deputy(members, upstream)?;
    (deputy.id == own).then_some(Office::Deputy)
}

/// Returns the deputy of an upstream: who would be its home if the home were gone.
pub(crate) fn deputy(members: &Handle, upstream: &id::Upstream) -> Option<Peer> {
    let home = members.home(upstream)?;
    let mut others = members.live();
    others.retain(|peer| peer.id != home.id);
    let key = upstream.as_str().as_bytes();
    let wanted = partition::wanted(key, others.iter().map(|peer| &peer.id))?.clone();
    others.into_iter().find(|peer| peer.id == wanted)
}
