# Print an optspec for argparse to handle cmd's options that are independent of any subcommand.
function __fish_basilramp_global_optspecs
    string join \n operators= callers= token-file= key-file= timeout= output= h/help V/version
end

function __fish_basilramp_needs_command
    # Figure out if the current invocation already has a command.
    set -l cmd (commandline -opc)
    set -e cmd[1]
    argparse -s (__fish_basilramp_global_optspecs) -- $cmd 2>/dev/null
    or return
    if set -q argv[1]
        # Also print the command, so this can be used to figure out what it is.
        echo $argv[1]
        return 1
    end
    return 0
end

function __fish_basilramp_using_subcommand
    set -l cmd (__fish_basilramp_needs_command)
    test -z "$cmd"
    and return 1
    contains -- $cmd[1] $argv
end

complete -c basilramp -n "__fish_basilramp_needs_command" -l operators -d 'Address of an instance\'s operator listener' -r
complete -c basilramp -n "__fish_basilramp_needs_command" -l callers -d 'Address of an instance\'s caller listener' -r
complete -c basilramp -n "__fish_basilramp_needs_command" -l token-file -d 'File with the operator token' -r -F
complete -c basilramp -n "__fish_basilramp_needs_command" -l key-file -d 'File with the account key' -r -F
complete -c basilramp -n "__fish_basilramp_needs_command" -l timeout -d 'Request timeout; does not apply to streamed calls' -r
complete -c basilramp -n "__fish_basilramp_needs_command" -l output -d 'Output format' -r -f -a "table\t''
json\t''"
complete -c basilramp -n "__fish_basilramp_needs_command" -s h -l help -d 'Print help (see more with \'--help\')'
complete -c basilramp -n "__fish_basilramp_needs_command" -s V -l version -d 'Print version'
complete -c basilramp -n "__fish_basilramp_needs_command" -f -a "service" -d 'Manage services, the targets of calls'
complete -c basilramp -n "__fish_basilramp_needs_command" -f -a "place" -d 'Manage places, the locations of upstreams'
complete -c basilramp -n "__fish_basilramp_needs_command" -f -a "plan" -d 'Manage plans, the number of ready upstreams per service and place'
complete -c basilramp -n "__fish_basilramp_needs_command" -f -a "limit" -d 'Manage limits, the quotas of client accounts'
complete -c basilramp -n "__fish_basilramp_needs_command" -f -a "upstream" -d 'Manage upstreams: model engines and plain services'
complete -c basilramp -n "__fish_basilramp_needs_command" -f -a "program" -d 'Run calls, inspect and end programs, settle calls in doubt'
complete -c basilramp -n "__fish_basilramp_needs_command" -f -a "instance" -d 'Inspect the instances of the scheduler'
complete -c basilramp -n "__fish_basilramp_needs_command" -f -a "config" -d 'Inspect the whole configuration, or check one of the users\' platform'
complete -c basilramp -n "__fish_basilramp_needs_command" -f -a "completions" -d 'Print completions for a shell'
complete -c basilramp -n "__fish_basilramp_needs_command" -f -a "manual" -d 'Write the man pages into a directory'
complete -c basilramp -n "__fish_basilramp_needs_command" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
complete -c basilramp -n "__fish_basilramp_using_subcommand service; and not __fish_seen_subcommand_from list show apply delete diff history help" -l operators -d 'Address of an instance\'s operator listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand service; and not __fish_seen_subcommand_from list show apply delete diff history help" -l callers -d 'Address of an instance\'s caller listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand service; and not __fish_seen_subcommand_from list show apply delete diff history help" -l token-file -d 'File with the operator token' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand service; and not __fish_seen_subcommand_from list show apply delete diff history help" -l key-file -d 'File with the account key' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand service; and not __fish_seen_subcommand_from list show apply delete diff history help" -l timeout -d 'Request timeout; does not apply to streamed calls' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand service; and not __fish_seen_subcommand_from list show apply delete diff history help" -l output -d 'Output format' -r -f -a "table\t''
json\t''"
complete -c basilramp -n "__fish_basilramp_using_subcommand service; and not __fish_seen_subcommand_from list show apply delete diff history help" -s h -l help -d 'Print help'
complete -c basilramp -n "__fish_basilramp_using_subcommand service; and not __fish_seen_subcommand_from list show apply delete diff history help" -f -a "list" -d 'List the services'
complete -c basilramp -n "__fish_basilramp_using_subcommand service; and not __fish_seen_subcommand_from list show apply delete diff history help" -f -a "show" -d 'Show one service'
complete -c basilramp -n "__fish_basilramp_using_subcommand service; and not __fish_seen_subcommand_from list show apply delete diff history help" -f -a "apply" -d 'Create or replace the services listed in a file'
complete -c basilramp -n "__fish_basilramp_using_subcommand service; and not __fish_seen_subcommand_from list show apply delete diff history help" -f -a "delete" -d 'Delete services'
complete -c basilramp -n "__fish_basilramp_using_subcommand service; and not __fish_seen_subcommand_from list show apply delete diff history help" -f -a "diff" -d 'Show what `apply` would change; exits with 8 if there are differences'
complete -c basilramp -n "__fish_basilramp_using_subcommand service; and not __fish_seen_subcommand_from list show apply delete diff history help" -f -a "history" -d 'Show the changes of one service'
complete -c basilramp -n "__fish_basilramp_using_subcommand service; and not __fish_seen_subcommand_from list show apply delete diff history help" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
complete -c basilramp -n "__fish_basilramp_using_subcommand service; and __fish_seen_subcommand_from list" -l operators -d 'Address of an instance\'s operator listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand service; and __fish_seen_subcommand_from list" -l callers -d 'Address of an instance\'s caller listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand service; and __fish_seen_subcommand_from list" -l token-file -d 'File with the operator token' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand service; and __fish_seen_subcommand_from list" -l key-file -d 'File with the account key' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand service; and __fish_seen_subcommand_from list" -l timeout -d 'Request timeout; does not apply to streamed calls' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand service; and __fish_seen_subcommand_from list" -l output -d 'Output format' -r -f -a "table\t''
json\t''"
complete -c basilramp -n "__fish_basilramp_using_subcommand service; and __fish_seen_subcommand_from list" -s h -l help -d 'Print help'
complete -c basilramp -n "__fish_basilramp_using_subcommand service; and __fish_seen_subcommand_from show" -l operators -d 'Address of an instance\'s operator listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand service; and __fish_seen_subcommand_from show" -l callers -d 'Address of an instance\'s caller listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand service; and __fish_seen_subcommand_from show" -l token-file -d 'File with the operator token' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand service; and __fish_seen_subcommand_from show" -l key-file -d 'File with the account key' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand service; and __fish_seen_subcommand_from show" -l timeout -d 'Request timeout; does not apply to streamed calls' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand service; and __fish_seen_subcommand_from show" -l output -d 'Output format' -r -f -a "table\t''
json\t''"
complete -c basilramp -n "__fish_basilramp_using_subcommand service; and __fish_seen_subcommand_from show" -s h -l help -d 'Print help'
complete -c basilramp -n "__fish_basilramp_using_subcommand service; and __fish_seen_subcommand_from apply" -l base -d 'Version that the change is based on [default: the current one]' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand service; and __fish_seen_subcommand_from apply" -l reason -d 'Reason to record in the change log' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand service; and __fish_seen_subcommand_from apply" -l operators -d 'Address of an instance\'s operator listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand service; and __fish_seen_subcommand_from apply" -l callers -d 'Address of an instance\'s caller listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand service; and __fish_seen_subcommand_from apply" -l token-file -d 'File with the operator token' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand service; and __fish_seen_subcommand_from apply" -l key-file -d 'File with the account key' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand service; and __fish_seen_subcommand_from apply" -l timeout -d 'Request timeout; does not apply to streamed calls' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand service; and __fish_seen_subcommand_from apply" -l output -d 'Output format' -r -f -a "table\t''
json\t''"
complete -c basilramp -n "__fish_basilramp_using_subcommand service; and __fish_seen_subcommand_from apply" -l dry-run -d 'Print the differences without applying them'
complete -c basilramp -n "__fish_basilramp_using_subcommand service; and __fish_seen_subcommand_from apply" -s h -l help -d 'Print help (see more with \'--help\')'
complete -c basilramp -n "__fish_basilramp_using_subcommand service; and __fish_seen_subcommand_from delete" -l base -d 'Version that the change is based on [default: the current one]' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand service; and __fish_seen_subcommand_from delete" -l reason -d 'Reason to record in the change log' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand service; and __fish_seen_subcommand_from delete" -l operators -d 'Address of an instance\'s operator listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand service; and __fish_seen_subcommand_from delete" -l callers -d 'Address of an instance\'s caller listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand service; and __fish_seen_subcommand_from delete" -l token-file -d 'File with the operator token' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand service; and __fish_seen_subcommand_from delete" -l key-file -d 'File with the account key' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand service; and __fish_seen_subcommand_from delete" -l timeout -d 'Request timeout; does not apply to streamed calls' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand service; and __fish_seen_subcommand_from delete" -l output -d 'Output format' -r -f -a "table\t''
json\t''"
complete -c basilramp -n "__fish_basilramp_using_subcommand service; and __fish_seen_subcommand_from delete" -l dry-run -d 'Print the differences without applying them'
complete -c basilramp -n "__fish_basilramp_using_subcommand service; and __fish_seen_subcommand_from delete" -s h -l help -d 'Print help'
complete -c basilramp -n "__fish_basilramp_using_subcommand service; and __fish_seen_subcommand_from diff" -l operators -d 'Address of an instance\'s operator listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand service; and __fish_seen_subcommand_from diff" -l callers -d 'Address of an instance\'s caller listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand service; and __fish_seen_subcommand_from diff" -l token-file -d 'File with the operator token' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand service; and __fish_seen_subcommand_from diff" -l key-file -d 'File with the account key' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand service; and __fish_seen_subcommand_from diff" -l timeout -d 'Request timeout; does not apply to streamed calls' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand service; and __fish_seen_subcommand_from diff" -l output -d 'Output format' -r -f -a "table\t''
json\t''"
complete -c basilramp -n "__fish_basilramp_using_subcommand service; and __fish_seen_subcommand_from diff" -s h -l help -d 'Print help'
complete -c basilramp -n "__fish_basilramp_using_subcommand service; and __fish_seen_subcommand_from history" -l operators -d 'Address of an instance\'s operator listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand service; and __fish_seen_subcommand_from history" -l callers -d 'Address of an instance\'s caller listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand service; and __fish_seen_subcommand_from history" -l token-file -d 'File with the operator token' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand service; and __fish_seen_subcommand_from history" -l key-file -d 'File with the account key' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand service; and __fish_seen_subcommand_from history" -l timeout -d 'Request timeout; does not apply to streamed calls' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand service; and __fish_seen_subcommand_from history" -l output -d 'Output format' -r -f -a "table\t''
json\t''"
complete -c basilramp -n "__fish_basilramp_using_subcommand service; and __fish_seen_subcommand_from history" -s h -l help -d 'Print help'
complete -c basilramp -n "__fish_basilramp_using_subcommand service; and __fish_seen_subcommand_from help" -f -a "list" -d 'List the services'
complete -c basilramp -n "__fish_basilramp_using_subcommand service; and __fish_seen_subcommand_from help" -f -a "show" -d 'Show one service'
complete -c basilramp -n "__fish_basilramp_using_subcommand service; and __fish_seen_subcommand_from help" -f -a "apply" -d 'Create or replace the services listed in a file'
complete -c basilramp -n "__fish_basilramp_using_subcommand service; and __fish_seen_subcommand_from help" -f -a "delete" -d 'Delete services'
complete -c basilramp -n "__fish_basilramp_using_subcommand service; and __fish_seen_subcommand_from help" -f -a "diff" -d 'Show what `apply` would change; exits with 8 if there are differences'
complete -c basilramp -n "__fish_basilramp_using_subcommand service; and __fish_seen_subcommand_from help" -f -a "history" -d 'Show the changes of one service'
complete -c basilramp -n "__fish_basilramp_using_subcommand service; and __fish_seen_subcommand_from help" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
complete -c basilramp -n "__fish_basilramp_using_subcommand place; and not __fish_seen_subcommand_from list show apply delete diff history help" -l operators -d 'Address of an instance\'s operator listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand place; and not __fish_seen_subcommand_from list show apply delete diff history help" -l callers -d 'Address of an instance\'s caller listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand place; and not __fish_seen_subcommand_from list show apply delete diff history help" -l token-file -d 'File with the operator token' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand place; and not __fish_seen_subcommand_from list show apply delete diff history help" -l key-file -d 'File with the account key' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand place; and not __fish_seen_subcommand_from list show apply delete diff history help" -l timeout -d 'Request timeout; does not apply to streamed calls' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand place; and not __fish_seen_subcommand_from list show apply delete diff history help" -l output -d 'Output format' -r -f -a "table\t''
json\t''"
complete -c basilramp -n "__fish_basilramp_using_subcommand place; and not __fish_seen_subcommand_from list show apply delete diff history help" -s h -l help -d 'Print help'
complete -c basilramp -n "__fish_basilramp_using_subcommand place; and not __fish_seen_subcommand_from list show apply delete diff history help" -f -a "list" -d 'List the places'
complete -c basilramp -n "__fish_basilramp_using_subcommand place; and not __fish_seen_subcommand_from list show apply delete diff history help" -f -a "show" -d 'Show one place'
complete -c basilramp -n "__fish_basilramp_using_subcommand place; and not __fish_seen_subcommand_from list show apply delete diff history help" -f -a "apply" -d 'Create or replace the places listed in a file'
complete -c basilramp -n "__fish_basilramp_using_subcommand place; and not __fish_seen_subcommand_from list show apply delete diff history help" -f -a "delete" -d 'Delete places'
complete -c basilramp -n "__fish_basilramp_using_subcommand place; and not __fish_seen_subcommand_from list show apply delete diff history help" -f -a "diff" -d 'Show what `apply` would change; exits with 8 if there are differences'
complete -c basilramp -n "__fish_basilramp_using_subcommand place; and not __fish_seen_subcommand_from list show apply delete diff history help" -f -a "history" -d 'Show the changes of one place'
complete -c basilramp -n "__fish_basilramp_using_subcommand place; and not __fish_seen_subcommand_from list show apply delete diff history help" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
complete -c basilramp -n "__fish_basilramp_using_subcommand place; and __fish_seen_subcommand_from list" -l operators -d 'Address of an instance\'s operator listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand place; and __fish_seen_subcommand_from list" -l callers -d 'Address of an instance\'s caller listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand place; and __fish_seen_subcommand_from list" -l token-file -d 'File with the operator token' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand place; and __fish_seen_subcommand_from list" -l key-file -d 'File with the account key' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand place; and __fish_seen_subcommand_from list" -l timeout -d 'Request timeout; does not apply to streamed calls' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand place; and __fish_seen_subcommand_from list" -l output -d 'Output format' -r -f -a "table\t''
json\t''"
complete -c basilramp -n "__fish_basilramp_using_subcommand place; and __fish_seen_subcommand_from list" -s h -l help -d 'Print help'
complete -c basilramp -n "__fish_basilramp_using_subcommand place; and __fish_seen_subcommand_from show" -l operators -d 'Address of an instance\'s operator listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand place; and __fish_seen_subcommand_from show" -l callers -d 'Address of an instance\'s caller listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand place; and __fish_seen_subcommand_from show" -l token-file -d 'File with the operator token' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand place; and __fish_seen_subcommand_from show" -l key-file -d 'File with the account key' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand place; and __fish_seen_subcommand_from show" -l timeout -d 'Request timeout; does not apply to streamed calls' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand place; and __fish_seen_subcommand_from show" -l output -d 'Output format' -r -f -a "table\t''
json\t''"
complete -c basilramp -n "__fish_basilramp_using_subcommand place; and __fish_seen_subcommand_from show" -s h -l help -d 'Print help'
complete -c basilramp -n "__fish_basilramp_using_subcommand place; and __fish_seen_subcommand_from apply" -l base -d 'Version that the change is based on [default: the current one]' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand place; and __fish_seen_subcommand_from apply" -l reason -d 'Reason to record in the change log' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand place; and __fish_seen_subcommand_from apply" -l operators -d 'Address of an instance\'s operator listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand place; and __fish_seen_subcommand_from apply" -l callers -d 'Address of an instance\'s caller listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand place; and __fish_seen_subcommand_from apply" -l token-file -d 'File with the operator token' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand place; and __fish_seen_subcommand_from apply" -l key-file -d 'File with the account key' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand place; and __fish_seen_subcommand_from apply" -l timeout -d 'Request timeout; does not apply to streamed calls' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand place; and __fish_seen_subcommand_from apply" -l output -d 'Output format' -r -f -a "table\t''
json\t''"
complete -c basilramp -n "__fish_basilramp_using_subcommand place; and __fish_seen_subcommand_from apply" -l dry-run -d 'Print the differences without applying them'
complete -c basilramp -n "__fish_basilramp_using_subcommand place; and __fish_seen_subcommand_from apply" -s h -l help -d 'Print help (see more with \'--help\')'
complete -c basilramp -n "__fish_basilramp_using_subcommand place; and __fish_seen_subcommand_from delete" -l base -d 'Version that the change is based on [default: the current one]' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand place; and __fish_seen_subcommand_from delete" -l reason -d 'Reason to record in the change log' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand place; and __fish_seen_subcommand_from delete" -l operators -d 'Address of an instance\'s operator listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand place; and __fish_seen_subcommand_from delete" -l callers -d 'Address of an instance\'s caller listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand place; and __fish_seen_subcommand_from delete" -l token-file -d 'File with the operator token' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand place; and __fish_seen_subcommand_from delete" -l key-file -d 'File with the account key' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand place; and __fish_seen_subcommand_from delete" -l timeout -d 'Request timeout; does not apply to streamed calls' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand place; and __fish_seen_subcommand_from delete" -l output -d 'Output format' -r -f -a "table\t''
json\t''"
complete -c basilramp -n "__fish_basilramp_using_subcommand place; and __fish_seen_subcommand_from delete" -l dry-run -d 'Print the differences without applying them'
complete -c basilramp -n "__fish_basilramp_using_subcommand place; and __fish_seen_subcommand_from delete" -s h -l help -d 'Print help'
complete -c basilramp -n "__fish_basilramp_using_subcommand place; and __fish_seen_subcommand_from diff" -l operators -d 'Address of an instance\'s operator listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand place; and __fish_seen_subcommand_from diff" -l callers -d 'Address of an instance\'s caller listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand place; and __fish_seen_subcommand_from diff" -l token-file -d 'File with the operator token' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand place; and __fish_seen_subcommand_from diff" -l key-file -d 'File with the account key' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand place; and __fish_seen_subcommand_from diff" -l timeout -d 'Request timeout; does not apply to streamed calls' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand place; and __fish_seen_subcommand_from diff" -l output -d 'Output format' -r -f -a "table\t''
json\t''"
complete -c basilramp -n "__fish_basilramp_using_subcommand place; and __fish_seen_subcommand_from diff" -s h -l help -d 'Print help'
complete -c basilramp -n "__fish_basilramp_using_subcommand place; and __fish_seen_subcommand_from history" -l operators -d 'Address of an instance\'s operator listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand place; and __fish_seen_subcommand_from history" -l callers -d 'Address of an instance\'s caller listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand place; and __fish_seen_subcommand_from history" -l token-file -d 'File with the operator token' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand place; and __fish_seen_subcommand_from history" -l key-file -d 'File with the account key' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand place; and __fish_seen_subcommand_from history" -l timeout -d 'Request timeout; does not apply to streamed calls' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand place; and __fish_seen_subcommand_from history" -l output -d 'Output format' -r -f -a "table\t''
json\t''"
complete -c basilramp -n "__fish_basilramp_using_subcommand place; and __fish_seen_subcommand_from history" -s h -l help -d 'Print help'
complete -c basilramp -n "__fish_basilramp_using_subcommand place; and __fish_seen_subcommand_from help" -f -a "list" -d 'List the places'
complete -c basilramp -n "__fish_basilramp_using_subcommand place; and __fish_seen_subcommand_from help" -f -a "show" -d 'Show one place'
complete -c basilramp -n "__fish_basilramp_using_subcommand place; and __fish_seen_subcommand_from help" -f -a "apply" -d 'Create or replace the places listed in a file'
complete -c basilramp -n "__fish_basilramp_using_subcommand place; and __fish_seen_subcommand_from help" -f -a "delete" -d 'Delete places'
complete -c basilramp -n "__fish_basilramp_using_subcommand place; and __fish_seen_subcommand_from help" -f -a "diff" -d 'Show what `apply` would change; exits with 8 if there are differences'
complete -c basilramp -n "__fish_basilramp_using_subcommand place; and __fish_seen_subcommand_from help" -f -a "history" -d 'Show the changes of one place'
complete -c basilramp -n "__fish_basilramp_using_subcommand place; and __fish_seen_subcommand_from help" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and not __fish_seen_subcommand_from list show apply delete diff history import help" -l operators -d 'Address of an instance\'s operator listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and not __fish_seen_subcommand_from list show apply delete diff history import help" -l callers -d 'Address of an instance\'s caller listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and not __fish_seen_subcommand_from list show apply delete diff history import help" -l token-file -d 'File with the operator token' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and not __fish_seen_subcommand_from list show apply delete diff history import help" -l key-file -d 'File with the account key' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and not __fish_seen_subcommand_from list show apply delete diff history import help" -l timeout -d 'Request timeout; does not apply to streamed calls' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and not __fish_seen_subcommand_from list show apply delete diff history import help" -l output -d 'Output format' -r -f -a "table\t''
json\t''"
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and not __fish_seen_subcommand_from list show apply delete diff history import help" -s h -l help -d 'Print help'
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and not __fish_seen_subcommand_from list show apply delete diff history import help" -f -a "list" -d 'List the plans'
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and not __fish_seen_subcommand_from list show apply delete diff history import help" -f -a "show" -d 'Show one plan'
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and not __fish_seen_subcommand_from list show apply delete diff history import help" -f -a "apply" -d 'Create or replace the plans listed in a file'
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and not __fish_seen_subcommand_from list show apply delete diff history import help" -f -a "delete" -d 'Delete plans'
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and not __fish_seen_subcommand_from list show apply delete diff history import help" -f -a "diff" -d 'Show what `apply` would change; exits with 8 if there are differences'
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and not __fish_seen_subcommand_from list show apply delete diff history import help" -f -a "history" -d 'Show the changes of one plan'
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and not __fish_seen_subcommand_from list show apply delete diff history import help" -f -a "import" -d 'Replace the plans with those of a CSV sheet'
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and not __fish_seen_subcommand_from list show apply delete diff history import help" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and __fish_seen_subcommand_from list" -l operators -d 'Address of an instance\'s operator listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and __fish_seen_subcommand_from list" -l callers -d 'Address of an instance\'s caller listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and __fish_seen_subcommand_from list" -l token-file -d 'File with the operator token' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and __fish_seen_subcommand_from list" -l key-file -d 'File with the account key' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and __fish_seen_subcommand_from list" -l timeout -d 'Request timeout; does not apply to streamed calls' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and __fish_seen_subcommand_from list" -l output -d 'Output format' -r -f -a "table\t''
json\t''"
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and __fish_seen_subcommand_from list" -s h -l help -d 'Print help'
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and __fish_seen_subcommand_from show" -l operators -d 'Address of an instance\'s operator listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and __fish_seen_subcommand_from show" -l callers -d 'Address of an instance\'s caller listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and __fish_seen_subcommand_from show" -l token-file -d 'File with the operator token' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and __fish_seen_subcommand_from show" -l key-file -d 'File with the account key' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and __fish_seen_subcommand_from show" -l timeout -d 'Request timeout; does not apply to streamed calls' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and __fish_seen_subcommand_from show" -l output -d 'Output format' -r -f -a "table\t''
json\t''"
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and __fish_seen_subcommand_from show" -s h -l help -d 'Print help'
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and __fish_seen_subcommand_from apply" -l base -d 'Version that the change is based on [default: the current one]' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and __fish_seen_subcommand_from apply" -l reason -d 'Reason to record in the change log' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and __fish_seen_subcommand_from apply" -l operators -d 'Address of an instance\'s operator listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and __fish_seen_subcommand_from apply" -l callers -d 'Address of an instance\'s caller listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and __fish_seen_subcommand_from apply" -l token-file -d 'File with the operator token' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and __fish_seen_subcommand_from apply" -l key-file -d 'File with the account key' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and __fish_seen_subcommand_from apply" -l timeout -d 'Request timeout; does not apply to streamed calls' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and __fish_seen_subcommand_from apply" -l output -d 'Output format' -r -f -a "table\t''
json\t''"
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and __fish_seen_subcommand_from apply" -l dry-run -d 'Print the differences without applying them'
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and __fish_seen_subcommand_from apply" -s h -l help -d 'Print help (see more with \'--help\')'
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and __fish_seen_subcommand_from delete" -l base -d 'Version that the change is based on [default: the current one]' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and __fish_seen_subcommand_from delete" -l reason -d 'Reason to record in the change log' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and __fish_seen_subcommand_from delete" -l operators -d 'Address of an instance\'s operator listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and __fish_seen_subcommand_from delete" -l callers -d 'Address of an instance\'s caller listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and __fish_seen_subcommand_from delete" -l token-file -d 'File with the operator token' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and __fish_seen_subcommand_from delete" -l key-file -d 'File with the account key' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and __fish_seen_subcommand_from delete" -l timeout -d 'Request timeout; does not apply to streamed calls' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and __fish_seen_subcommand_from delete" -l output -d 'Output format' -r -f -a "table\t''
json\t''"
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and __fish_seen_subcommand_from delete" -l dry-run -d 'Print the differences without applying them'
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and __fish_seen_subcommand_from delete" -s h -l help -d 'Print help'
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and __fish_seen_subcommand_from diff" -l operators -d 'Address of an instance\'s operator listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and __fish_seen_subcommand_from diff" -l callers -d 'Address of an instance\'s caller listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and __fish_seen_subcommand_from diff" -l token-file -d 'File with the operator token' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and __fish_seen_subcommand_from diff" -l key-file -d 'File with the account key' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and __fish_seen_subcommand_from diff" -l timeout -d 'Request timeout; does not apply to streamed calls' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and __fish_seen_subcommand_from diff" -l output -d 'Output format' -r -f -a "table\t''
json\t''"
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and __fish_seen_subcommand_from diff" -s h -l help -d 'Print help'
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and __fish_seen_subcommand_from history" -l operators -d 'Address of an instance\'s operator listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and __fish_seen_subcommand_from history" -l callers -d 'Address of an instance\'s caller listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and __fish_seen_subcommand_from history" -l token-file -d 'File with the operator token' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and __fish_seen_subcommand_from history" -l key-file -d 'File with the account key' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and __fish_seen_subcommand_from history" -l timeout -d 'Request timeout; does not apply to streamed calls' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and __fish_seen_subcommand_from history" -l output -d 'Output format' -r -f -a "table\t''
json\t''"
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and __fish_seen_subcommand_from history" -s h -l help -d 'Print help'
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and __fish_seen_subcommand_from import" -l base -d 'Version that the change is based on [default: the current one]' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and __fish_seen_subcommand_from import" -l reason -d 'Reason to record in the change log' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and __fish_seen_subcommand_from import" -l operators -d 'Address of an instance\'s operator listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and __fish_seen_subcommand_from import" -l callers -d 'Address of an instance\'s caller listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and __fish_seen_subcommand_from import" -l token-file -d 'File with the operator token' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and __fish_seen_subcommand_from import" -l key-file -d 'File with the account key' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and __fish_seen_subcommand_from import" -l timeout -d 'Request timeout; does not apply to streamed calls' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and __fish_seen_subcommand_from import" -l output -d 'Output format' -r -f -a "table\t''
json\t''"
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and __fish_seen_subcommand_from import" -l keep -d 'Keep the plans that the sheet does not list'
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and __fish_seen_subcommand_from import" -l dry-run -d 'Print the differences without applying them'
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and __fish_seen_subcommand_from import" -s h -l help -d 'Print help (see more with \'--help\')'
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and __fish_seen_subcommand_from help" -f -a "list" -d 'List the plans'
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and __fish_seen_subcommand_from help" -f -a "show" -d 'Show one plan'
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and __fish_seen_subcommand_from help" -f -a "apply" -d 'Create or replace the plans listed in a file'
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and __fish_seen_subcommand_from help" -f -a "delete" -d 'Delete plans'
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and __fish_seen_subcommand_from help" -f -a "diff" -d 'Show what `apply` would change; exits with 8 if there are differences'
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and __fish_seen_subcommand_from help" -f -a "history" -d 'Show the changes of one plan'
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and __fish_seen_subcommand_from help" -f -a "import" -d 'Replace the plans with those of a CSV sheet'
complete -c basilramp -n "__fish_basilramp_using_subcommand plan; and __fish_seen_subcommand_from help" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
complete -c basilramp -n "__fish_basilramp_using_subcommand limit; and not __fish_seen_subcommand_from list show apply delete diff history help" -l operators -d 'Address of an instance\'s operator listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand limit; and not __fish_seen_subcommand_from list show apply delete diff history help" -l callers -d 'Address of an instance\'s caller listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand limit; and not __fish_seen_subcommand_from list show apply delete diff history help" -l token-file -d 'File with the operator token' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand limit; and not __fish_seen_subcommand_from list show apply delete diff history help" -l key-file -d 'File with the account key' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand limit; and not __fish_seen_subcommand_from list show apply delete diff history help" -l timeout -d 'Request timeout; does not apply to streamed calls' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand limit; and not __fish_seen_subcommand_from list show apply delete diff history help" -l output -d 'Output format' -r -f -a "table\t''
json\t''"
complete -c basilramp -n "__fish_basilramp_using_subcommand limit; and not __fish_seen_subcommand_from list show apply delete diff history help" -s h -l help -d 'Print help'
complete -c basilramp -n "__fish_basilramp_using_subcommand limit; and not __fish_seen_subcommand_from list show apply delete diff history help" -f -a "list" -d 'List the limits'
complete -c basilramp -n "__fish_basilramp_using_subcommand limit; and not __fish_seen_subcommand_from list show apply delete diff history help" -f -a "show" -d 'Show one limit'
complete -c basilramp -n "__fish_basilramp_using_subcommand limit; and not __fish_seen_subcommand_from list show apply delete diff history help" -f -a "apply" -d 'Create or replace the limits listed in a file'
complete -c basilramp -n "__fish_basilramp_using_subcommand limit; and not __fish_seen_subcommand_from list show apply delete diff history help" -f -a "delete" -d 'Delete limits'
complete -c basilramp -n "__fish_basilramp_using_subcommand limit; and not __fish_seen_subcommand_from list show apply delete diff history help" -f -a "diff" -d 'Show what `apply` would change; exits with 8 if there are differences'
complete -c basilramp -n "__fish_basilramp_using_subcommand limit; and not __fish_seen_subcommand_from list show apply delete diff history help" -f -a "history" -d 'Show the changes of one limit'
complete -c basilramp -n "__fish_basilramp_using_subcommand limit; and not __fish_seen_subcommand_from list show apply delete diff history help" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
complete -c basilramp -n "__fish_basilramp_using_subcommand limit; and __fish_seen_subcommand_from list" -l operators -d 'Address of an instance\'s operator listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand limit; and __fish_seen_subcommand_from list" -l callers -d 'Address of an instance\'s caller listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand limit; and __fish_seen_subcommand_from list" -l token-file -d 'File with the operator token' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand limit; and __fish_seen_subcommand_from list" -l key-file -d 'File with the account key' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand limit; and __fish_seen_subcommand_from list" -l timeout -d 'Request timeout; does not apply to streamed calls' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand limit; and __fish_seen_subcommand_from list" -l output -d 'Output format' -r -f -a "table\t''
json\t''"
complete -c basilramp -n "__fish_basilramp_using_subcommand limit; and __fish_seen_subcommand_from list" -s h -l help -d 'Print help'
complete -c basilramp -n "__fish_basilramp_using_subcommand limit; and __fish_seen_subcommand_from show" -l operators -d 'Address of an instance\'s operator listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand limit; and __fish_seen_subcommand_from show" -l callers -d 'Address of an instance\'s caller listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand limit; and __fish_seen_subcommand_from show" -l token-file -d 'File with the operator token' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand limit; and __fish_seen_subcommand_from show" -l key-file -d 'File with the account key' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand limit; and __fish_seen_subcommand_from show" -l timeout -d 'Request timeout; does not apply to streamed calls' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand limit; and __fish_seen_subcommand_from show" -l output -d 'Output format' -r -f -a "table\t''
json\t''"
complete -c basilramp -n "__fish_basilramp_using_subcommand limit; and __fish_seen_subcommand_from show" -s h -l help -d 'Print help'
complete -c basilramp -n "__fish_basilramp_using_subcommand limit; and __fish_seen_subcommand_from apply" -l base -d 'Version that the change is based on [default: the current one]' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand limit; and __fish_seen_subcommand_from apply" -l reason -d 'Reason to record in the change log' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand limit; and __fish_seen_subcommand_from apply" -l operators -d 'Address of an instance\'s operator listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand limit; and __fish_seen_subcommand_from apply" -l callers -d 'Address of an instance\'s caller listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand limit; and __fish_seen_subcommand_from apply" -l token-file -d 'File with the operator token' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand limit; and __fish_seen_subcommand_from apply" -l key-file -d 'File with the account key' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand limit; and __fish_seen_subcommand_from apply" -l timeout -d 'Request timeout; does not apply to streamed calls' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand limit; and __fish_seen_subcommand_from apply" -l output -d 'Output format' -r -f -a "table\t''
json\t''"
complete -c basilramp -n "__fish_basilramp_using_subcommand limit; and __fish_seen_subcommand_from apply" -l dry-run -d 'Print the differences without applying them'
complete -c basilramp -n "__fish_basilramp_using_subcommand limit; and __fish_seen_subcommand_from apply" -s h -l help -d 'Print help (see more with \'--help\')'
complete -c basilramp -n "__fish_basilramp_using_subcommand limit; and __fish_seen_subcommand_from delete" -l base -d 'Version that the change is based on [default: the current one]' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand limit; and __fish_seen_subcommand_from delete" -l reason -d 'Reason to record in the change log' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand limit; and __fish_seen_subcommand_from delete" -l operators -d 'Address of an instance\'s operator listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand limit; and __fish_seen_subcommand_from delete" -l callers -d 'Address of an instance\'s caller listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand limit; and __fish_seen_subcommand_from delete" -l token-file -d 'File with the operator token' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand limit; and __fish_seen_subcommand_from delete" -l key-file -d 'File with the account key' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand limit; and __fish_seen_subcommand_from delete" -l timeout -d 'Request timeout; does not apply to streamed calls' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand limit; and __fish_seen_subcommand_from delete" -l output -d 'Output format' -r -f -a "table\t''
json\t''"
complete -c basilramp -n "__fish_basilramp_using_subcommand limit; and __fish_seen_subcommand_from delete" -l dry-run -d 'Print the differences without applying them'
complete -c basilramp -n "__fish_basilramp_using_subcommand limit; and __fish_seen_subcommand_from delete" -s h -l help -d 'Print help'
complete -c basilramp -n "__fish_basilramp_using_subcommand limit; and __fish_seen_subcommand_from diff" -l operators -d 'Address of an instance\'s operator listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand limit; and __fish_seen_subcommand_from diff" -l callers -d 'Address of an instance\'s caller listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand limit; and __fish_seen_subcommand_from diff" -l token-file -d 'File with the operator token' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand limit; and __fish_seen_subcommand_from diff" -l key-file -d 'File with the account key' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand limit; and __fish_seen_subcommand_from diff" -l timeout -d 'Request timeout; does not apply to streamed calls' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand limit; and __fish_seen_subcommand_from diff" -l output -d 'Output format' -r -f -a "table\t''
json\t''"
complete -c basilramp -n "__fish_basilramp_using_subcommand limit; and __fish_seen_subcommand_from diff" -s h -l help -d 'Print help'
complete -c basilramp -n "__fish_basilramp_using_subcommand limit; and __fish_seen_subcommand_from history" -l operators -d 'Address of an instance\'s operator listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand limit; and __fish_seen_subcommand_from history" -l callers -d 'Address of an instance\'s caller listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand limit; and __fish_seen_subcommand_from history" -l token-file -d 'File with the operator token' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand limit; and __fish_seen_subcommand_from history" -l key-file -d 'File with the account key' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand limit; and __fish_seen_subcommand_from history" -l timeout -d 'Request timeout; does not apply to streamed calls' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand limit; and __fish_seen_subcommand_from history" -l output -d 'Output format' -r -f -a "table\t''
json\t''"
complete -c basilramp -n "__fish_basilramp_using_subcommand limit; and __fish_seen_subcommand_from history" -s h -l help -d 'Print help'
complete -c basilramp -n "__fish_basilramp_using_subcommand limit; and __fish_seen_subcommand_from help" -f -a "list" -d 'List the limits'
complete -c basilramp -n "__fish_basilramp_using_subcommand limit; and __fish_seen_subcommand_from help" -f -a "show" -d 'Show one limit'
complete -c basilramp -n "__fish_basilramp_using_subcommand limit; and __fish_seen_subcommand_from help" -f -a "apply" -d 'Create or replace the limits listed in a file'
complete -c basilramp -n "__fish_basilramp_using_subcommand limit; and __fish_seen_subcommand_from help" -f -a "delete" -d 'Delete limits'
complete -c basilramp -n "__fish_basilramp_using_subcommand limit; and __fish_seen_subcommand_from help" -f -a "diff" -d 'Show what `apply` would change; exits with 8 if there are differences'
complete -c basilramp -n "__fish_basilramp_using_subcommand limit; and __fish_seen_subcommand_from help" -f -a "history" -d 'Show the changes of one limit'
complete -c basilramp -n "__fish_basilramp_using_subcommand limit; and __fish_seen_subcommand_from help" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
complete -c basilramp -n "__fish_basilramp_using_subcommand upstream; and not __fish_seen_subcommand_from list order help" -l operators -d 'Address of an instance\'s operator listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand upstream; and not __fish_seen_subcommand_from list order help" -l callers -d 'Address of an instance\'s caller listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand upstream; and not __fish_seen_subcommand_from list order help" -l token-file -d 'File with the operator token' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand upstream; and not __fish_seen_subcommand_from list order help" -l key-file -d 'File with the account key' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand upstream; and not __fish_seen_subcommand_from list order help" -l timeout -d 'Request timeout; does not apply to streamed calls' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand upstream; and not __fish_seen_subcommand_from list order help" -l output -d 'Output format' -r -f -a "table\t''
json\t''"
complete -c basilramp -n "__fish_basilramp_using_subcommand upstream; and not __fish_seen_subcommand_from list order help" -s h -l help -d 'Print help'
complete -c basilramp -n "__fish_basilramp_using_subcommand upstream; and not __fish_seen_subcommand_from list order help" -f -a "list" -d 'List the upstreams'
complete -c basilramp -n "__fish_basilramp_using_subcommand upstream; and not __fish_seen_subcommand_from list order help" -f -a "order" -d 'Send an order to an upstream'
complete -c basilramp -n "__fish_basilramp_using_subcommand upstream; and not __fish_seen_subcommand_from list order help" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
complete -c basilramp -n "__fish_basilramp_using_subcommand upstream; and __fish_seen_subcommand_from list" -l operators -d 'Address of an instance\'s operator listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand upstream; and __fish_seen_subcommand_from list" -l callers -d 'Address of an instance\'s caller listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand upstream; and __fish_seen_subcommand_from list" -l token-file -d 'File with the operator token' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand upstream; and __fish_seen_subcommand_from list" -l key-file -d 'File with the account key' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand upstream; and __fish_seen_subcommand_from list" -l timeout -d 'Request timeout; does not apply to streamed calls' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand upstream; and __fish_seen_subcommand_from list" -l output -d 'Output format' -r -f -a "table\t''
json\t''"
complete -c basilramp -n "__fish_basilramp_using_subcommand upstream; and __fish_seen_subcommand_from list" -s h -l help -d 'Print help'
complete -c basilramp -n "__fish_basilramp_using_subcommand upstream; and __fish_seen_subcommand_from order" -l operators -d 'Address of an instance\'s operator listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand upstream; and __fish_seen_subcommand_from order" -l callers -d 'Address of an instance\'s caller listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand upstream; and __fish_seen_subcommand_from order" -l token-file -d 'File with the operator token' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand upstream; and __fish_seen_subcommand_from order" -l key-file -d 'File with the account key' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand upstream; and __fish_seen_subcommand_from order" -l timeout -d 'Request timeout; does not apply to streamed calls' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand upstream; and __fish_seen_subcommand_from order" -l output -d 'Output format' -r -f -a "table\t''
json\t''"
complete -c basilramp -n "__fish_basilramp_using_subcommand upstream; and __fish_seen_subcommand_from order" -s h -l help -d 'Print help'
complete -c basilramp -n "__fish_basilramp_using_subcommand upstream; and __fish_seen_subcommand_from order" -a "load" -d 'Load a model'
complete -c basilramp -n "__fish_basilramp_using_subcommand upstream; and __fish_seen_subcommand_from order" -a "unload" -d 'Unload a model'
complete -c basilramp -n "__fish_basilramp_using_subcommand upstream; and __fish_seen_subcommand_from order" -a "help" -d 'Print this message or the help of the given subcommand(s)'
complete -c basilramp -n "__fish_basilramp_using_subcommand upstream; and __fish_seen_subcommand_from help" -f -a "list" -d 'List the upstreams'
complete -c basilramp -n "__fish_basilramp_using_subcommand upstream; and __fish_seen_subcommand_from help" -f -a "order" -d 'Send an order to an upstream'
complete -c basilramp -n "__fish_basilramp_using_subcommand upstream; and __fish_seen_subcommand_from help" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
complete -c basilramp -n "__fish_basilramp_using_subcommand program; and not __fish_seen_subcommand_from show run settle end help" -l operators -d 'Address of an instance\'s operator listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand program; and not __fish_seen_subcommand_from show run settle end help" -l callers -d 'Address of an instance\'s caller listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand program; and not __fish_seen_subcommand_from show run settle end help" -l token-file -d 'File with the operator token' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand program; and not __fish_seen_subcommand_from show run settle end help" -l key-file -d 'File with the account key' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand program; and not __fish_seen_subcommand_from show run settle end help" -l timeout -d 'Request timeout; does not apply to streamed calls' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand program; and not __fish_seen_subcommand_from show run settle end help" -l output -d 'Output format' -r -f -a "table\t''
json\t''"
complete -c basilramp -n "__fish_basilramp_using_subcommand program; and not __fish_seen_subcommand_from show run settle end help" -s h -l help -d 'Print help'
complete -c basilramp -n "__fish_basilramp_using_subcommand program; and not __fish_seen_subcommand_from show run settle end help" -f -a "show" -d 'Show a program and its turns'
complete -c basilramp -n "__fish_basilramp_using_subcommand program; and not __fish_seen_subcommand_from show run settle end help" -f -a "run" -d 'Run a call and stream its response'
complete -c basilramp -n "__fish_basilramp_using_subcommand program; and not __fish_seen_subcommand_from show run settle end help" -f -a "settle" -d 'Settle a call in doubt'
complete -c basilramp -n "__fish_basilramp_using_subcommand program; and not __fish_seen_subcommand_from show run settle end help" -f -a "end" -d 'End a program'
complete -c basilramp -n "__fish_basilramp_using_subcommand program; and not __fish_seen_subcommand_from show run settle end help" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
complete -c basilramp -n "__fish_basilramp_using_subcommand program; and __fish_seen_subcommand_from show" -l operators -d 'Address of an instance\'s operator listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand program; and __fish_seen_subcommand_from show" -l callers -d 'Address of an instance\'s caller listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand program; and __fish_seen_subcommand_from show" -l token-file -d 'File with the operator token' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand program; and __fish_seen_subcommand_from show" -l key-file -d 'File with the account key' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand program; and __fish_seen_subcommand_from show" -l timeout -d 'Request timeout; does not apply to streamed calls' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand program; and __fish_seen_subcommand_from show" -l output -d 'Output format' -r -f -a "table\t''
json\t''"
complete -c basilramp -n "__fish_basilramp_using_subcommand program; and __fish_seen_subcommand_from show" -s h -l help -d 'Print help'
complete -c basilramp -n "__fish_basilramp_using_subcommand program; and __fish_seen_subcommand_from run" -l program -d 'Run the call in this existing program' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand program; and __fish_seen_subcommand_from run" -l position -d 'Position of the call in the program [default: the next]' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand program; and __fish_seen_subcommand_from run" -l request-id -d 'Request id; a repeated request gets the recorded response' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand program; and __fish_seen_subcommand_from run" -l max-tokens -d 'Maximum number of tokens to generate' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand program; and __fish_seen_subcommand_from run" -l budget -d 'Token budget of a new program' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand program; and __fish_seen_subcommand_from run" -l operators -d 'Address of an instance\'s operator listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand program; and __fish_seen_subcommand_from run" -l callers -d 'Address of an instance\'s caller listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand program; and __fish_seen_subcommand_from run" -l token-file -d 'File with the operator token' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand program; and __fish_seen_subcommand_from run" -l key-file -d 'File with the account key' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand program; and __fish_seen_subcommand_from run" -l timeout -d 'Request timeout; does not apply to streamed calls' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand program; and __fish_seen_subcommand_from run" -l output -d 'Output format' -r -f -a "table\t''
json\t''"
complete -c basilramp -n "__fish_basilramp_using_subcommand program; and __fish_seen_subcommand_from run" -l keep -d 'Leave a new program running'
complete -c basilramp -n "__fish_basilramp_using_subcommand program; and __fish_seen_subcommand_from run" -s h -l help -d 'Print help (see more with \'--help\')'
complete -c basilramp -n "__fish_basilramp_using_subcommand program; and __fish_seen_subcommand_from settle" -l answer -d 'The response to record' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand program; and __fish_seen_subcommand_from settle" -l reason -d 'Reason to record with the turn' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand program; and __fish_seen_subcommand_from settle" -l operators -d 'Address of an instance\'s operator listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand program; and __fish_seen_subcommand_from settle" -l callers -d 'Address of an instance\'s caller listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand program; and __fish_seen_subcommand_from settle" -l token-file -d 'File with the operator token' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand program; and __fish_seen_subcommand_from settle" -l key-file -d 'File with the account key' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand program; and __fish_seen_subcommand_from settle" -l timeout -d 'Request timeout; does not apply to streamed calls' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand program; and __fish_seen_subcommand_from settle" -l output -d 'Output format' -r -f -a "table\t''
json\t''"
complete -c basilramp -n "__fish_basilramp_using_subcommand program; and __fish_seen_subcommand_from settle" -l ran -d 'The call took effect'
complete -c basilramp -n "__fish_basilramp_using_subcommand program; and __fish_seen_subcommand_from settle" -l not-ran -d 'The call did not take effect'
complete -c basilramp -n "__fish_basilramp_using_subcommand program; and __fish_seen_subcommand_from settle" -s h -l help -d 'Print help (see more with \'--help\')'
complete -c basilramp -n "__fish_basilramp_using_subcommand program; and __fish_seen_subcommand_from end" -l operators -d 'Address of an instance\'s operator listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand program; and __fish_seen_subcommand_from end" -l callers -d 'Address of an instance\'s caller listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand program; and __fish_seen_subcommand_from end" -l token-file -d 'File with the operator token' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand program; and __fish_seen_subcommand_from end" -l key-file -d 'File with the account key' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand program; and __fish_seen_subcommand_from end" -l timeout -d 'Request timeout; does not apply to streamed calls' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand program; and __fish_seen_subcommand_from end" -l output -d 'Output format' -r -f -a "table\t''
json\t''"
complete -c basilramp -n "__fish_basilramp_using_subcommand program; and __fish_seen_subcommand_from end" -s h -l help -d 'Print help'
complete -c basilramp -n "__fish_basilramp_using_subcommand program; and __fish_seen_subcommand_from help" -f -a "show" -d 'Show a program and its turns'
complete -c basilramp -n "__fish_basilramp_using_subcommand program; and __fish_seen_subcommand_from help" -f -a "run" -d 'Run a call and stream its response'
complete -c basilramp -n "__fish_basilramp_using_subcommand program; and __fish_seen_subcommand_from help" -f -a "settle" -d 'Settle a call in doubt'
complete -c basilramp -n "__fish_basilramp_using_subcommand program; and __fish_seen_subcommand_from help" -f -a "end" -d 'End a program'
complete -c basilramp -n "__fish_basilramp_using_subcommand program; and __fish_seen_subcommand_from help" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
complete -c basilramp -n "__fish_basilramp_using_subcommand instance; and not __fish_seen_subcommand_from list help" -l operators -d 'Address of an instance\'s operator listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand instance; and not __fish_seen_subcommand_from list help" -l callers -d 'Address of an instance\'s caller listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand instance; and not __fish_seen_subcommand_from list help" -l token-file -d 'File with the operator token' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand instance; and not __fish_seen_subcommand_from list help" -l key-file -d 'File with the account key' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand instance; and not __fish_seen_subcommand_from list help" -l timeout -d 'Request timeout; does not apply to streamed calls' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand instance; and not __fish_seen_subcommand_from list help" -l output -d 'Output format' -r -f -a "table\t''
json\t''"
complete -c basilramp -n "__fish_basilramp_using_subcommand instance; and not __fish_seen_subcommand_from list help" -s h -l help -d 'Print help'
complete -c basilramp -n "__fish_basilramp_using_subcommand instance; and not __fish_seen_subcommand_from list help" -f -a "list" -d 'List the instances'
complete -c basilramp -n "__fish_basilramp_using_subcommand instance; and not __fish_seen_subcommand_from list help" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
complete -c basilramp -n "__fish_basilramp_using_subcommand instance; and __fish_seen_subcommand_from list" -l operators -d 'Address of an instance\'s operator listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand instance; and __fish_seen_subcommand_from list" -l callers -d 'Address of an instance\'s caller listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand instance; and __fish_seen_subcommand_from list" -l token-file -d 'File with the operator token' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand instance; and __fish_seen_subcommand_from list" -l key-file -d 'File with the account key' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand instance; and __fish_seen_subcommand_from list" -l timeout -d 'Request timeout; does not apply to streamed calls' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand instance; and __fish_seen_subcommand_from list" -l output -d 'Output format' -r -f -a "table\t''
json\t''"
complete -c basilramp -n "__fish_basilramp_using_subcommand instance; and __fish_seen_subcommand_from list" -s h -l help -d 'Print help'
complete -c basilramp -n "__fish_basilramp_using_subcommand instance; and __fish_seen_subcommand_from help" -f -a "list" -d 'List the instances'
complete -c basilramp -n "__fish_basilramp_using_subcommand instance; and __fish_seen_subcommand_from help" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
complete -c basilramp -n "__fish_basilramp_using_subcommand config; and not __fish_seen_subcommand_from show check log diff help" -l operators -d 'Address of an instance\'s operator listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand config; and not __fish_seen_subcommand_from show check log diff help" -l callers -d 'Address of an instance\'s caller listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand config; and not __fish_seen_subcommand_from show check log diff help" -l token-file -d 'File with the operator token' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand config; and not __fish_seen_subcommand_from show check log diff help" -l key-file -d 'File with the account key' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand config; and not __fish_seen_subcommand_from show check log diff help" -l timeout -d 'Request timeout; does not apply to streamed calls' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand config; and not __fish_seen_subcommand_from show check log diff help" -l output -d 'Output format' -r -f -a "table\t''
json\t''"
complete -c basilramp -n "__fish_basilramp_using_subcommand config; and not __fish_seen_subcommand_from show check log diff help" -s h -l help -d 'Print help'
complete -c basilramp -n "__fish_basilramp_using_subcommand config; and not __fish_seen_subcommand_from show check log diff help" -f -a "show" -d 'Show every configured item'
complete -c basilramp -n "__fish_basilramp_using_subcommand config; and not __fish_seen_subcommand_from show check log diff help" -f -a "check" -d 'Check a configuration document of the users\' platform'
complete -c basilramp -n "__fish_basilramp_using_subcommand config; and not __fish_seen_subcommand_from show check log diff help" -f -a "log" -d 'Show the change log'
complete -c basilramp -n "__fish_basilramp_using_subcommand config; and not __fish_seen_subcommand_from show check log diff help" -f -a "diff" -d 'Show the differences between two versions; exits with 8 if there are any'
complete -c basilramp -n "__fish_basilramp_using_subcommand config; and not __fish_seen_subcommand_from show check log diff help" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
complete -c basilramp -n "__fish_basilramp_using_subcommand config; and __fish_seen_subcommand_from show" -l operators -d 'Address of an instance\'s operator listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand config; and __fish_seen_subcommand_from show" -l callers -d 'Address of an instance\'s caller listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand config; and __fish_seen_subcommand_from show" -l token-file -d 'File with the operator token' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand config; and __fish_seen_subcommand_from show" -l key-file -d 'File with the account key' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand config; and __fish_seen_subcommand_from show" -l timeout -d 'Request timeout; does not apply to streamed calls' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand config; and __fish_seen_subcommand_from show" -l output -d 'Output format' -r -f -a "table\t''
json\t''"
complete -c basilramp -n "__fish_basilramp_using_subcommand config; and __fish_seen_subcommand_from show" -s h -l help -d 'Print help'
complete -c basilramp -n "__fish_basilramp_using_subcommand config; and __fish_seen_subcommand_from check" -l against -d 'The document in force; show the differences from it' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand config; and __fish_seen_subcommand_from check" -l operators -d 'Address of an instance\'s operator listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand config; and __fish_seen_subcommand_from check" -l callers -d 'Address of an instance\'s caller listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand config; and __fish_seen_subcommand_from check" -l token-file -d 'File with the operator token' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand config; and __fish_seen_subcommand_from check" -l key-file -d 'File with the account key' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand config; and __fish_seen_subcommand_from check" -l timeout -d 'Request timeout; does not apply to streamed calls' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand config; and __fish_seen_subcommand_from check" -l output -d 'Output format' -r -f -a "table\t''
json\t''"
complete -c basilramp -n "__fish_basilramp_using_subcommand config; and __fish_seen_subcommand_from check" -l json -d 'Print JSON, same as --output json'
complete -c basilramp -n "__fish_basilramp_using_subcommand config; and __fish_seen_subcommand_from check" -s h -l help -d 'Print help (see more with \'--help\')'
complete -c basilramp -n "__fish_basilramp_using_subcommand config; and __fish_seen_subcommand_from log" -l after -d 'Show only changes after this version' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand config; and __fish_seen_subcommand_from log" -l operators -d 'Address of an instance\'s operator listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand config; and __fish_seen_subcommand_from log" -l callers -d 'Address of an instance\'s caller listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand config; and __fish_seen_subcommand_from log" -l token-file -d 'File with the operator token' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand config; and __fish_seen_subcommand_from log" -l key-file -d 'File with the account key' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand config; and __fish_seen_subcommand_from log" -l timeout -d 'Request timeout; does not apply to streamed calls' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand config; and __fish_seen_subcommand_from log" -l output -d 'Output format' -r -f -a "table\t''
json\t''"
complete -c basilramp -n "__fish_basilramp_using_subcommand config; and __fish_seen_subcommand_from log" -s h -l help -d 'Print help'
complete -c basilramp -n "__fish_basilramp_using_subcommand config; and __fish_seen_subcommand_from diff" -l operators -d 'Address of an instance\'s operator listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand config; and __fish_seen_subcommand_from diff" -l callers -d 'Address of an instance\'s caller listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand config; and __fish_seen_subcommand_from diff" -l token-file -d 'File with the operator token' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand config; and __fish_seen_subcommand_from diff" -l key-file -d 'File with the account key' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand config; and __fish_seen_subcommand_from diff" -l timeout -d 'Request timeout; does not apply to streamed calls' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand config; and __fish_seen_subcommand_from diff" -l output -d 'Output format' -r -f -a "table\t''
json\t''"
complete -c basilramp -n "__fish_basilramp_using_subcommand config; and __fish_seen_subcommand_from diff" -s h -l help -d 'Print help'
complete -c basilramp -n "__fish_basilramp_using_subcommand config; and __fish_seen_subcommand_from help" -f -a "show" -d 'Show every configured item'
complete -c basilramp -n "__fish_basilramp_using_subcommand config; and __fish_seen_subcommand_from help" -f -a "check" -d 'Check a configuration document of the users\' platform'
complete -c basilramp -n "__fish_basilramp_using_subcommand config; and __fish_seen_subcommand_from help" -f -a "log" -d 'Show the change log'
complete -c basilramp -n "__fish_basilramp_using_subcommand config; and __fish_seen_subcommand_from help" -f -a "diff" -d 'Show the differences between two versions; exits with 8 if there are any'
complete -c basilramp -n "__fish_basilramp_using_subcommand config; and __fish_seen_subcommand_from help" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
complete -c basilramp -n "__fish_basilramp_using_subcommand completions" -l operators -d 'Address of an instance\'s operator listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand completions" -l callers -d 'Address of an instance\'s caller listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand completions" -l token-file -d 'File with the operator token' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand completions" -l key-file -d 'File with the account key' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand completions" -l timeout -d 'Request timeout; does not apply to streamed calls' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand completions" -l output -d 'Output format' -r -f -a "table\t''
json\t''"
complete -c basilramp -n "__fish_basilramp_using_subcommand completions" -s h -l help -d 'Print help'
complete -c basilramp -n "__fish_basilramp_using_subcommand manual" -l operators -d 'Address of an instance\'s operator listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand manual" -l callers -d 'Address of an instance\'s caller listener' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand manual" -l token-file -d 'File with the operator token' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand manual" -l key-file -d 'File with the account key' -r -F
complete -c basilramp -n "__fish_basilramp_using_subcommand manual" -l timeout -d 'Request timeout; does not apply to streamed calls' -r
complete -c basilramp -n "__fish_basilramp_using_subcommand manual" -l output -d 'Output format' -r -f -a "table\t''
json\t''"
complete -c basilramp -n "__fish_basilramp_using_subcommand manual" -s h -l help -d 'Print help'
complete -c basilramp -n "__fish_basilramp_using_subcommand help; and not __fish_seen_subcommand_from service place plan limit upstream program instance config completions manual help" -f -a "service" -d 'Manage services, the targets of calls'
complete -c basilramp -n "__fish_basilramp_using_subcommand help; and not __fish_seen_subcommand_from service place plan limit upstream program instance config completions manual help" -f -a "place" -d 'Manage places, the locations of upstreams'
complete -c basilramp -n "__fish_basilramp_using_subcommand help; and not __fish_seen_subcommand_from service place plan limit upstream program instance config completions manual help" -f -a "plan" -d 'Manage plans, the number of ready upstreams per service and place'
complete -c basilramp -n "__fish_basilramp_using_subcommand help; and not __fish_seen_subcommand_from service place plan limit upstream program instance config completions manual help" -f -a "limit" -d 'Manage limits, the quotas of client accounts'
complete -c basilramp -n "__fish_basilramp_using_subcommand help; and not __fish_seen_subcommand_from service place plan limit upstream program instance config completions manual help" -f -a "upstream" -d 'Manage upstreams: model engines and plain services'
complete -c basilramp -n "__fish_basilramp_using_subcommand help; and not __fish_seen_subcommand_from service place plan limit upstream program instance config completions manual help" -f -a "program" -d 'Run calls, inspect and end programs, settle calls in doubt'
complete -c basilramp -n "__fish_basilramp_using_subcommand help; and not __fish_seen_subcommand_from service place plan limit upstream program instance config completions manual help" -f -a "instance" -d 'Inspect the instances of the scheduler'
complete -c basilramp -n "__fish_basilramp_using_subcommand help; and not __fish_seen_subcommand_from service place plan limit upstream program instance config completions manual help" -f -a "config" -d 'Inspect the whole configuration, or check one of the users\' platform'
complete -c basilramp -n "__fish_basilramp_using_subcommand help; and not __fish_seen_subcommand_from service place plan limit upstream program instance config completions manual help" -f -a "completions" -d 'Print completions for a shell'
complete -c basilramp -n "__fish_basilramp_using_subcommand help; and not __fish_seen_subcommand_from service place plan limit upstream program instance config completions manual help" -f -a "manual" -d 'Write the man pages into a directory'
complete -c basilramp -n "__fish_basilramp_using_subcommand help; and not __fish_seen_subcommand_from service place plan limit upstream program instance config completions manual help" -f -a "help" -d 'Print this message or the help of the given subcommand(s)'
complete -c basilramp -n "__fish_basilramp_using_subcommand help; and __fish_seen_subcommand_from service" -f -a "list" -d 'List the services'
complete -c basilramp -n "__fish_basilramp_using_subcommand help; and __fish_seen_subcommand_from service" -f -a "show" -d 'Show one service'
complete -c basilramp -n "__fish_basilramp_using_subcommand help; and __fish_seen_subcommand_from service" -f -a "apply" -d 'Create or replace the services listed in a file'
complete -c basilramp -n "__fish_basilramp_using_subcommand help; and __fish_seen_subcommand_from service" -f -a "delete" -d 'Delete services'
complete -c basilramp -n "__fish_basilramp_using_subcommand help; and __fish_seen_subcommand_from service" -f -a "diff" -d 'Show what `apply` would change; exits with 8 if there are differences'
complete -c basilramp -n "__fish_basilramp_using_subcommand help; and __fish_seen_subcommand_from service" -f -a "history" -d 'Show the changes of one service'
complete -c basilramp -n "__fish_basilramp_using_subcommand help; and __fish_seen_subcommand_from place" -f -a "list" -d 'List the places'
complete -c basilramp -n "__fish_basilramp_using_subcommand help; and __fish_seen_subcommand_from place" -f -a "show" -d 'Show one place'
complete -c basilramp -n "__fish_basilramp_using_subcommand help; and __fish_seen_subcommand_from place" -f -a "apply" -d 'Create or replace the places listed in a file'
complete -c basilramp -n "__fish_basilramp_using_subcommand help; and __fish_seen_subcommand_from place" -f -a "delete" -d 'Delete places'
complete -c basilramp -n "__fish_basilramp_using_subcommand help; and __fish_seen_subcommand_from place" -f -a "diff" -d 'Show what `apply` would change; exits with 8 if there are differences'
complete -c basilramp -n "__fish_basilramp_using_subcommand help; and __fish_seen_subcommand_from place" -f -a "history" -d 'Show the changes of one place'
complete -c basilramp -n "__fish_basilramp_using_subcommand help; and __fish_seen_subcommand_from plan" -f -a "list" -d 'List the plans'
complete -c basilramp -n "__fish_basilramp_using_subcommand help; and __fish_seen_subcommand_from plan" -f -a "show" -d 'Show one plan'
complete -c basilramp -n "__fish_basilramp_using_subcommand help; and __fish_seen_subcommand_from plan" -f -a "apply" -d 'Create or replace the plans listed in a file'
complete -c basilramp -n "__fish_basilramp_using_subcommand help; and __fish_seen_subcommand_from plan" -f -a "delete" -d 'Delete plans'
complete -c basilramp -n "__fish_basilramp_using_subcommand help; and __fish_seen_subcommand_from plan" -f -a "diff" -d 'Show what `apply` would change; exits with 8 if there are differences'
complete -c basilramp -n "__fish_basilramp_using_subcommand help; and __fish_seen_subcommand_from plan" -f -a "history" -d 'Show the changes of one plan'
complete -c basilramp -n "__fish_basilramp_using_subcommand help; and __fish_seen_subcommand_from plan" -f -a "import" -d 'Replace the plans with those of a CSV sheet'
complete -c basilramp -n "__fish_basilramp_using_subcommand help; and __fish_seen_subcommand_from limit" -f -a "list" -d 'List the limits'
complete -c basilramp -n "__fish_basilramp_using_subcommand help; and __fish_seen_subcommand_from limit" -f -a "show" -d 'Show one limit'
complete -c basilramp -n "__fish_basilramp_using_subcommand help; and __fish_seen_subcommand_from limit" -f -a "apply" -d 'Create or replace the limits listed in a file'
complete -c basilramp -n "__fish_basilramp_using_subcommand help; and __fish_seen_subcommand_from limit" -f -a "delete" -d 'Delete limits'
complete -c basilramp -n "__fish_basilramp_using_subcommand help; and __fish_seen_subcommand_from limit" -f -a "diff" -d 'Show what `apply` would change; exits with 8 if there are differences'
complete -c basilramp -n "__fish_basilramp_using_subcommand help; and __fish_seen_subcommand_from limit" -f -a "history" -d 'Show the changes of one limit'
complete -c basilramp -n "__fish_basilramp_using_subcommand help; and __fish_seen_subcommand_from upstream" -f -a "list" -d 'List the upstreams'
complete -c basilramp -n "__fish_basilramp_using_subcommand help; and __fish_seen_subcommand_from upstream" -f -a "order" -d 'Send an order to an upstream'
complete -c basilramp -n "__fish_basilramp_using_subcommand help; and __fish_seen_subcommand_from program" -f -a "show" -d 'Show a program and its turns'
complete -c basilramp -n "__fish_basilramp_using_subcommand help; and __fish_seen_subcommand_from program" -f -a "run" -d 'Run a call and stream its response'
complete -c basilramp -n "__fish_basilramp_using_subcommand help; and __fish_seen_subcommand_from program" -f -a "settle" -d 'Settle a call in doubt'
complete -c basilramp -n "__fish_basilramp_using_subcommand help; and __fish_seen_subcommand_from program" -f -a "end" -d 'End a program'
complete -c basilramp -n "__fish_basilramp_using_subcommand help; and __fish_seen_subcommand_from instance" -f -a "list" -d 'List the instances'
complete -c basilramp -n "__fish_basilramp_using_subcommand help; and __fish_seen_subcommand_from config" -f -a "show" -d 'Show every configured item'
complete -c basilramp -n "__fish_basilramp_using_subcommand help; and __fish_seen_subcommand_from config" -f -a "check" -d 'Check a configuration document of the users\' platform'
complete -c basilramp -n "__fish_basilramp_using_subcommand help; and __fish_seen_subcommand_from config" -f -a "log" -d 'Show the change log'
complete -c basilramp -n "__fish_basilramp_using_subcommand help; and __fish_seen_subcommand_from config" -f -a "diff" -d 'Show the differences between two versions; exits with 8 if there are any'
