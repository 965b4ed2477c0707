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
const TOKENS: u64 = 60_000;

/// Lines of the papers that programs begin with.
const LINES: usize = 40;

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

/// Returns a paper of many lines.
fn paper(name: &str, line: &str) -> String {
    let lines = (1..=LINES).map(|number| format!("{name} {number}: {line}\n"));
    lines.collect()
}

/// Makes one call, which waits until the engines' homes know what runs there.
pub(crate) async fn first_call(stage: Arc<Stage>) -> Result<()> {
    let budget = Some(caller::program_budget(TOKENS));
    let name = "first".to_owned();
    let mut course = Course::start(stage, 0, name, budget, None).await?;
    course
        .call(name::MODEL, "Is anybody there?".to_owned())
        .await?;
    let course = course.close().await?;
    course.end().await?;
    Ok(())
}

/// Registers a warranty: reads paperwork, looks the product up, registers once, confirms.
pub(crate) async fn trust(stage: Arc<Stage>, number: usize) -> Result<Course> {
    let name = format!("trust-{number}");
    let budget = Some(caller::program_budget(TOKENS));
    let mut course = Course::start(stage, 0, name.clone(), budget, None).await?;
    let line = "silicone sealant, 240 m of roof seam at a school in Waco, two coats, cured 72 h";
    let sheet = paper(&name, line);
    let ask = format!("Read this installation sheet and name product, installer and date. {sheet}");
    let facts = course.call(name::MODEL, ask).await?;
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
    let budget = Some(caller::program_budget(TOKENS));
    let mut course = Course::start(Arc::clone(&stage), 1, name.clone(), budget, None).await?;
    let line = "silicon carbide 60/90 in bags of 5 kg, for rotary barrels, seven days with agate";
    let catalogue = paper(&name, line);
    let ask = format!("Which grits, for how long, for 3 kg of agate in a barrel? {catalogue}");
    course.call(name::MODEL, ask).await?;
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
