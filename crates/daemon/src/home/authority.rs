//! Determines which instance is the home of an upstream and which is its standby.

use basilramp_core::home::Authority;
use basilramp_core::{id, partition};

use crate::membership::{Handle, Peer};

/// Returns whether this instance is the home or the standby of an upstream, if either.
pub(super) fn own_authority(members: &Handle, upstream: &id::Upstream) -> Option<Authority> {
    let own = members.own_id();
    if members.home(upstream)?.id == own {
        return Some(Authority::Home);
    }
    let standby = standby(members, upstream)?;
    (standby.id == own).then_some(Authority::Standby)
}

/// Returns the standby of an upstream: the instance that would become its home if the home were
/// lost.
pub(crate) fn standby(members: &Handle, upstream: &id::Upstream) -> Option<Peer> {
    let home = members.home(upstream)?;
    let mut others = members.live_instances();
    others.retain(|peer| peer.id != home.id);
    let key = upstream.as_str().as_bytes();
    let next_home = partition::preferred_instance(key, others.iter().map(|peer| &peer.id))?.clone();
    others.into_iter().find(|peer| peer.id == next_home)
}
