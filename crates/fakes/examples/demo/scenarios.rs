//! The programs that the two accounts run.

use std::sync::Arc;

use basilramp_fakes::caller;
use basilramp_fakes::cluster::{ORDER_PATH, REGISTER_PATH, name};
use basilramp_fakes::service::Service;
use eyre::Result;

use crate::program_run::{Environment, ProgramRun};

/// Service that captures payments; its calls must not be repeated.
pub(crate) const PAYMENT: &str = "store-payment";

/// Path of payment captures.
pub(crate) const PAYMENT_PATH: &str = "/store/payment";

/// Token budget of each program.
const BUDGET_TOKENS: u64 = 60_000;

/// Number of lines in the document of a program's first prompt.
const DOCUMENT_LINES: usize = 40;

/// Returns the stand-in of a configured service, and the path of its calls.
pub(crate) fn service_and_path<'a>(
    environment: &'a Environment,
    service: &str,
) -> (&'a Service, &'static str) {
    match service {
        name::REGISTER => (&environment.registry, REGISTER_PATH),
        name::LOOKUP => (&environment.registry, "/registry/lookup"),
        name::STOCK => (&environment.store, "/store/stock"),
        name::ORDER => (&environment.store, ORDER_PATH),
        _ => (&environment.store, PAYMENT_PATH),
    }
}

/// Returns a document with numbered lines.
fn document(name: &str, line: &str) -> String {
    let lines = (1..=DOCUMENT_LINES).map(|number| format!("{name} {number}: {line}\n"));
    lines.collect()
}

/// Makes one call, which waits until the homes of the engines have their load reports.
pub(crate) async fn run_warm_up_call(environment: Arc<Environment>) -> Result<()> {
    let budget = Some(caller::program_budget(BUDGET_TOKENS));
    let name = "first".to_owned();
    let mut run = ProgramRun::start(environment, 0, name, budget, None).await?;
    run.call(name::MODEL, "Is anybody there?".to_owned())
        .await?;
    let run = run.finish().await?;
    run.end().await?;
    Ok(())
}

/// Registers a warranty: reads a document, looks up the product, registers it, and confirms.
pub(crate) async fn run_warranty_registration(
    environment: Arc<Environment>,
    number: usize,
) -> Result<ProgramRun> {
    let name = format!("trust-{number}");
    let budget = Some(caller::program_budget(BUDGET_TOKENS));
    let mut run = ProgramRun::start(environment, 0, name.clone(), budget, None).await?;
    let line = "silicone sealant, 240 m of roof seam at a school in Waco, two coats, cured 72 h";
    let sheet = document(&name, line);
    let ask = format!("Read this installation sheet and name product, installer and date. {sheet}");
    let facts = run.call(name::MODEL, ask).await?;
    let found = run.call(name::LOOKUP, format!("{name}: {facts}")).await?;
    let question = format!("The registry says {found}. Is the sheet complete?");
    run.call(name::MODEL, question).await?;
    run.call(name::REGISTER, format!("{name}: register the warranty"))
        .await?;
    run.call(name::MODEL, format!("Write {name} a confirmation."))
        .await?;
    run.finish().await
}

/// Reorders goods: a sub-agent compares products, then stock check, order and payment follow.
pub(crate) async fn run_reorder(
    environment: Arc<Environment>,
    number: usize,
) -> Result<ProgramRun> {
    let name = format!("atlas-{number}");
    let budget = Some(caller::program_budget(BUDGET_TOKENS));
    let mut run =
        ProgramRun::start(Arc::clone(&environment), 1, name.clone(), budget, None).await?;
    let line = "silicon carbide 60/90 in bags of 5 kg, for rotary barrels, seven days with agate";
    let catalogue = document(&name, line);
    let ask = format!("Which grits, for how long, for 3 kg of agate in a barrel? {catalogue}");
    run.call(name::MODEL, ask).await?;
    let child = format!("{name}-sub");
    let mut sub = ProgramRun::start(environment, 1, child, None, Some(&run.program)).await?;
    let compare = format!("Compare silicon carbide and alumina for {name}.");
    let advice = sub.call(name::MODEL, compare).await?;
    sub.call(
        name::MODEL,
        "Which of them is cheaper for each load?".to_owned(),
    )
    .await?;
    run.call(name::STOCK, format!("{name}: {advice}")).await?;
    run.call(name::MODEL, format!("Given {advice}, what to reorder?"))
        .await?;
    run.call(name::ORDER, format!("{name}: order 5 kg of 60/90 grit"))
        .await?;
    run.call(PAYMENT, format!("{name}: capture the payment"))
        .await?;
    run.call(name::MODEL, format!("Tell {name} when the grit arrives."))
        .await?;
    run.finish().await
}
