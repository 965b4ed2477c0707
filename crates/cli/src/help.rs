//! Longer help texts.

pub(crate) const ABOUT: &str = "Operates the basilramp scheduler";

pub(crate) const LONG_ABOUT: &str = "\
Operates the basilramp scheduler.

Talks to any one instance. Operators' commands need an instance's operators' listener and a \
token; `program run` and `program end` need its callers' listener and an account's key.";

pub(crate) const AFTER: &str = "\
Environment:
  BASILRAMP_OPERATORS   as --operators
  BASILRAMP_CALLERS     as --callers
  BASILRAMP_TOKEN       the operator's token
  BASILRAMP_TOKEN_FILE  as --token-file
  BASILRAMP_KEY         the account's key
  BASILRAMP_KEY_FILE    as --key-file

Exit codes:
  0  done
  1  refused, and not run; or there is no such item
  2  the command line is wrong or lacks something
  3  a file that was given is faulty or can't be read; nothing was changed
  4  the instance could not be reached; nothing was sent
  5  the outcome is not known: the request may have been run
  6  the change was made from an older version; nothing was changed
  7  the request was run, and failed
  8  `diff` found a difference";

pub(crate) const APPLY: &str = "\
Sets the items of a file.

The file is a JSON object from name to value. Items that it does not name stay as they are. All \
items are changed at once or not at all. The change is based on the version in force when the \
command reads it, or on --base; when another change came first, it is refused with what the \
other change did.";

pub(crate) const IMPORT: &str = "\
Replaces the plans by those of a sheet.

The sheet is CSV with a header. These columns are required, in any order:

  service           the service's name
  place             the place's name
  from, until       times of the day in UTC, as 06:00; until may be 24:00
  ready             upstreams that should be ready
  headroom_percent  share of them kept for programs under way, 0 to 100

The columns model, version and adapter are optional. Where a row has a model, its service leads \
to that model from now on, and is made if there is none of that name.

The whole sheet is checked first; each fault is printed with its line and column, and nothing \
is changed. Then all of it becomes one change, based on the version in force when the command \
reads it, or on --base. Plans that the sheet does not name are deleted, unless --keep is given. \
A plan is named after its service, place and start, as in advice/casa-a/0600.";

pub(crate) const RUN: &str = "\
Runs a call and streams its answer.

Without --program, a new program is created for the call and ended afterwards. A run that lost \
its answer prints the command that gets the outcome without running the call twice.";

pub(crate) const SETTLE: &str = "\
Settles a call in doubt.

A call that may not be repeated is in doubt when it was sent and its outcome is not known. The \
system never sends it again. Find out from the service whether the call took effect, then say \
so here. The program goes on from there; your name and reason are kept with the turn.";
