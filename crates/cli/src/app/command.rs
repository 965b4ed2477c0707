//! Builds the [`Command`] from the matches of the subcommands.

use std::path::PathBuf;

use basilramp_cli::{
    ApplyArgs, CallArgs, ChangeOptions, CheckArgs, Command, DeleteArgs, Error, ImportArgs,
    ItemCommand, SettleArgs,
};
use basilramp_wire::api::Budget;
use basilramp_wire::config::ItemKind;
use basilramp_wire::engine::Order;
use clap::ArgMatches;

use super::ParsedCommand;

/// Returns the command and the matches of its innermost subcommand.
pub(super) fn from_matches(matches: &ArgMatches) -> Result<ParsedCommand<'_>, Error> {
    let (noun, matches) = subcommand(matches)?;
    let (verb, matches) = subcommand(matches)?;
    match noun {
        "service" => parse_item_command(ItemKind::Service, verb, matches),
        "place" => parse_item_command(ItemKind::Place, verb, matches),
        "plan" => parse_item_command(ItemKind::Plan, verb, matches),
        "limit" => parse_item_command(ItemKind::Limit, verb, matches),
        "upstream" => parse_upstream_command(verb, matches),
        "instance" => Ok((matches, Command::ListInstances)),
        "program" => parse_program_command(verb, matches),
        _ => parse_config_command(verb, matches),
    }
}

fn subcommand(matches: &ArgMatches) -> Result<(&str, &ArgMatches), Error> {
    let subcommand = matches.subcommand();
    subcommand.ok_or_else(|| Error::Usage("no command given".to_owned()))
}

fn parse_item_command<'a>(
    kind: ItemKind,
    verb: &str,
    matches: &'a ArgMatches,
) -> Result<ParsedCommand<'a>, Error> {
    let item = match verb {
        "show" => ItemCommand::Show {
            name: string_arg(matches, "name"),
        },
        "apply" => ItemCommand::Apply(ApplyArgs {
            file: path_arg(matches, "file"),
            options: parse_change_options(matches),
        }),
        "delete" => ItemCommand::Delete(DeleteArgs {
            names: matches
                .get_many("names")
                .map(|names| names.cloned().collect())
                .unwrap_or_default(),
            options: parse_change_options(matches),
        }),
        "diff" => ItemCommand::Diff {
            file: path_arg(matches, "file"),
        },
        "history" => ItemCommand::History {
            name: string_arg(matches, "name"),
        },
        "import" => {
            let import = ImportArgs {
                sheet: path_arg(matches, "sheet"),
                keep_unlisted: matches.get_flag("keep"),
                options: parse_change_options(matches),
            };
            return Ok((matches, Command::ImportPlans(import)));
        }
        _ => ItemCommand::List,
    };
    Ok((matches, Command::Item(kind, item)))
}

fn parse_change_options(matches: &ArgMatches) -> ChangeOptions {
    ChangeOptions {
        base: number_arg(matches, "base"),
        reason: string_arg(matches, "reason"),
        dry_run: matches.get_flag("dry-run"),
    }
}

fn parse_upstream_command<'a>(
    verb: &str,
    matches: &'a ArgMatches,
) -> Result<ParsedCommand<'a>, Error> {
    if verb == "list" {
        return Ok((matches, Command::ListUpstreams));
    }
    let upstream = string_arg(matches, "id");
    let (order, matches) = subcommand(matches)?;
    let model = string_arg(matches, "model");
    let order = match order {
        "load" => Order::Load { model },
        _ => Order::Unload { model },
    };
    Ok((matches, Command::SendOrder { upstream, order }))
}

fn parse_program_command<'a>(
    verb: &str,
    matches: &'a ArgMatches,
) -> Result<ParsedCommand<'a>, Error> {
    let command = match verb {
        "run" => Command::RunCall(parse_call_args(matches)),
        "settle" => Command::SettleCall(SettleArgs {
            program: string_arg(matches, "id"),
            position: number_arg(matches, "position").unwrap_or_default(),
            executed: matches.get_flag("ran"),
            response: string_arg(matches, "answer"),
            reason: string_arg(matches, "reason"),
        }),
        "end" => Command::EndProgram {
            id: string_arg(matches, "id"),
        },
        _ => Command::ShowProgram {
            id: string_arg(matches, "id"),
        },
    };
    Ok((matches, command))
}

fn parse_call_args(matches: &ArgMatches) -> CallArgs {
    CallArgs {
        program: matches.get_one::<String>("program").cloned(),
        position: number_arg(matches, "position"),
        service: string_arg(matches, "service"),
        input: string_arg(matches, "input"),
        max_tokens: number_arg(matches, "max-tokens").unwrap_or_default(),
        budget: Budget::of_tokens(number_arg(matches, "budget").unwrap_or_default()),
        request_id: matches.get_one::<String>("request-id").cloned(),
        keep_running: matches.get_flag("keep"),
    }
}

fn parse_config_command<'a>(
    verb: &str,
    matches: &'a ArgMatches,
) -> Result<ParsedCommand<'a>, Error> {
    let command = match verb {
        "log" => Command::ConfigLog {
            after: number_arg(matches, "after").unwrap_or_default(),
        },
        "check" => Command::CheckConfig(CheckArgs {
            file: path_arg(matches, "file"),
            against: matches.get_one::<PathBuf>("against").cloned(),
        }),
        "diff" => Command::ConfigDiff {
            from: number_arg(matches, "from").unwrap_or_default(),
            to: number_arg(matches, "to"),
        },
        _ => Command::ShowConfig,
    };
    Ok((matches, command))
}

fn string_arg(matches: &ArgMatches, id: &str) -> String {
    matches.get_one::<String>(id).cloned().unwrap_or_default()
}

fn path_arg(matches: &ArgMatches, id: &str) -> PathBuf {
    matches.get_one::<PathBuf>(id).cloned().unwrap_or_default()
}

fn number_arg<T: Copy + Send + Sync + 'static>(matches: &ArgMatches, id: &str) -> Option<T> {
    matches.get_one::<T>(id).copied()
}
