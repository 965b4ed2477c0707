//! Generates shell completions and man pages from the command tree.

use std::fs;
use std::io::Write;
use std::path::Path;

use basilramp_cli::Error;
use clap::Command;
use clap_complete::Shell;
use clap_mangen::Man;

/// Writes the completion script of `shell` to `out`.
pub(crate) fn write_completions(
    mut command: Command,
    shell: Shell,
    out: &mut impl Write,
) -> Result<(), Error> {
    let mut text = Vec::new();
    clap_complete::generate(shell, &mut command, "basilramp", &mut text);
    out.write_all(&text)?;
    Ok(())
}

/// Writes one man page per command into `directory`, which must exist.
pub(crate) fn write_man_pages(mut command: Command, directory: &Path) -> Result<(), Error> {
    command.build();
    write_man_page(&command, directory)
}

fn write_man_page(command: &Command, directory: &Path) -> Result<(), Error> {
    let name = command.get_display_name().unwrap_or("basilramp").to_owned();
    let mut text = Vec::new();
    let page = Man::new(command.clone().name(name.clone()));
    page.render(&mut text)?;
    fs::write(directory.join(format!("{name}.1")), text)?;
    for subcommand in command.get_subcommands() {
        if subcommand.get_name() != "help" {
            write_man_page(subcommand, directory)?;
        }
    }
    Ok(())
}
