//! Help texts that span several lines.

pub(crate) const ABOUT: &str = "Operates the basilramp scheduler";

pub(crate) const LONG_ABOUT: &str = "\
Operates the basilramp scheduler.

Connects to any one instance. Operator commands need the address of its operator listener and an \
operator token; `program run` and `program end` need the address of its caller listener and an \
account key.";

pub(crate) const AFTER: &str = "\
Environment:
  BASILRAMP_OPERATORS   same as --operators
  BASILRAMP_CALLERS     same as --callers
  BASILRAMP_TOKEN       the operator token
  BASILRAMP_TOKEN_FILE  same as --token-file
  BASILRAMP_KEY         the account key
  BASILRAMP_KEY_FILE    same as --key-file

Exit codes:
  0  success
  1  the request was rejected and not run, the item does not exist, or `config check` has \
findings
  2  an argument or environment variable is missing or invalid, or `config check` cannot read a \
document
  3  an input file is invalid or unreadable; nothing was changed
  4  the connection to the instance failed; nothing was sent
  5  the outcome is unknown: the request may have been run
  6  the change is based on an outdated version; nothing was changed
  7  the request was run and failed
  8  `diff` found differences";

pub(crate) const APPLY: &str = "\
Creates or replaces the items listed in a file.

The file contains a JSON object that maps item names to values. Items that it does not list stay \
unchanged. The change is atomic. It is based on the current version, or on --base. If there are \
newer changes than that version, the change is rejected and the newer changes are listed.";

pub(crate) const CHECK: &str = "\
Checks a configuration document of the users' platform: the value of the row op/config.

Reports entries that can never match, limits that contradict each other and, with --against, the \
differences from the document in force. It uses the parser of the product and needs no instance. \
A finding does not mean that the product rejects the document. Keys of accounts are never printed.

Exit codes:
  0  no findings; differences are not findings
  1  there are findings
  2  a document cannot be read: the file is missing, or the product would reject it. The message \
has the line and column.";

pub(crate) const IMPORT: &str = "\
Replaces the plans with those of a CSV sheet.

The sheet needs a header line. These columns are required, in any order:

  service           the service's name
  place             the place's name
  from, until       times of day in UTC, such as 06:00; until may be 24:00
  ready             number of upstreams to keep ready
  headroom_percent  share of them reserved for running programs, 0 to 100

The columns model, version and adapter are optional. If a row has a model, its service is \
switched to that model, or created if it does not exist.

The whole sheet is validated first. If it has errors, each is printed with its line and column, \
and nothing is changed. Otherwise the sheet is sent as one atomic change based on the current \
version, or on --base. Plans that the sheet does not list are deleted, unless --keep is given. A \
plan is named after its service, place and start time, such as advice/casa-a/0600.";

pub(crate) const RUN: &str = "\
Runs a call and streams its response.

Without --program, a new program is created for the call and ended afterwards. If the response \
is lost, the command prints the options that retrieve the outcome without running the call twice.";

pub(crate) const SETTLE: &str = "\
Settles a call in doubt.

A call that is not idempotent is in doubt if it was sent and its outcome is unknown. It is never \
sent again. Find out from the service whether the call took effect, then record the outcome with \
this command. The program continues from there. Your name and the reason are recorded with the \
turn.";
