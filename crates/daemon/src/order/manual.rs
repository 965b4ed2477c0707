//! Orders that operators give by hand.
//!
//! They go through the same row as those of the plan, so they have a fencing number of their own.
//! The plan goes on: an order that it disagrees with is undone in a later round.

use basilramp_core::id;
use basilramp_core::upstream::Listing;
use basilramp_wire::engine::Order;
use basilramp_wire::error::{Error, Kind};
use tokio::sync::{mpsc, oneshot};

use super::{DELIVERY_MARGIN_MS, ORDER_VALID_MS, OrderSender, send_order};

/// Orders that wait for the sender.
const QUEUE_CAPACITY: usize = 16;

/// Gives orders to the engines homed here.
#[derive(Clone, Debug)]
pub(crate) struct Handle {
    orders: mpsc::Sender<ManualOrder>,
}

/// An order that an operator asked for.
#[derive(Debug)]
pub(super) struct ManualOrder {
    engine: id::Upstream,
    order: Order,
    reply: oneshot::Sender<Result<u64, Error>>,
}

/// Opens the queue of orders.
pub(super) fn channel() -> (Handle, mpsc::Receiver<ManualOrder>) {
    let (orders, receiver) = mpsc::channel(QUEUE_CAPACITY);
    (Handle { orders }, receiver)
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
        let (reply, outcome) = oneshot::channel();
        let order = ManualOrder {
            engine,
            order,
            reply,
        };
        let closed = || Error::new(Kind::NotReady, "the instance gives no orders now");
        self.orders.send(order).await.map_err(|_| closed())?;
        outcome.await.unwrap_or_else(|_| Err(closed()))
    }
}

impl OrderSender {
    /// Records an order and sends it.
    pub(super) async fn issue_manual(&mut self, order: ManualOrder) {
        let outcome = self.record_order(&order.engine, &order.order).await;
        let outcome = outcome.map(|(engine, version)| {
            let client = self.client.clone();
            let log = self.dependencies.log.clone();
            tokio::spawn(send_order(client, engine, order.order, version, false, log));
            version
        });
        // An asker that has gone finds the order in the log.
        let _ = order.reply.send(outcome);
    }

    /// Writes an order's row, and returns the engine and the order's fencing number.
    async fn record_order(
        &mut self,
        engine: &id::Upstream,
        order: &Order,
    ) -> Result<(Listing, u64), Error> {
        let homed = self.dependencies.homes.engines();
        let listing = homed.into_iter().find(|listing| listing.id == *engine);
        let listing = listing.ok_or_else(|| {
            let message = format!("{engine} is no engine that is homed here now");
            Error::new(Kind::UpstreamUnavailable, message)
        })?;
        let config = self.dependencies.config.current();
        let place = config.places.get(&listing.place);
        let fencing = place.is_some_and(|place| place.fencing);
        let version = self
            .next_fencing_number(engine, fencing)
            .await
            .ok_or_else(|| {
                let message =
                    "an earlier order may still be on its way, or the store is out of reach";
                Error::new(Kind::Overloaded, message).retry_after(ORDER_VALID_MS)
            })?;
        let start = self.dependencies.clock.now();
        let written = self.write_row(engine, order, version).await;
        let age_ms = self.dependencies.clock.now().since(start);
        if !written || age_ms + DELIVERY_MARGIN_MS >= ORDER_VALID_MS {
            let message = "the order was not recorded in time, and was not sent";
            return Err(Error::new(Kind::StoreUnavailable, message).retry_after(ORDER_VALID_MS));
        }
        Ok((listing, version))
    }
}
