//! What to do, from the matches of the innermost command.

use std::path::PathBuf;

use basilramp_cli::{Apply, Call, Command, Delete, Error, Import, Item, Operation, Settle};
use basilramp_wire::api::Budget;
use basilramp_wire::config::ItemKind;
use basilramp_wire::engine::Order;
use clap::ArgMatches;

use super::Read;

/// Reads the command, and returns it with the matches of its innermost part.
pub(super) fn read(matches: &ArgMatches) -> Result<Read<'_>, Error> {
    let (noun, matches) = inner(matches)?;
    let (verb, matches) = inner(matches)?;
    match noun {
        "service" => item(ItemKind::Service, verb, matches),
        "place" => item(ItemKind::Place, verb, matches),
        "plan" => item(ItemKind::Plan, verb, matches),
        "limit" => item(ItemKind::Limit, verb, matches),
        "upstream" => upstream(verb, matches),
        "instance" => Ok((matches, Command::Instances)),
        "program" => program(verb, matches),
        _ => config(verb, matches),
    }
}

fn inner(matches: &ArgMatches) -> Result<(&str, &ArgMatches), Error> {
    let inner = matches.subcommand();
    inner.ok_or_else(|| Error::Usage("no command given".to_owned()))
}

fn item<'a>(kind: ItemKind, verb: &str, matches: &'a ArgMatches) -> Result<Read<'a>, Error> {
    let item = match verb {
        "show" => Item::Show {
            name: text(matches, "name"),
        },
        "apply" => Item::Apply(Apply {
            file: path(matches, "file"),
            operation: operation(matches),
        }),
        "delete" => Item::Delete(Delete {
            names: matches
                .get_many("names")
                .map(|names| names.cloned().collect())
                .unwrap_or_default(),
            operation: operation(matches),
        }),
        "diff" => Item::Diff {
            file: path(matches, "file"),
        },
        "history" => Item::History {
            name: text(matches, "name"),
        },
        "import" => {
            let import = Import {
                sheet: path(matches, "sheet"),
                keep: matches.get_flag("keep"),
                operation: operation(matches),
            };
            return Ok((matches, Command::Import(import)));
        }
        _ => Item::List,
    };
    Ok((matches, Command::Item(kind, item)))
}

fn operation(matches: &ArgMatches) -> Operation {
    Operation {
        base: number(matches, "base"),
        reason: text(matches, "reason"),
        dry_run: matches.get_flag("dry-run"),
    }
}

fn upstream<'a>(verb: &str, matches: &'a ArgMatches) -> Result<Read<'a>, Error> {
    if verb == "list" {
        return Ok((matches, Command::Upstreams));
    }
    let upstream = text(matches, "id");
    let (order, matches) = inner(matches)?;
    let model = text(matches, "model");
    let order = match order {
        "load" => Order::Load { model },
        _ => Order::Unload { model },
    };
    Ok((matches, Command::Order { upstream, order }))
}

fn program<'a>(verb: &str, matches: &'a ArgMatches) -> Result<Read<'a>, Error> {
    let command = match verb {
        "run" => Command::Call(call(matches)),
        "settle" => Command::Settle(Settle {
            program: text(matches, "id"),
            position: number(matches, "position").unwrap_or_default(),
            ran: matches.get_flag("ran"),
            answer: text(matches, "answer"),
            reason: text(matches, "reason"),
        }),
        "end" => Command::End {
            id: text(matches, "id"),
        },
        _ => Command::Program {
            id: text(matches, "id"),
        },
    };
    Ok((matches, command))
}

fn call(matches: &ArgMatches) -> Call {
    Call {
        program: matches.get_one::<String>("program").cloned(),
        position: number(matches, "position"),
        service: text(matches, "service"),
        input: text(matches, "input"),
        max_tokens: number(matches, "max-tokens").unwrap_or_default(),
        budget: Budget::of_tokens(number(matches, "budget").unwrap_or_default()),
        request_id: matches.get_one::<String>("request-id").cloned(),
        keep: matches.get_flag("keep"),
    }
}

fn config<'a>(verb: &str, matches: &'a ArgMatches) -> Result<Read<'a>, Error> {
    let command = match verb {
        "log" => Command::Log {
            after: number(matches, "after").unwrap_or_default(),
        },
        "diff" => Command::Diff {
            from: number(matches, "from").unwrap_or_default(),
            to: number(matches, "to"),
        },
        _ => Command::Snapshot,
    };
    Ok((matches, command))
}

fn text(matches: &ArgMatches, id: &str) -> String {
    matches.get_one::<String>(id).cloned().unwrap_or_default()
}

fn path(matches: &ArgMatches, id: &str) -> PathBuf {
    matches.get_one::<PathBuf>(id).cloned().unwrap_or_default()
}

fn number<T: Copy + Send + Sync + 'static>(matches: &ArgMatches, id: &str) -> Option<T> {
    matches.get_one::<T>(id).copied()
}
