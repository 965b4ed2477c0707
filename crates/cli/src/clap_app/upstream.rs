//! Subcommands for upstreams and instances.

use clap::{Arg, Command};

use super::required_positional;

/// Builds the subcommand for upstreams.
pub(super) fn build() -> Command {
    Command::new("upstream")
        .about("Manage upstreams: model engines and plain services")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(Command::new("list").about("List the upstreams"))
        .subcommand(
            Command::new("order")
                .about("Send an order to an upstream")
                .arg(required_positional("id", "ID", "Upstream id"))
                .subcommand_required(true)
                .subcommand(Command::new("load").about("Load a model").arg(model_arg()))
                .subcommand(
                    Command::new("unload")
                        .about("Unload a model")
                        .arg(model_arg()),
                ),
        )
}

/// Builds the subcommand for instances.
pub(super) fn build_instance() -> Command {
    Command::new("instance")
        .about("Inspect the instances of the scheduler")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(Command::new("list").about("List the instances"))
}

fn model_arg() -> Arg {
    required_positional(
        "model",
        "MODEL",
        "As model@version, or model@version+adapter",
    )
}
