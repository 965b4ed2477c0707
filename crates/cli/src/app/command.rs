//! What to do, from the matches of the innermost command.

use std::path::PathBuf;

use basilramp_cli::{
    ApplyArgs, CallArgs, ChangeOptions, Command, DeleteArgs, Error, ImportArgs, ItemCommand,
    SettleArgs,
};
use basilramp_wire::api::Budget;
use basilramp_wire::config::Kind;
use basilramp_wire::engine::Order;
use clap::ArgMatches;

use super::Read;

/// Reads the command, and returns it with the matches of its innermost part.
pub(super) fn read(matches: &ArgMatches) -> Result<Read<'_>, Error> {
    let (noun, matches) = inner(matches)?;
    let (verb, matches) = inner(matches)?;
    match noun {
        "service" => item(Kind::Service, verb, matches),
        "place" => item(Kind::Place, verb, matches),
        "plan" => item(Kind::Plan, verb, matches),
        "limit" => item(Kind::Limit, verb, matches),
        "upstream" => upstream(verb, matches),
        "instance" => Ok((matches, Command::ListInstances)),
        "program" => program(verb, matches),
        _ => config(verb, matches),
    }
}

fn inner(matches: &ArgMatches) -> Result<(&str, &ArgMatches), Error> {
    let inner = matches.subcommand();
    inner.ok_or_else(|| Error::Usage("no command given".to_owned()))
}

fn item<'a>(kind: Kind, verb: &str, matches: &'a ArgMatches) -> Result<Read<'a>, Error> {
    let item = match verb {
        "show" => ItemCommand::Show {
            name: text(matches, "name"),
        },
        "apply" => ItemCommand::Apply(ApplyArgs {
            file: path(matches, "file"),
            options: operation(matches),
        }),
        "delete" => ItemCommand::Delete(DeleteArgs {
            names: matches
                .get_many("names")
                .map(|names| names.cloned().collect())
                .unwrap_or_default(),
            options: operation(matches),
        }),
        "diff" => ItemCommand::Diff {
            file: path(matches, "file"),
        },
        "history" => ItemCommand::History {
            name: text(matches, "name"),
        },
        "import" => {
            let import = ImportArgs {
                sheet: path(matches, "sheet"),
                keep_unlisted: matches.get_flag("keep"),
                options: operation(matches),
            };
            return Ok((matches, Command::ImportPlans(import)));
        }
        _ => ItemCommand::List,
    };
    Ok((matches, Command::Item(kind, item)))
}

fn operation(matches: &ArgMatches) -> ChangeOptions {
    ChangeOptions {
        base: number(matches, "base"),
        reason: text(matches, "reason"),
        dry_run: matches.get_flag("dry-run"),
    }
}

fn upstream<'a>(verb: &str, matches: &'a ArgMatches) -> Result<Read<'a>, Error> {
    if verb == "list" {
        return Ok((matches, Command::ListUpstreams));
    }
    let upstream = text(matches, "id");
    let (order, matches) = inner(matches)?;
    let model = text(matches, "model");
    let order = match order {
        "load" => Order::Load { model },
        _ => Order::Unload { model },
    };
    Ok((matches, Command::SendOrder { upstream, order }))
}

fn program<'a>(verb: &str, matches: &'a ArgMatches) -> Result<Read<'a>, Error> {
    let command = match verb {
        "run" => Command::RunCall(call(matches)),
        "settle" => Command::SettleCall(SettleArgs {
            program: text(matches, "id"),
            position: number(matches, "position").unwrap_or_default(),
            executed: matches.get_flag("ran"),
            response: text(matches, "answer"),
            reason: text(matches, "reason"),
        }),
        "end" => Command::EndProgram {
            id: text(matches, "id"),
        },
        _ => Command::ShowProgram {
            id: text(matches, "id"),
        },
    };
    Ok((matches, command))
}

fn call(matches: &ArgMatches) -> CallArgs {
    CallArgs {
        program: matches.get_one::<String>("program").cloned(),
        position: number(matches, "position"),
        service: text(matches, "service"),
        input: text(matches, "input"),
        max_tokens: number(matches, "max-tokens").unwrap_or_default(),
        budget: Budget::of_tokens(number(matches, "budget").unwrap_or_default()),
        request_id: matches.get_one::<String>("request-id").cloned(),
        keep_running: matches.get_flag("keep"),
    }
}

fn config<'a>(verb: &str, matches: &'a ArgMatches) -> Result<Read<'a>, Error> {
    let command = match verb {
        "log" => Command::ConfigLog {
            after: number(matches, "after").unwrap_or_default(),
        },
        "diff" => Command::ConfigDiff {
            from: number(matches, "from").unwrap_or_default(),
            to: number(matches, "to"),
        },
        _ => Command::ShowConfig,
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
