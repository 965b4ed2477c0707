//! The two accounts' kinds of program.

use std::sync::Arc;

use basilramp_fakes::caller;
use basilramp_fakes::cluster::{ORDER_PATH, REGISTER_PATH, name};
use basilramp_fakes::service::Service;
use eyre::Result;

use crate::course::{Course, Stage};

/// A payment capture, which must not be repeated.
pub(crate) const PAY: &str = "store-payment";

/// The path that payment captures are posted to.
pub(crate) const PAY_PATH: &str = "/store/payment";

/// Tokens of each program's budget.
const TOKENS: u64 = 20_000;

/// Returns the plain service behind a configured one, and the path of its calls.
pub(crate) fn tool<'a>(stage: &'a Stage, service: &str) -> (&'a Service, &'static str) {
    match service {
        name::REGISTER => (&stage.registry, REGISTER_PATH),
        name::LOOKUP => (&stage.registry, "/registry/lookup"),
        name::STOCK => (&stage.store, "/store/stock"),
        name::ORDER => (&stage.store, ORDER_PATH),
        _ => (&stage.store, PAY_PATH),
    }
}

/// Registers a warranty: reads paperwork, looks the product up, registers once, confirms.
pub(crate) async fn trust(stage: Arc<Stage>, number: usize) -> Result<Course> {
    let name = format!("trust-{number}");
    let budget = Some(caller::budget(TOKENS));
    let mut course = Course::start(stage, 0, name.clone(), budget, None).await?;
    let paper = format!(
        "Read this installation sheet and name product, installer and date. Sheet {name}: \
         silicone sealant, 240 m of roof seam at a school in Waco, two coats, cured 72 h."
    );
    let facts = course.call(name::MODEL, paper).await?;
    let found = course
        .call(name::LOOKUP, format!("{name}: {facts}"))
        .await?;
    let question = format!("The registry says {found}. Is the sheet complete?");
    course.call(name::MODEL, question).await?;
    course
        .call(name::REGISTER, format!("{name}: register the warranty"))
        .await?;
    course
        .call(name::MODEL, format!("Write {name} a confirmation."))
        .await?;
    course.close().await
}

/// Advises on grit and reorders: a sub-agent compares, then stock, one order and one payment.
pub(crate) async fn atlas(stage: Arc<Stage>, number: usize) -> Result<Course> {
    let name = format!("atlas-{number}");
    let budget = Some(caller::budget(TOKENS));
    let mut course = Course::start(Arc::clone(&stage), 1, name.clone(), budget, None).await?;
    let question = format!(
        "You advise owners of gemstone tumblers. Shop {name} asks: which grits, in which order \
         and for how many days, for 3 kg of agate in a rotary barrel?"
    );
    course.call(name::MODEL, question).await?;
    let child = format!("{name}-sub");
    let mut sub = Course::start(stage, 1, child, None, Some(&course.program)).await?;
    let compare = format!("Compare silicon carbide and alumina for {name}.");
    let advice = sub.call(name::MODEL, compare).await?;
    sub.call(
        name::MODEL,
        "Which of them is cheaper for each load?".to_owned(),
    )
    .await?;
    course
        .call(name::STOCK, format!("{name}: {advice}"))
        .await?;
    course
        .call(name::MODEL, format!("Given {advice}, what to reorder?"))
        .await?;
    course
        .call(name::ORDER, format!("{name}: order 5 kg of 60/90 grit"))
        .await?;
    course
        .call(PAY, format!("{name}: capture the payment"))
        .await?;
    course
        .call(name::MODEL, format!("Tell {name} when the grit arrives."))
        .await?;
    course.close().await
}
