//! Manual orders from operators.
//!
//! They are written to the same row as planned orders and have their own fencing number. The plan
//! stays active: a later round undoes a manual order that contradicts it.

use basilramp_core::id;
use basilramp_core::upstream::Listing;
use basilramp_wire::engine::Order;
use basilramp_wire::error::{Error, Kind};
use tokio::sync::{mpsc, oneshot};

use super::{DELIVERY_MARGIN_MS, ORDER_VALID_MS, OrderSender, send_order};

/// Maximum number of manual orders in the queue.
const QUEUE_CAPACITY: usize = 16;

/// Submits manual orders to the engines homed here.
#[derive(Clone, Debug)]
pub(crate) struct Handle {
    orders: mpsc::Sender<ManualOrder>,
}

/// An order requested by an operator.
#[derive(Debug)]
pub(super) struct ManualOrder {
    engine: id::Upstream,
    order: Order,
    reply: oneshot::Sender<Result<u64, Error>>,
}

/// Creates the queue of manual orders.
pub(super) fn channel() -> (Handle, mpsc::Receiver<ManualOrder>) {
    let (orders, receiver) = mpsc::channel(QUEUE_CAPACITY);
    (Handle { orders }, receiver)
}

impl Handle {
    /// Submits an order to an engine homed here, and returns its fencing number.
    ///
    /// By then the order is recorded and being sent. Whether the engine follows it appears in the
    /// engine's load report.
    ///
    /// # Errors
    ///
    /// `NotReady` if the instance accepts no orders, `UpstreamUnavailable` if the engine is not homed
    /// here, `Overloaded` if an earlier order may still be valid, `StoreUnavailable` if the row was
    /// not written in time. The order was not sent.
    pub(crate) async fn submit(&self, engine: id::Upstream, order: Order) -> Result<u64, Error> {
        let (reply, outcome) = oneshot::channel();
        let order = ManualOrder {
            engine,
            order,
            reply,
        };
        let closed = || Error::new(Kind::NotReady, "the instance accepts no orders now");
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
        // An operator that has disconnected finds the order in the log.
        let _ = order.reply.send(outcome);
    }

    /// Writes an order's row. Returns the engine and the order's fencing number.
    async fn record_order(
        &mut self,
        engine: &id::Upstream,
        order: &Order,
    ) -> Result<(Listing, u64), Error> {
        let homed = self.dependencies.homes.engines();
        let listing = homed.into_iter().find(|listing| listing.id == *engine);
        let listing = listing.ok_or_else(|| {
            let message = format!("{engine} is not an engine homed at this instance");
            Error::new(Kind::UpstreamUnavailable, message)
        })?;
        let config = self.dependencies.config.current();
        let place = config.places.get(&listing.place);
        let fencing = place.is_some_and(|place| place.fencing);
        let version = self
            .next_fencing_number(engine, fencing, None)
            .await
            .ok_or_else(|| {
                let message = "an earlier order may still be valid, or the store is unavailable";
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
