_basilramp() {
    local i cur prev opts cmd
    COMPREPLY=()
    if [[ "${BASH_VERSINFO[0]}" -ge 4 ]]; then
        cur="$2"
    else
        cur="${COMP_WORDS[COMP_CWORD]}"
    fi
    prev="$3"
    cmd=""
    opts=""

    for i in "${COMP_WORDS[@]:0:COMP_CWORD}"
    do
        case "${cmd},${i}" in
            ",$1")
                cmd="basilramp"
                ;;
            basilramp,completions)
                cmd="basilramp__subcmd__completions"
                ;;
            basilramp,config)
                cmd="basilramp__subcmd__config"
                ;;
            basilramp,help)
                cmd="basilramp__subcmd__help"
                ;;
            basilramp,instance)
                cmd="basilramp__subcmd__instance"
                ;;
            basilramp,limit)
                cmd="basilramp__subcmd__limit"
                ;;
            basilramp,manual)
                cmd="basilramp__subcmd__manual"
                ;;
            basilramp,place)
                cmd="basilramp__subcmd__place"
                ;;
            basilramp,plan)
                cmd="basilramp__subcmd__plan"
                ;;
            basilramp,program)
                cmd="basilramp__subcmd__program"
                ;;
            basilramp,service)
                cmd="basilramp__subcmd__service"
                ;;
            basilramp,upstream)
                cmd="basilramp__subcmd__upstream"
                ;;
            basilramp__subcmd__config,check)
                cmd="basilramp__subcmd__config__subcmd__check"
                ;;
            basilramp__subcmd__config,diff)
                cmd="basilramp__subcmd__config__subcmd__diff"
                ;;
            basilramp__subcmd__config,help)
                cmd="basilramp__subcmd__config__subcmd__help"
                ;;
            basilramp__subcmd__config,log)
                cmd="basilramp__subcmd__config__subcmd__log"
                ;;
            basilramp__subcmd__config,show)
                cmd="basilramp__subcmd__config__subcmd__show"
                ;;
            basilramp__subcmd__config__subcmd__help,check)
                cmd="basilramp__subcmd__config__subcmd__help__subcmd__check"
                ;;
            basilramp__subcmd__config__subcmd__help,diff)
                cmd="basilramp__subcmd__config__subcmd__help__subcmd__diff"
                ;;
            basilramp__subcmd__config__subcmd__help,help)
                cmd="basilramp__subcmd__config__subcmd__help__subcmd__help"
                ;;
            basilramp__subcmd__config__subcmd__help,log)
                cmd="basilramp__subcmd__config__subcmd__help__subcmd__log"
                ;;
            basilramp__subcmd__config__subcmd__help,show)
                cmd="basilramp__subcmd__config__subcmd__help__subcmd__show"
                ;;
            basilramp__subcmd__help,completions)
                cmd="basilramp__subcmd__help__subcmd__completions"
                ;;
            basilramp__subcmd__help,config)
                cmd="basilramp__subcmd__help__subcmd__config"
                ;;
            basilramp__subcmd__help,help)
                cmd="basilramp__subcmd__help__subcmd__help"
                ;;
            basilramp__subcmd__help,instance)
                cmd="basilramp__subcmd__help__subcmd__instance"
                ;;
            basilramp__subcmd__help,limit)
                cmd="basilramp__subcmd__help__subcmd__limit"
                ;;
            basilramp__subcmd__help,manual)
                cmd="basilramp__subcmd__help__subcmd__manual"
                ;;
            basilramp__subcmd__help,place)
                cmd="basilramp__subcmd__help__subcmd__place"
                ;;
            basilramp__subcmd__help,plan)
                cmd="basilramp__subcmd__help__subcmd__plan"
                ;;
            basilramp__subcmd__help,program)
                cmd="basilramp__subcmd__help__subcmd__program"
                ;;
            basilramp__subcmd__help,service)
                cmd="basilramp__subcmd__help__subcmd__service"
                ;;
            basilramp__subcmd__help,upstream)
                cmd="basilramp__subcmd__help__subcmd__upstream"
                ;;
            basilramp__subcmd__help__subcmd__config,check)
                cmd="basilramp__subcmd__help__subcmd__config__subcmd__check"
                ;;
            basilramp__subcmd__help__subcmd__config,diff)
                cmd="basilramp__subcmd__help__subcmd__config__subcmd__diff"
                ;;
            basilramp__subcmd__help__subcmd__config,log)
                cmd="basilramp__subcmd__help__subcmd__config__subcmd__log"
                ;;
            basilramp__subcmd__help__subcmd__config,show)
                cmd="basilramp__subcmd__help__subcmd__config__subcmd__show"
                ;;
            basilramp__subcmd__help__subcmd__instance,list)
                cmd="basilramp__subcmd__help__subcmd__instance__subcmd__list"
                ;;
            basilramp__subcmd__help__subcmd__limit,apply)
                cmd="basilramp__subcmd__help__subcmd__limit__subcmd__apply"
                ;;
            basilramp__subcmd__help__subcmd__limit,delete)
                cmd="basilramp__subcmd__help__subcmd__limit__subcmd__delete"
                ;;
            basilramp__subcmd__help__subcmd__limit,diff)
                cmd="basilramp__subcmd__help__subcmd__limit__subcmd__diff"
                ;;
            basilramp__subcmd__help__subcmd__limit,history)
                cmd="basilramp__subcmd__help__subcmd__limit__subcmd__history"
                ;;
            basilramp__subcmd__help__subcmd__limit,list)
                cmd="basilramp__subcmd__help__subcmd__limit__subcmd__list"
                ;;
            basilramp__subcmd__help__subcmd__limit,show)
                cmd="basilramp__subcmd__help__subcmd__limit__subcmd__show"
                ;;
            basilramp__subcmd__help__subcmd__place,apply)
                cmd="basilramp__subcmd__help__subcmd__place__subcmd__apply"
                ;;
            basilramp__subcmd__help__subcmd__place,delete)
                cmd="basilramp__subcmd__help__subcmd__place__subcmd__delete"
                ;;
            basilramp__subcmd__help__subcmd__place,diff)
                cmd="basilramp__subcmd__help__subcmd__place__subcmd__diff"
                ;;
            basilramp__subcmd__help__subcmd__place,history)
                cmd="basilramp__subcmd__help__subcmd__place__subcmd__history"
                ;;
            basilramp__subcmd__help__subcmd__place,list)
                cmd="basilramp__subcmd__help__subcmd__place__subcmd__list"
                ;;
            basilramp__subcmd__help__subcmd__place,show)
                cmd="basilramp__subcmd__help__subcmd__place__subcmd__show"
                ;;
            basilramp__subcmd__help__subcmd__plan,apply)
                cmd="basilramp__subcmd__help__subcmd__plan__subcmd__apply"
                ;;
            basilramp__subcmd__help__subcmd__plan,delete)
                cmd="basilramp__subcmd__help__subcmd__plan__subcmd__delete"
                ;;
            basilramp__subcmd__help__subcmd__plan,diff)
                cmd="basilramp__subcmd__help__subcmd__plan__subcmd__diff"
                ;;
            basilramp__subcmd__help__subcmd__plan,history)
                cmd="basilramp__subcmd__help__subcmd__plan__subcmd__history"
                ;;
            basilramp__subcmd__help__subcmd__plan,import)
                cmd="basilramp__subcmd__help__subcmd__plan__subcmd__import"
                ;;
            basilramp__subcmd__help__subcmd__plan,list)
                cmd="basilramp__subcmd__help__subcmd__plan__subcmd__list"
                ;;
            basilramp__subcmd__help__subcmd__plan,show)
                cmd="basilramp__subcmd__help__subcmd__plan__subcmd__show"
                ;;
            basilramp__subcmd__help__subcmd__program,end)
                cmd="basilramp__subcmd__help__subcmd__program__subcmd__end"
                ;;
            basilramp__subcmd__help__subcmd__program,run)
                cmd="basilramp__subcmd__help__subcmd__program__subcmd__run"
                ;;
            basilramp__subcmd__help__subcmd__program,settle)
                cmd="basilramp__subcmd__help__subcmd__program__subcmd__settle"
                ;;
            basilramp__subcmd__help__subcmd__program,show)
                cmd="basilramp__subcmd__help__subcmd__program__subcmd__show"
                ;;
            basilramp__subcmd__help__subcmd__service,apply)
                cmd="basilramp__subcmd__help__subcmd__service__subcmd__apply"
                ;;
            basilramp__subcmd__help__subcmd__service,delete)
                cmd="basilramp__subcmd__help__subcmd__service__subcmd__delete"
                ;;
            basilramp__subcmd__help__subcmd__service,diff)
                cmd="basilramp__subcmd__help__subcmd__service__subcmd__diff"
                ;;
            basilramp__subcmd__help__subcmd__service,history)
                cmd="basilramp__subcmd__help__subcmd__service__subcmd__history"
                ;;
            basilramp__subcmd__help__subcmd__service,list)
                cmd="basilramp__subcmd__help__subcmd__service__subcmd__list"
                ;;
            basilramp__subcmd__help__subcmd__service,show)
                cmd="basilramp__subcmd__help__subcmd__service__subcmd__show"
                ;;
            basilramp__subcmd__help__subcmd__upstream,list)
                cmd="basilramp__subcmd__help__subcmd__upstream__subcmd__list"
                ;;
            basilramp__subcmd__help__subcmd__upstream,order)
                cmd="basilramp__subcmd__help__subcmd__upstream__subcmd__order"
                ;;
            basilramp__subcmd__help__subcmd__upstream__subcmd__order,load)
                cmd="basilramp__subcmd__help__subcmd__upstream__subcmd__order__subcmd__load"
                ;;
            basilramp__subcmd__help__subcmd__upstream__subcmd__order,unload)
                cmd="basilramp__subcmd__help__subcmd__upstream__subcmd__order__subcmd__unload"
                ;;
            basilramp__subcmd__instance,help)
                cmd="basilramp__subcmd__instance__subcmd__help"
                ;;
            basilramp__subcmd__instance,list)
                cmd="basilramp__subcmd__instance__subcmd__list"
                ;;
            basilramp__subcmd__instance__subcmd__help,help)
                cmd="basilramp__subcmd__instance__subcmd__help__subcmd__help"
                ;;
            basilramp__subcmd__instance__subcmd__help,list)
                cmd="basilramp__subcmd__instance__subcmd__help__subcmd__list"
                ;;
            basilramp__subcmd__limit,apply)
                cmd="basilramp__subcmd__limit__subcmd__apply"
                ;;
            basilramp__subcmd__limit,delete)
                cmd="basilramp__subcmd__limit__subcmd__delete"
                ;;
            basilramp__subcmd__limit,diff)
                cmd="basilramp__subcmd__limit__subcmd__diff"
                ;;
            basilramp__subcmd__limit,help)
                cmd="basilramp__subcmd__limit__subcmd__help"
                ;;
            basilramp__subcmd__limit,history)
                cmd="basilramp__subcmd__limit__subcmd__history"
                ;;
            basilramp__subcmd__limit,list)
                cmd="basilramp__subcmd__limit__subcmd__list"
                ;;
            basilramp__subcmd__limit,show)
                cmd="basilramp__subcmd__limit__subcmd__show"
                ;;
            basilramp__subcmd__limit__subcmd__help,apply)
                cmd="basilramp__subcmd__limit__subcmd__help__subcmd__apply"
                ;;
            basilramp__subcmd__limit__subcmd__help,delete)
                cmd="basilramp__subcmd__limit__subcmd__help__subcmd__delete"
                ;;
            basilramp__subcmd__limit__subcmd__help,diff)
                cmd="basilramp__subcmd__limit__subcmd__help__subcmd__diff"
                ;;
            basilramp__subcmd__limit__subcmd__help,help)
                cmd="basilramp__subcmd__limit__subcmd__help__subcmd__help"
                ;;
            basilramp__subcmd__limit__subcmd__help,history)
                cmd="basilramp__subcmd__limit__subcmd__help__subcmd__history"
                ;;
            basilramp__subcmd__limit__subcmd__help,list)
                cmd="basilramp__subcmd__limit__subcmd__help__subcmd__list"
                ;;
            basilramp__subcmd__limit__subcmd__help,show)
                cmd="basilramp__subcmd__limit__subcmd__help__subcmd__show"
                ;;
            basilramp__subcmd__place,apply)
                cmd="basilramp__subcmd__place__subcmd__apply"
                ;;
            basilramp__subcmd__place,delete)
                cmd="basilramp__subcmd__place__subcmd__delete"
                ;;
            basilramp__subcmd__place,diff)
                cmd="basilramp__subcmd__place__subcmd__diff"
                ;;
            basilramp__subcmd__place,help)
                cmd="basilramp__subcmd__place__subcmd__help"
                ;;
            basilramp__subcmd__place,history)
                cmd="basilramp__subcmd__place__subcmd__history"
                ;;
            basilramp__subcmd__place,list)
                cmd="basilramp__subcmd__place__subcmd__list"
                ;;
            basilramp__subcmd__place,show)
                cmd="basilramp__subcmd__place__subcmd__show"
                ;;
            basilramp__subcmd__place__subcmd__help,apply)
                cmd="basilramp__subcmd__place__subcmd__help__subcmd__apply"
                ;;
            basilramp__subcmd__place__subcmd__help,delete)
                cmd="basilramp__subcmd__place__subcmd__help__subcmd__delete"
                ;;
            basilramp__subcmd__place__subcmd__help,diff)
                cmd="basilramp__subcmd__place__subcmd__help__subcmd__diff"
                ;;
            basilramp__subcmd__place__subcmd__help,help)
                cmd="basilramp__subcmd__place__subcmd__help__subcmd__help"
                ;;
            basilramp__subcmd__place__subcmd__help,history)
                cmd="basilramp__subcmd__place__subcmd__help__subcmd__history"
                ;;
            basilramp__subcmd__place__subcmd__help,list)
                cmd="basilramp__subcmd__place__subcmd__help__subcmd__list"
                ;;
            basilramp__subcmd__place__subcmd__help,show)
                cmd="basilramp__subcmd__place__subcmd__help__subcmd__show"
                ;;
            basilramp__subcmd__plan,apply)
                cmd="basilramp__subcmd__plan__subcmd__apply"
                ;;
            basilramp__subcmd__plan,delete)
                cmd="basilramp__subcmd__plan__subcmd__delete"
                ;;
            basilramp__subcmd__plan,diff)
                cmd="basilramp__subcmd__plan__subcmd__diff"
                ;;
            basilramp__subcmd__plan,help)
                cmd="basilramp__subcmd__plan__subcmd__help"
                ;;
            basilramp__subcmd__plan,history)
                cmd="basilramp__subcmd__plan__subcmd__history"
                ;;
            basilramp__subcmd__plan,import)
                cmd="basilramp__subcmd__plan__subcmd__import"
                ;;
            basilramp__subcmd__plan,list)
                cmd="basilramp__subcmd__plan__subcmd__list"
                ;;
            basilramp__subcmd__plan,show)
                cmd="basilramp__subcmd__plan__subcmd__show"
                ;;
            basilramp__subcmd__plan__subcmd__help,apply)
                cmd="basilramp__subcmd__plan__subcmd__help__subcmd__apply"
                ;;
            basilramp__subcmd__plan__subcmd__help,delete)
                cmd="basilramp__subcmd__plan__subcmd__help__subcmd__delete"
                ;;
            basilramp__subcmd__plan__subcmd__help,diff)
                cmd="basilramp__subcmd__plan__subcmd__help__subcmd__diff"
                ;;
            basilramp__subcmd__plan__subcmd__help,help)
                cmd="basilramp__subcmd__plan__subcmd__help__subcmd__help"
                ;;
            basilramp__subcmd__plan__subcmd__help,history)
                cmd="basilramp__subcmd__plan__subcmd__help__subcmd__history"
                ;;
            basilramp__subcmd__plan__subcmd__help,import)
                cmd="basilramp__subcmd__plan__subcmd__help__subcmd__import"
                ;;
            basilramp__subcmd__plan__subcmd__help,list)
                cmd="basilramp__subcmd__plan__subcmd__help__subcmd__list"
                ;;
            basilramp__subcmd__plan__subcmd__help,show)
                cmd="basilramp__subcmd__plan__subcmd__help__subcmd__show"
                ;;
            basilramp__subcmd__program,end)
                cmd="basilramp__subcmd__program__subcmd__end"
                ;;
            basilramp__subcmd__program,help)
                cmd="basilramp__subcmd__program__subcmd__help"
                ;;
            basilramp__subcmd__program,run)
                cmd="basilramp__subcmd__program__subcmd__run"
                ;;
            basilramp__subcmd__program,settle)
                cmd="basilramp__subcmd__program__subcmd__settle"
                ;;
            basilramp__subcmd__program,show)
                cmd="basilramp__subcmd__program__subcmd__show"
                ;;
            basilramp__subcmd__program__subcmd__help,end)
                cmd="basilramp__subcmd__program__subcmd__help__subcmd__end"
                ;;
            basilramp__subcmd__program__subcmd__help,help)
                cmd="basilramp__subcmd__program__subcmd__help__subcmd__help"
                ;;
            basilramp__subcmd__program__subcmd__help,run)
                cmd="basilramp__subcmd__program__subcmd__help__subcmd__run"
                ;;
            basilramp__subcmd__program__subcmd__help,settle)
                cmd="basilramp__subcmd__program__subcmd__help__subcmd__settle"
                ;;
            basilramp__subcmd__program__subcmd__help,show)
                cmd="basilramp__subcmd__program__subcmd__help__subcmd__show"
                ;;
            basilramp__subcmd__service,apply)
                cmd="basilramp__subcmd__service__subcmd__apply"
                ;;
            basilramp__subcmd__service,delete)
                cmd="basilramp__subcmd__service__subcmd__delete"
                ;;
            basilramp__subcmd__service,diff)
                cmd="basilramp__subcmd__service__subcmd__diff"
                ;;
            basilramp__subcmd__service,help)
                cmd="basilramp__subcmd__service__subcmd__help"
                ;;
            basilramp__subcmd__service,history)
                cmd="basilramp__subcmd__service__subcmd__history"
                ;;
            basilramp__subcmd__service,list)
                cmd="basilramp__subcmd__service__subcmd__list"
                ;;
            basilramp__subcmd__service,show)
                cmd="basilramp__subcmd__service__subcmd__show"
                ;;
            basilramp__subcmd__service__subcmd__help,apply)
                cmd="basilramp__subcmd__service__subcmd__help__subcmd__apply"
                ;;
            basilramp__subcmd__service__subcmd__help,delete)
                cmd="basilramp__subcmd__service__subcmd__help__subcmd__delete"
                ;;
            basilramp__subcmd__service__subcmd__help,diff)
                cmd="basilramp__subcmd__service__subcmd__help__subcmd__diff"
                ;;
            basilramp__subcmd__service__subcmd__help,help)
                cmd="basilramp__subcmd__service__subcmd__help__subcmd__help"
                ;;
            basilramp__subcmd__service__subcmd__help,history)
                cmd="basilramp__subcmd__service__subcmd__help__subcmd__history"
                ;;
            basilramp__subcmd__service__subcmd__help,list)
                cmd="basilramp__subcmd__service__subcmd__help__subcmd__list"
                ;;
            basilramp__subcmd__service__subcmd__help,show)
                cmd="basilramp__subcmd__service__subcmd__help__subcmd__show"
                ;;
            basilramp__subcmd__upstream,help)
                cmd="basilramp__subcmd__upstream__subcmd__help"
                ;;
            basilramp__subcmd__upstream,list)
                cmd="basilramp__subcmd__upstream__subcmd__list"
                ;;
            basilramp__subcmd__upstream,order)
                cmd="basilramp__subcmd__upstream__subcmd__order"
                ;;
            basilramp__subcmd__upstream__subcmd__help,help)
                cmd="basilramp__subcmd__upstream__subcmd__help__subcmd__help"
                ;;
            basilramp__subcmd__upstream__subcmd__help,list)
                cmd="basilramp__subcmd__upstream__subcmd__help__subcmd__list"
                ;;
            basilramp__subcmd__upstream__subcmd__help,order)
                cmd="basilramp__subcmd__upstream__subcmd__help__subcmd__order"
                ;;
            basilramp__subcmd__upstream__subcmd__help__subcmd__order,load)
                cmd="basilramp__subcmd__upstream__subcmd__help__subcmd__order__subcmd__load"
                ;;
            basilramp__subcmd__upstream__subcmd__help__subcmd__order,unload)
                cmd="basilramp__subcmd__upstream__subcmd__help__subcmd__order__subcmd__unload"
                ;;
            basilramp__subcmd__upstream__subcmd__order,help)
                cmd="basilramp__subcmd__upstream__subcmd__order__subcmd__help"
                ;;
            basilramp__subcmd__upstream__subcmd__order,load)
                cmd="basilramp__subcmd__upstream__subcmd__order__subcmd__load"
                ;;
            basilramp__subcmd__upstream__subcmd__order,unload)
                cmd="basilramp__subcmd__upstream__subcmd__order__subcmd__unload"
                ;;
            basilramp__subcmd__upstream__subcmd__order__subcmd__help,help)
                cmd="basilramp__subcmd__upstream__subcmd__order__subcmd__help__subcmd__help"
                ;;
            basilramp__subcmd__upstream__subcmd__order__subcmd__help,load)
                cmd="basilramp__subcmd__upstream__subcmd__order__subcmd__help__subcmd__load"
                ;;
            basilramp__subcmd__upstream__subcmd__order__subcmd__help,unload)
                cmd="basilramp__subcmd__upstream__subcmd__order__subcmd__help__subcmd__unload"
                ;;
            *)
                ;;
        esac
    done

    case "${cmd}" in
        basilramp)
            opts="-h -V --operators --callers --token-file --key-file --timeout --output --help --version service place plan limit upstream program instance config completions manual help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 1 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --operators)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --callers)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --token-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --key-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --timeout)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --output)
                    COMPREPLY=($(compgen -W "table json" -- "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__completions)
            opts="-h --operators --callers --token-file --key-file --timeout --output --help bash elvish fish powershell zsh"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 2 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --operators)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --callers)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --token-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --key-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --timeout)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --output)
                    COMPREPLY=($(compgen -W "table json" -- "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__config)
            opts="-h --operators --callers --token-file --key-file --timeout --output --help show check log diff help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 2 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --operators)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --callers)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --token-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --key-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --timeout)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --output)
                    COMPREPLY=($(compgen -W "table json" -- "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__config__subcmd__check)
            opts="-h --against --json --operators --callers --token-file --key-file --timeout --output --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --against)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --operators)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --callers)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --token-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --key-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --timeout)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --output)
                    COMPREPLY=($(compgen -W "table json" -- "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__config__subcmd__diff)
            opts="-h --operators --callers --token-file --key-file --timeout --output --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --operators)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --callers)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --token-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --key-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --timeout)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --output)
                    COMPREPLY=($(compgen -W "table json" -- "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__config__subcmd__help)
            opts="show check log diff help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__config__subcmd__help__subcmd__check)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__config__subcmd__help__subcmd__diff)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__config__subcmd__help__subcmd__help)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__config__subcmd__help__subcmd__log)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__config__subcmd__help__subcmd__show)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__config__subcmd__log)
            opts="-h --after --operators --callers --token-file --key-file --timeout --output --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --after)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --operators)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --callers)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --token-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --key-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --timeout)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --output)
                    COMPREPLY=($(compgen -W "table json" -- "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__config__subcmd__show)
            opts="-h --operators --callers --token-file --key-file --timeout --output --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --operators)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --callers)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --token-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --key-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --timeout)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --output)
                    COMPREPLY=($(compgen -W "table json" -- "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__help)
            opts="service place plan limit upstream program instance config completions manual help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 2 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__help__subcmd__completions)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__help__subcmd__config)
            opts="show check log diff"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__help__subcmd__config__subcmd__check)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__help__subcmd__config__subcmd__diff)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__help__subcmd__config__subcmd__log)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__help__subcmd__config__subcmd__show)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__help__subcmd__help)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__help__subcmd__instance)
            opts="list"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__help__subcmd__instance__subcmd__list)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__help__subcmd__limit)
            opts="list show apply delete diff history"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__help__subcmd__limit__subcmd__apply)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__help__subcmd__limit__subcmd__delete)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__help__subcmd__limit__subcmd__diff)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__help__subcmd__limit__subcmd__history)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__help__subcmd__limit__subcmd__list)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__help__subcmd__limit__subcmd__show)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__help__subcmd__manual)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__help__subcmd__place)
            opts="list show apply delete diff history"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__help__subcmd__place__subcmd__apply)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__help__subcmd__place__subcmd__delete)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__help__subcmd__place__subcmd__diff)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__help__subcmd__place__subcmd__history)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__help__subcmd__place__subcmd__list)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__help__subcmd__place__subcmd__show)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__help__subcmd__plan)
            opts="list show apply delete diff history import"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__help__subcmd__plan__subcmd__apply)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__help__subcmd__plan__subcmd__delete)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__help__subcmd__plan__subcmd__diff)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__help__subcmd__plan__subcmd__history)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__help__subcmd__plan__subcmd__import)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__help__subcmd__plan__subcmd__list)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__help__subcmd__plan__subcmd__show)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__help__subcmd__program)
            opts="show run settle end"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__help__subcmd__program__subcmd__end)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__help__subcmd__program__subcmd__run)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__help__subcmd__program__subcmd__settle)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__help__subcmd__program__subcmd__show)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__help__subcmd__service)
            opts="list show apply delete diff history"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__help__subcmd__service__subcmd__apply)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__help__subcmd__service__subcmd__delete)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__help__subcmd__service__subcmd__diff)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__help__subcmd__service__subcmd__history)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__help__subcmd__service__subcmd__list)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__help__subcmd__service__subcmd__show)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__help__subcmd__upstream)
            opts="list order"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__help__subcmd__upstream__subcmd__list)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__help__subcmd__upstream__subcmd__order)
            opts="load unload"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__help__subcmd__upstream__subcmd__order__subcmd__load)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 5 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__help__subcmd__upstream__subcmd__order__subcmd__unload)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 5 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__instance)
            opts="-h --operators --callers --token-file --key-file --timeout --output --help list help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 2 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --operators)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --callers)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --token-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --key-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --timeout)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --output)
                    COMPREPLY=($(compgen -W "table json" -- "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__instance__subcmd__help)
            opts="list help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__instance__subcmd__help__subcmd__help)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__instance__subcmd__help__subcmd__list)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__instance__subcmd__list)
            opts="-h --operators --callers --token-file --key-file --timeout --output --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --operators)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --callers)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --token-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --key-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --timeout)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --output)
                    COMPREPLY=($(compgen -W "table json" -- "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__limit)
            opts="-h --operators --callers --token-file --key-file --timeout --output --help list show apply delete diff history help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 2 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --operators)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --callers)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --token-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --key-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --timeout)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --output)
                    COMPREPLY=($(compgen -W "table json" -- "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__limit__subcmd__apply)
            opts="-h --dry-run --base --reason --operators --callers --token-file --key-file --timeout --output --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --base)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --reason)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --operators)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --callers)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --token-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --key-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --timeout)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --output)
                    COMPREPLY=($(compgen -W "table json" -- "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__limit__subcmd__delete)
            opts="-h --dry-run --base --reason --operators --callers --token-file --key-file --timeout --output --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --base)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --reason)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --operators)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --callers)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --token-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --key-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --timeout)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --output)
                    COMPREPLY=($(compgen -W "table json" -- "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__limit__subcmd__diff)
            opts="-h --operators --callers --token-file --key-file --timeout --output --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --operators)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --callers)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --token-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --key-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --timeout)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --output)
                    COMPREPLY=($(compgen -W "table json" -- "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__limit__subcmd__help)
            opts="list show apply delete diff history help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__limit__subcmd__help__subcmd__apply)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__limit__subcmd__help__subcmd__delete)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__limit__subcmd__help__subcmd__diff)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__limit__subcmd__help__subcmd__help)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__limit__subcmd__help__subcmd__history)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__limit__subcmd__help__subcmd__list)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__limit__subcmd__help__subcmd__show)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__limit__subcmd__history)
            opts="-h --operators --callers --token-file --key-file --timeout --output --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --operators)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --callers)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --token-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --key-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --timeout)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --output)
                    COMPREPLY=($(compgen -W "table json" -- "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__limit__subcmd__list)
            opts="-h --operators --callers --token-file --key-file --timeout --output --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --operators)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --callers)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --token-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --key-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --timeout)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --output)
                    COMPREPLY=($(compgen -W "table json" -- "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__limit__subcmd__show)
            opts="-h --operators --callers --token-file --key-file --timeout --output --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --operators)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --callers)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --token-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --key-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --timeout)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --output)
                    COMPREPLY=($(compgen -W "table json" -- "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__manual)
            opts="-h --operators --callers --token-file --key-file --timeout --output --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 2 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --operators)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --callers)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --token-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --key-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --timeout)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --output)
                    COMPREPLY=($(compgen -W "table json" -- "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__place)
            opts="-h --operators --callers --token-file --key-file --timeout --output --help list show apply delete diff history help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 2 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --operators)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --callers)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --token-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --key-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --timeout)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --output)
                    COMPREPLY=($(compgen -W "table json" -- "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__place__subcmd__apply)
            opts="-h --dry-run --base --reason --operators --callers --token-file --key-file --timeout --output --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --base)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --reason)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --operators)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --callers)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --token-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --key-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --timeout)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --output)
                    COMPREPLY=($(compgen -W "table json" -- "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__place__subcmd__delete)
            opts="-h --dry-run --base --reason --operators --callers --token-file --key-file --timeout --output --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --base)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --reason)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --operators)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --callers)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --token-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --key-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --timeout)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --output)
                    COMPREPLY=($(compgen -W "table json" -- "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__place__subcmd__diff)
            opts="-h --operators --callers --token-file --key-file --timeout --output --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --operators)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --callers)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --token-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --key-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --timeout)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --output)
                    COMPREPLY=($(compgen -W "table json" -- "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__place__subcmd__help)
            opts="list show apply delete diff history help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__place__subcmd__help__subcmd__apply)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__place__subcmd__help__subcmd__delete)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__place__subcmd__help__subcmd__diff)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__place__subcmd__help__subcmd__help)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__place__subcmd__help__subcmd__history)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__place__subcmd__help__subcmd__list)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__place__subcmd__help__subcmd__show)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__place__subcmd__history)
            opts="-h --operators --callers --token-file --key-file --timeout --output --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --operators)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --callers)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --token-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --key-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --timeout)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --output)
                    COMPREPLY=($(compgen -W "table json" -- "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__place__subcmd__list)
            opts="-h --operators --callers --token-file --key-file --timeout --output --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --operators)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --callers)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --token-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --key-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --timeout)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --output)
                    COMPREPLY=($(compgen -W "table json" -- "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__place__subcmd__show)
            opts="-h --operators --callers --token-file --key-file --timeout --output --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --operators)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --callers)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --token-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --key-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --timeout)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --output)
                    COMPREPLY=($(compgen -W "table json" -- "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__plan)
            opts="-h --operators --callers --token-file --key-file --timeout --output --help list show apply delete diff history import help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 2 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --operators)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --callers)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --token-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --key-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --timeout)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --output)
                    COMPREPLY=($(compgen -W "table json" -- "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__plan__subcmd__apply)
            opts="-h --dry-run --base --reason --operators --callers --token-file --key-file --timeout --output --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --base)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --reason)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --operators)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --callers)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --token-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --key-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --timeout)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --output)
                    COMPREPLY=($(compgen -W "table json" -- "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__plan__subcmd__delete)
            opts="-h --dry-run --base --reason --operators --callers --token-file --key-file --timeout --output --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --base)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --reason)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --operators)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --callers)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --token-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --key-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --timeout)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --output)
                    COMPREPLY=($(compgen -W "table json" -- "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__plan__subcmd__diff)
            opts="-h --operators --callers --token-file --key-file --timeout --output --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --operators)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --callers)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --token-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --key-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --timeout)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --output)
                    COMPREPLY=($(compgen -W "table json" -- "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__plan__subcmd__help)
            opts="list show apply delete diff history import help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__plan__subcmd__help__subcmd__apply)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__plan__subcmd__help__subcmd__delete)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__plan__subcmd__help__subcmd__diff)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__plan__subcmd__help__subcmd__help)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__plan__subcmd__help__subcmd__history)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__plan__subcmd__help__subcmd__import)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__plan__subcmd__help__subcmd__list)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__plan__subcmd__help__subcmd__show)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__plan__subcmd__history)
            opts="-h --operators --callers --token-file --key-file --timeout --output --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --operators)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --callers)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --token-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --key-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --timeout)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --output)
                    COMPREPLY=($(compgen -W "table json" -- "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__plan__subcmd__import)
            opts="-h --keep --dry-run --base --reason --operators --callers --token-file --key-file --timeout --output --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --base)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --reason)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --operators)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --callers)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --token-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --key-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --timeout)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --output)
                    COMPREPLY=($(compgen -W "table json" -- "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__plan__subcmd__list)
            opts="-h --operators --callers --token-file --key-file --timeout --output --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --operators)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --callers)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --token-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --key-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --timeout)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --output)
                    COMPREPLY=($(compgen -W "table json" -- "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__plan__subcmd__show)
            opts="-h --operators --callers --token-file --key-file --timeout --output --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --operators)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --callers)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --token-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --key-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --timeout)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --output)
                    COMPREPLY=($(compgen -W "table json" -- "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__program)
            opts="-h --operators --callers --token-file --key-file --timeout --output --help show run settle end help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 2 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --operators)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --callers)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --token-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --key-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --timeout)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --output)
                    COMPREPLY=($(compgen -W "table json" -- "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__program__subcmd__end)
            opts="-h --operators --callers --token-file --key-file --timeout --output --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --operators)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --callers)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --token-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --key-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --timeout)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --output)
                    COMPREPLY=($(compgen -W "table json" -- "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__program__subcmd__help)
            opts="show run settle end help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__program__subcmd__help__subcmd__end)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__program__subcmd__help__subcmd__help)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__program__subcmd__help__subcmd__run)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__program__subcmd__help__subcmd__settle)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__program__subcmd__help__subcmd__show)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__program__subcmd__run)
            opts="-h --program --position --request-id --max-tokens --budget --keep --operators --callers --token-file --key-file --timeout --output --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --program)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --position)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --request-id)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --max-tokens)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --budget)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --operators)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --callers)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --token-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --key-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --timeout)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --output)
                    COMPREPLY=($(compgen -W "table json" -- "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__program__subcmd__settle)
            opts="-h --ran --not-ran --answer --reason --operators --callers --token-file --key-file --timeout --output --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --answer)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --reason)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --operators)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --callers)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --token-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --key-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --timeout)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --output)
                    COMPREPLY=($(compgen -W "table json" -- "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__program__subcmd__show)
            opts="-h --operators --callers --token-file --key-file --timeout --output --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --operators)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --callers)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --token-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --key-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --timeout)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --output)
                    COMPREPLY=($(compgen -W "table json" -- "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__service)
            opts="-h --operators --callers --token-file --key-file --timeout --output --help list show apply delete diff history help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 2 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --operators)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --callers)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --token-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --key-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --timeout)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --output)
                    COMPREPLY=($(compgen -W "table json" -- "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__service__subcmd__apply)
            opts="-h --dry-run --base --reason --operators --callers --token-file --key-file --timeout --output --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --base)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --reason)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --operators)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --callers)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --token-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --key-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --timeout)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --output)
                    COMPREPLY=($(compgen -W "table json" -- "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__service__subcmd__delete)
            opts="-h --dry-run --base --reason --operators --callers --token-file --key-file --timeout --output --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --base)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --reason)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --operators)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --callers)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --token-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --key-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --timeout)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --output)
                    COMPREPLY=($(compgen -W "table json" -- "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__service__subcmd__diff)
            opts="-h --operators --callers --token-file --key-file --timeout --output --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --operators)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --callers)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --token-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --key-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --timeout)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --output)
                    COMPREPLY=($(compgen -W "table json" -- "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__service__subcmd__help)
            opts="list show apply delete diff history help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__service__subcmd__help__subcmd__apply)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__service__subcmd__help__subcmd__delete)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__service__subcmd__help__subcmd__diff)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__service__subcmd__help__subcmd__help)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__service__subcmd__help__subcmd__history)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__service__subcmd__help__subcmd__list)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__service__subcmd__help__subcmd__show)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__service__subcmd__history)
            opts="-h --operators --callers --token-file --key-file --timeout --output --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --operators)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --callers)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --token-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --key-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --timeout)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --output)
                    COMPREPLY=($(compgen -W "table json" -- "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__service__subcmd__list)
            opts="-h --operators --callers --token-file --key-file --timeout --output --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --operators)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --callers)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --token-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --key-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --timeout)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --output)
                    COMPREPLY=($(compgen -W "table json" -- "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__service__subcmd__show)
            opts="-h --operators --callers --token-file --key-file --timeout --output --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --operators)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --callers)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --token-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --key-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --timeout)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --output)
                    COMPREPLY=($(compgen -W "table json" -- "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__upstream)
            opts="-h --operators --callers --token-file --key-file --timeout --output --help list order help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 2 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --operators)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --callers)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --token-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --key-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --timeout)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --output)
                    COMPREPLY=($(compgen -W "table json" -- "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__upstream__subcmd__help)
            opts="list order help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__upstream__subcmd__help__subcmd__help)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__upstream__subcmd__help__subcmd__list)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__upstream__subcmd__help__subcmd__order)
            opts="load unload"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__upstream__subcmd__help__subcmd__order__subcmd__load)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 5 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__upstream__subcmd__help__subcmd__order__subcmd__unload)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 5 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__upstream__subcmd__list)
            opts="-h --operators --callers --token-file --key-file --timeout --output --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --operators)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --callers)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --token-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --key-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --timeout)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --output)
                    COMPREPLY=($(compgen -W "table json" -- "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__upstream__subcmd__order)
            opts="-h --operators --callers --token-file --key-file --timeout --output --help load unload help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 3 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --operators)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --callers)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --token-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --key-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --timeout)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --output)
                    COMPREPLY=($(compgen -W "table json" -- "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__upstream__subcmd__order__subcmd__help)
            opts="load unload help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__upstream__subcmd__order__subcmd__help__subcmd__help)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 5 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__upstream__subcmd__order__subcmd__help__subcmd__load)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 5 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__upstream__subcmd__order__subcmd__help__subcmd__unload)
            opts=""
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 5 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__upstream__subcmd__order__subcmd__load)
            opts="-h --operators --callers --token-file --key-file --timeout --output --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --operators)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --callers)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --token-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --key-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --timeout)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --output)
                    COMPREPLY=($(compgen -W "table json" -- "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
        basilramp__subcmd__upstream__subcmd__order__subcmd__unload)
            opts="-h --operators --callers --token-file --key-file --timeout --output --help"
            if [[ ${cur} == -* || ${COMP_CWORD} -eq 4 ]] ; then
                COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
                return 0
            fi
            case "${prev}" in
                --operators)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --callers)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --token-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --key-file)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --timeout)
                    COMPREPLY=($(compgen -f "${cur}"))
                    return 0
                    ;;
                --output)
                    COMPREPLY=($(compgen -W "table json" -- "${cur}"))
                    return 0
                    ;;
                *)
                    COMPREPLY=()
                    ;;
            esac
            COMPREPLY=( $(compgen -W "${opts}" -- "${cur}") )
            return 0
            ;;
    esac
}

if [[ "${BASH_VERSINFO[0]}" -eq 4 && "${BASH_VERSINFO[1]}" -ge 4 || "${BASH_VERSINFO[0]}" -gt 4 ]]; then
    complete -F _basilramp -o nosort -o bashdefault -o default basilramp
else
    complete -F _basilramp -o bashdefault -o default basilramp
fi
