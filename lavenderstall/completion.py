"""Generation of shell completion scripts."""

from collections.abc import Mapping, Sequence

from lavenderstall.query.fields import list_field_names
from lavenderstall.query.statements import Topic
from lavenderstall.query.verbs import list_verb_names

SHELLS = ("bash", "zsh")
STATEMENT_COMMANDS = ("query", "watch")
CLAUSES = ("where", "sort", "by", "limit", "because", "and", "or", "not", "in", "asc", "desc")
SUBJECTS = ("worker", "rack", "zone", "slice", "service", "team", "job", "task", "kind", "change")

BASH = """\
_lavenderstall() {{
    local word="${{COMP_WORDS[COMP_CWORD]}}" words=""
    if [ "$COMP_CWORD" -eq 1 ]; then
        words="{first}"
    else
        case "${{COMP_WORDS[1]}}" in
{cases}
            {verbs}) words="{query}" ;;
        esac
    fi
    COMPREPLY=($(compgen -W "$words" -- "$word"))
    case "${{COMP_WORDS[1]}}" in
        check|diff|apply|submit) COMPREPLY+=($(compgen -f -- "$word")) ;;
    esac
}}
complete -F _lavenderstall lavenderstall
"""
ZSH_HEAD = "#compdef lavenderstall\nautoload -U +X bashcompinit && bashcompinit\n"


def list_query_words() -> list[str]:
    """Return topics, clauses, subjects and fields without duplicates."""
    fields = [name for topic in Topic for name in list_field_names(topic)]
    topics = [topic.value for topic in Topic]
    return list(dict.fromkeys([*topics, *CLAUSES, *SUBJECTS, *fields]))


def make_script(shell: str, subcommands: Mapping[str, Sequence[str]]) -> str:
    """Return the completion script for a shell, given the flags of each subcommand."""
    verbs = list_verb_names()
    first = dict.fromkeys([*subcommands, *verbs])
    cases = "\n".join(
        f'            {name}) words="{" ".join(flags)}" ;;'
        for name, flags in subcommands.items()
        if name not in (*verbs, *STATEMENT_COMMANDS)
    )
    script = BASH.format(
        first=" ".join(first),
        cases=cases,
        verbs="|".join([*STATEMENT_COMMANDS, *verbs]),
        query=" ".join(list_query_words()),
    )
    return ZSH_HEAD + script if shell == "zsh" else script
