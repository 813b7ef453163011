/** `completion bash`: a script made from the program's own commands and options. */
import type * as Commander from "commander";

function getWords(command: Commander.Command): readonly string[] {
  return [
    ...command.commands.map((one) => one.name()),
    ...command.options.flatMap((one) => one.long ?? []),
  ];
}

function getPaths(
  command: Commander.Command,
  path: readonly string[],
): readonly (readonly [string, readonly string[]])[] {
  const own = [path.join(" "), getWords(command)] as const;
  const below = command.commands.flatMap((one) =>
    getPaths(one, [...path, one.name()])
  );
  return [own, ...below];
}

/** The script; use it with `source <(anvilroutectl completion bash)`. */
export function formatBashCompletion(program: Commander.Command): string {
  const globals = program.options.flatMap((one) => one.long ?? []).join(" ");
  const cases = getPaths(program, []).map(([path, words]) =>
    `    "${path}") words="${words.join(" ")}" ;;`
  );
  const names = getPaths(program, []).flatMap(([path]) => path.split(" "));
  const commands = [...new Set(names)].filter((name) => name !== "").join("|");
  return `_anvilroutectl() {
  local path="" word words=""
  for word in "\${COMP_WORDS[@]:1:COMP_CWORD-1}"; do
    case "$word" in
      ${commands}) path="\${path:+$path }$word" ;;
    esac
  done
  case "$path" in
${cases.join("\n")}
  esac
  COMPREPLY=($(compgen -W "$words ${globals}" -- "\${COMP_WORDS[COMP_CWORD]}"))
  [ \${#COMPREPLY[@]} -gt 0 ] || COMPREPLY=($(compgen -f -- "\${COMP_WORDS[COMP_CWORD]}"))
}
complete -F _anvilroutectl anvilroutectl
`;
}
