#include "bulrush_cli/commandline/Usage.h"
#include "bulrush_cli/commands/Command.h"

#include <span>

namespace bulrush {

namespace {

constexpr std::string_view bashScript = R"(_bulrushrill() {
    local word="${COMP_WORDS[COMP_CWORD]}" previous="${COMP_WORDS[COMP_CWORD-1]}"
    local kinds="service job watcher quota targets policy cancellation"
    case "$previous" in
        get|list|history) COMPREPLY=($(compgen -W "$kinds" -- "$word")); return ;;
        explain) COMPREPLY=($(compgen -W "job task request" -- "$word")); return ;;
        completion) COMPREPLY=($(compgen -W "bash zsh" -- "$word")); return ;;
        --output) COMPREPLY=($(compgen -W "table json" -- "$word")); return ;;
    esac
    COMPREPLY=($(compgen -W "@WORDS@" -- "$word") $(compgen -f -- "$word"))
}
complete -o filenames -F _bulrushrill bulrushrill
)";

constexpr std::string_view zshScript = R"(#compdef bulrushrill
_bulrushrill() {
    local previous="${words[CURRENT-1]}"
    case "$previous" in
        get|list|history) compadd service job watcher quota targets policy cancellation; return ;;
        explain) compadd job task request; return ;;
        completion) compadd bash zsh; return ;;
        --output) compadd table json; return ;;
    esac
    compadd -- @WORDS@
    _files
}
compdef _bulrushrill bulrushrill
)";

std::string completionWords()
{
    std::string words;
    for (const std::span<const std::string_view> names : { commandNames(), optionNames() }) {
        for (const std::string_view name : names) {
            words += (words.empty() ? "" : " ") + std::string(name);
        }
    }
    return words;
}

} // namespace

ExitStatus runCompletion(const CommandContext &context)
{
    constexpr std::string_view placeholder = "@WORDS@";
    std::string script(context.line.topic == "bash" ? bashScript : zshScript);
    script.replace(script.find(placeholder), placeholder.size(), completionWords());
    context.cli.out << script;
    return ExitStatus::Done;
}

} // namespace bulrush
