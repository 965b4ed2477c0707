//! Commands on upstreams and instances.

use clap::{Arg, Command};

use super::required_positional;

/// Builds the commands on upstreams.
pub(super) fn build() -> Command {
    Command::new("upstream")
        .about("Upstreams: model engines and plain services")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(Command::new("list").about("List the upstreams"))
        .subcommand(
            Command::new("order")
                .about("Send an upstream an order")
                .arg(required_positional("id", "ID", "The upstream"))
                .subcommand_required(true)
                .subcommand(Command::new("load").about("Load a model").arg(model_arg()))
                .subcommand(
                    Command::new("unload")
                        .about("Unload a model")
                        .arg(model_arg()),
                ),
        )
}

/// Builds the commands on instances.
pub(super) fn build_instance() -> Command {
    Command::new("instance")
        .about("Instances of the scheduler itself")
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
