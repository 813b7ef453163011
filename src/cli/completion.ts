/** Implements `completion bash`: generates a script from the commands and options of the program. */
import type * as Commander from "commander";

function getWords(command: Commander.Command): readonly string[] {
  return [
    ...command.commands.map((subcommand) => subcommand.name()),
    ...command.options.flatMap((option) => option.long ?? []),
  ];
}

function getCompletionEntries(
  command: Commander.Command,
  path: readonly string[],
): readonly (readonly [string, readonly string[]])[] {
  const entry = [path.join(" "), getWords(command)] as const;
  const subcommandEntries = command.commands.flatMap((subcommand) =>
    getCompletionEntries(subcommand, [...path, subcommand.name()])
  );
  return [entry, ...subcommandEntries];
}

/** Returns the completion script, which a user loads with `source <(anvilroutectl completion bash)`. */
export function formatBashCompletion(program: Commander.Command): string {
  const globalOptions = program.options.flatMap((option) => option.long ?? [])
    .join(" ");
  const cases = getCompletionEntries(program, []).map(([path, words]) =>
    `    "${path}") words="${words.join(" ")}" ;;`
  );
  const pathWords = getCompletionEntries(program, []).flatMap(([path]) =>
    path.split(" ")
  );
  const commandNames = [...new Set(pathWords)].filter((name) => name !== "")
    .join("|");
  return `_anvilroutectl() {
  local path="" word words=""
  for word in "\${COMP_WORDS[@]:1:COMP_CWORD-1}"; do
    case "$word" in
      ${commandNames}) path="\${path:+$path }$word" ;;
    esac
  done
  case "$path" in
${cases.join("\n")}
  esac
  COMPREPLY=($(compgen -W "$words ${globalOptions}" -- "\${COMP_WORDS[COMP_CWORD]}"))
  [ \${#COMPREPLY[@]} -gt 0 ] || COMPREPLY=($(compgen -f -- "\${COMP_WORDS[COMP_CWORD]}"))
}
complete -F _anvilroutectl anvilroutectl
`;
}
