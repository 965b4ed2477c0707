//! The command-line client against running instances.

use std::io::Write;
use std::time::Duration;

use assert_matches::assert_matches;
use basilramp_cli::{
    CallArgs, ChangeOptions, Command, Config, Connection, Error, ImportArgs, ItemCommand,
    OutputFormat, Secret, SettleArgs,
};
use basilramp_fakes::Launcher;
use basilramp_fakes::cluster::{
    ACCOUNTS, Cluster, OPERATORS, Options, key, name, place, set, token,
};
use basilramp_fakes::service::Fault;
use basilramp_wire::api::Budget;
use basilramp_wire::config::ItemKind;
use basilramp_wire::engine::Order;
use basilramp_wire::error::Kind as ErrorKind;
use tempfile::NamedTempFile;
use tokio::time::{Instant, sleep};

const SHEET: &str = "\
service,place,from,until,ready,headroom_percent,model,version
assistant,floor,06:00,22:00,2,25,base,1
assistant,floor,22:00,24:00,1,10,base,1
";

/// The longest wait for something that has to come.
const WAIT: Duration = Duration::from_secs(20);

async fn start() -> Cluster {
    let launcher = Launcher {
        program: env!("CARGO_BIN_EXE_basilrampd").into(),
        arguments: Vec::new(),
    };
    let mut options = Options::new(launcher, 2);
    options.edits = vec![set("floor", place("a", true))];
    options.timeout_ms = 1_000;
    Cluster::start(options).await.unwrap()
}

/// Runs a command at an instance, and returns what it wrote.
async fn at(cluster: &Cluster, index: usize, command: Command) -> (Result<(), Error>, String) {
    let config = Config {
        connection: Connection {
            operator_address: cluster.operators(index),
            caller_address: cluster.callers(index),
            operator_token: Some(Secret::new(&token(OPERATORS[0]))),
            account_key: Some(Secret::new(&key(ACCOUNTS[0]))),
            timeout_ms: 10_000,
        },
        output: OutputFormat::Table,
        command,
    };
    let mut out = Vec::new();
    let outcome = basilramp_cli::run(&config, &mut out).await;
    (outcome, String::from_utf8(out).unwrap())
}

async fn done(cluster: &Cluster, index: usize, command: Command) -> String {
    let (outcome, text) = at(cluster, index, command).await;
    outcome.unwrap_or_else(|error| panic!("{error}"));
    text
}

/// Waits until a command shows every wanted text.
async fn shows(cluster: &Cluster, index: usize, command: impl Fn() -> Command, wanted: &[&str]) {
    let limit = Instant::now() + WAIT;
    loop {
        let text = done(cluster, index, command()).await;
        if wanted.iter().all(|wanted| text.contains(wanted)) {
            return;
        }
        assert!(Instant::now() < limit, "{wanted:?} not in {text}");
        sleep(Duration::from_millis(50)).await;
    }
}

fn import(sheet: &NamedTempFile, base: Option<u64>) -> Command {
    Command::ImportPlans(ImportArgs {
        sheet: sheet.path().to_owned(),
        keep_unlisted: false,
        options: ChangeOptions {
            base,
            reason: "the morning's sheet".to_owned(),
            dry_run: false,
        },
    })
}

fn call(service: &str, keep: bool) -> CallArgs {
    CallArgs {
        program: None,
        position: None,
        service: service.to_owned(),
        input: "two bags of coarse grit".to_owned(),
        max_tokens: 16,
        budget: Budget::of_tokens(10_000),
        request_id: Some("r1".to_owned()),
        keep_running: keep,
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_sheet_is_in_force_at_the_other_instance_too() {
    let cluster = start().await;
    let mut sheet = NamedTempFile::new().unwrap();
    sheet.write_all(SHEET.as_bytes()).unwrap();

    let text = done(&cluster, 0, import(&sheet, None)).await;
    assert!(text.ends_with("accepted as version 2\n"), "{text}");
    let list = || Command::Item(ItemKind::Plan, ItemCommand::List);
    let wanted = ["assistant/floor/0600", "assistant/floor/2200"];
    shows(&cluster, 1, list, &wanted).await;

    let name = "assistant/floor/2200".to_owned();
    let history = Command::Item(ItemKind::Plan, ItemCommand::History { name });
    let history = done(&cluster, 1, history).await;
    assert!(
        history.contains("ada") && history.contains("the morning's sheet"),
        "{history}"
    );

    let again = done(&cluster, 1, import(&sheet, None)).await;
    assert!(again.ends_with("nothing to change\n"), "{again}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_sheet_of_many_rows_is_one_change() {
    const ROWS: u32 = 250;
    let cluster = start().await;
    let mut sheet = NamedTempFile::new().unwrap();
    writeln!(sheet, "service,place,from,until,ready,headroom_percent").unwrap();
    for row in 0..ROWS {
        let [from, until] =
            [row * 5, row * 5 + 5].map(|at| format!("{:02}:{:02}", at / 60, at % 60));
        writeln!(sheet, "assistant,floor,{from},{until},1,10").unwrap();
    }
    let text = done(&cluster, 0, import(&sheet, None)).await;
    assert!(text.ends_with("accepted as version 2\n"), "{text}");
    for index in [0, 1] {
        let list = || Command::Item(ItemKind::Plan, ItemCommand::List);
        shows(&cluster, index, list, &["floor/0000", "floor/2045"]).await;
        let plans = done(&cluster, index, list()).await;
        assert_eq!(plans.lines().count(), 1 + ROWS as usize);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stale_sheet_is_told_what_the_other_change_did() {
    let cluster = start().await;
    let operators = cluster.operators(0).unwrap();
    let edits = vec![set("yard", place("b", false))];
    cluster
        .operator(1)
        .apply(operators, 1, edits)
        .await
        .unwrap();
    let mut sheet = NamedTempFile::new().unwrap();
    sheet.write_all(SHEET.as_bytes()).unwrap();

    let (outcome, _) = at(&cluster, 0, import(&sheet, Some(1))).await;
    let changes = assert_matches!(outcome, Err(Error::StaleBase { base: 1, changes }) => changes);
    assert_eq!(
        changes,
        ["2 ben: set place yard: failure_domain=b fencing=false"]
    );
    let plans = done(
        &cluster,
        0,
        Command::Item(ItemKind::Plan, ItemCommand::List),
    )
    .await;
    assert_eq!(plans, "none\n");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_streams_to_the_terminal() {
    let cluster = start().await;
    let text = done(&cluster, 1, Command::RunCall(call(name::MODEL, false))).await;
    let runs: Vec<_> = cluster
        .engines
        .iter()
        .flat_map(|engine| engine.runs())
        .collect();
    assert_eq!(runs.len(), 1);
    let tokens = format!("{} output", runs[0].output_tokens);
    assert!(text.contains(&tokens), "{text}");
    let id = runs[0].holder.clone();
    let program = done(&cluster, 0, Command::ShowProgram { id }).await;
    assert!(program.contains("state     ended"), "{program}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_in_doubt_is_settled_once() {
    let cluster = start().await;
    cluster.store.fault_next(Fault::CloseAfter);
    let (outcome, _) = at(&cluster, 0, Command::RunCall(call(name::ORDER, true))).await;
    let error = assert_matches!(outcome, Err(error) => error);
    assert_eq!(error.exit_code(), 5);
    let refused = assert_matches!(error, Error::Rejected(refused) => refused);
    assert_eq!(refused.kind, ErrorKind::InDoubt);

    let effects = cluster.store.effects();
    assert_eq!(effects.len(), 1);
    let (program, _) = effects[0].key.split_once('.').unwrap();
    let settle = SettleArgs {
        program: program.to_owned(),
        position: 0,
        executed: true,
        response: "order 17".to_owned(),
        reason: "seen in the shop's own list".to_owned(),
    };
    let text = done(&cluster, 1, Command::SettleCall(settle.clone())).await;
    assert!(text.contains("done") && text.contains("order 17"), "{text}");

    let (again, _) = at(&cluster, 1, Command::SettleCall(settle)).await;
    let refused = assert_matches!(again, Err(Error::Rejected(refused)) => refused);
    assert_eq!(refused.kind, ErrorKind::Invalid);
    assert_eq!(cluster.store.effects().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_order_by_hand_reaches_its_engine_once() {
    let cluster = start().await;
    let order = || Command::SendOrder {
        upstream: "e1".to_owned(),
        order: Order::Load {
            model: "extra@1".to_owned(),
        },
    };
    shows(
        &cluster,
        1,
        || Command::ListUpstreams,
        &["e0", "e1", "ready"],
    )
    .await;
    let limit = Instant::now() + WAIT;
    let text = loop {
        // The engine's home may still be changing.
        match at(&cluster, 1, order()).await {
            (Ok(()), text) => break text,
            (Err(error), _) => assert!(Instant::now() < limit, "{error}"),
        }
        sleep(Duration::from_millis(50)).await;
    };
    let number = text.trim().rsplit(' ').next().unwrap();
    let fencing: u64 = number.parse().unwrap();
    let until = Instant::now() + WAIT;
    while cluster.engines[1].orders().is_empty() {
        assert!(Instant::now() < until, "no order came");
        sleep(Duration::from_millis(20)).await;
    }
    let orders = cluster.engines[1].orders();
    assert_eq!(orders[0].fencing, fencing);
    let loads = orders
        .iter()
        .filter(|given| matches!(given.order, Order::Load { .. }));
    assert_eq!(loads.count(), 1);
    assert_eq!(cluster.engines[0].orders().len(), 0);

    let unknown = Command::SendOrder {
        upstream: "e9".to_owned(),
        order: Order::Unload {
            model: "extra@1".to_owned(),
        },
    };
    let (outcome, _) = at(&cluster, 0, unknown).await;
    let refused = assert_matches!(outcome, Err(Error::Rejected(refused)) => refused);
    assert_eq!(refused.kind, ErrorKind::NotFound);
}

#[tokio::test(flavor = "multi_thread")]
async fn instances_and_the_configuration_are_shown() {
    let cluster = start().await;
    shows(&cluster, 0, || Command::ListInstances, &["i0", "i1"]).await;
    let shown = done(&cluster, 0, Command::ShowConfig).await;
    assert!(shown.starts_with("version 1\n"), "{shown}");
    let log = done(&cluster, 1, Command::ConfigLog { after: 0 }).await;
    assert!(log.contains("first configuration"), "{log}");
}
