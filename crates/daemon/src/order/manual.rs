//! Orders that operators give by hand.
//!
//! They go through the same row as those of the plan, so they have a fencing number of their own.
//! The plan goes on: an order that it disagrees with is undone in a later round.

use basilramp_core::id;
use basilramp_core::upstream::Listing;
use basilramp_wire::engine::Order;
use basilramp_wire::error::{Error, Kind};
use tokio::sync::{mpsc, oneshot};

use super::{ARRIVAL_MS, Sender, VALID_MS, send};

/// Orders that wait for the sender.
const QUEUED: usize = 16;

/// Gives orders to the engines homed here.
#[derive(Clone, Debug)]
pub(crate) struct Handle {
    asked: mpsc::Sender<Asked>,
}

/// An order that an operator asked for.
#[derive(Debug)]
pub(super) struct Asked {
    engine: id::Upstream,
    order: Order,
    answer: oneshot::Sender<Result<u64, Error>>,
}

/// Opens the queue of orders.
pub(super) fn open() -> (Handle, mpsc::Receiver<Asked>) {
    let (asked, receiver) = mpsc::channel(QUEUED);
    (Handle { asked }, receiver)
}

impl Handle {
    /// Gives an engine homed here an order, and returns its fencing number.
    ///
    /// The order is recorded and on its way then; whether the engine obeys shows in its load.
    ///
    /// # Errors
    ///
    /// Every error says that the order was not sent.
    pub(crate) async fn submit(&self, engine: id::Upstream, order: Order) -> Result<u64, Error> {
        let (answer, outcome) = oneshot::channel();
        let asked = Asked {
            engine,
            order,
            answer,
        };
        let gone = || Error::new(Kind::NotReady, "the instance gives no orders now");
        self.asked.send(asked).await.map_err(|_| gone())?;
        outcome.await.unwrap_or_else(|_| Err(gone()))
    }
}

impl Sender {
    /// Records an order and sends it.
    pub(super) async fn give_by_hand(&mut self, asked: Asked) {
        let outcome = self.record(&asked.engine, &asked.order).await;
        let outcome = outcome.map(|(engine, version)| {
            let client = self.client.clone();
            let log = self.parts.log.clone();
            tokio::spawn(send(client, engine, asked.order, version, false, log));
            version
        });
        // An asker that has gone finds the order in the log.
        let _ = asked.answer.send(outcome);
    }

    /// Writes an order's row, and returns the engine and the order's fencing number.
    async fn record(
        &mut self,
        engine: &id::Upstream,
        order: &Order,
    ) -> Result<(Listing, u64), Error> {
        let homed = self.parts.homes.engines();
        let listing = homed.into_iter().find(|listing| listing.id == *engine);
        let listing = listing.ok_or_else(|| {
            let message = format!("{engine} is no engine that is homed here now");
            Error::new(Kind::UpstreamUnavailable, message)
        })?;
        let config = self.parts.config.current();
        let place = config.places.get(&listing.place);
        let fencing = place.is_some_and(|place| place.fencing);
        let version = self.next_version(engine, fencing).await.ok_or_else(|| {
            let message = "an earlier order may still be on its way, or the store is out of reach";
            Error::new(Kind::Overloaded, message).retry_after(VALID_MS)
        })?;
        let start = self.parts.clock.now();
        let written = self.write(engine, order, version).await;
        let age_ms = self.parts.clock.now().since(start);
        if !written || age_ms + ARRIVAL_MS >= VALID_MS {
            let message = "the order was not recorded in time, and was not sent";
            return Err(Error::new(Kind::StoreUnavailable, message).retry_after(VALID_MS));
        }
        Ok((listing, version))
    }
}
