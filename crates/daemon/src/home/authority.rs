//! Which instance is the home of an upstream, and which its standby.

use basilramp_core::home::Authority;
use basilramp_core::{id, partition};

use crate::membership::{Handle, Peer};

/// Returns the authority that this instance holds for an upstream, if any.
pub(super) fn own(members: &Handle, upstream: &id::Upstream) -> Option<Authority> {
    let own = members.own();
    if members.home(upstream)?.id == own {
        return Some(Authority::Home);
    }
    let standby = standby(members, upstream)?;
    (standby.id == own).then_some(Authority::Standby)
}

/// Returns the standby of an upstream: who would be its home if the home were gone.
pub(crate) fn standby(members: &Handle, upstream: &id::Upstream) -> Option<Peer> {
    let home = members.home(upstream)?;
    let mut others = members.live();
    others.retain(|peer| peer.id != home.id);
    let key = upstream.as_str().as_bytes();
    let wanted = partition::preferred_instance(key, others.iter().map(|peer| &peer.id))?.clone();
    others.into_iter().find(|peer| peer.id == wanted)
}
