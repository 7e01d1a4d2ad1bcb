package org.cranberrybend.ctl.command;

import java.util.Arrays;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.cranberrybend.core.configuration.EntityKind;

/** Prints a completion function for bash. */
final class CompletionCommand {
    private CompletionCommand() {}

    static void run(CommandContext context) {
        String commands = String.join(" ", new TreeSet<>(CommandTable.entries().keySet()));
        String kinds =
                Arrays.stream(EntityKind.values()).map(EntityKind::wireName).collect(Collectors.joining(" "));
        context.out()
                .println("_cranberrybendctl() {\n"
                        + "    local current=${COMP_WORDS[COMP_CWORD]} previous=${COMP_WORDS[COMP_CWORD-1]}\n"
                        + "    case \"$previous\" in\n"
                        + "        list|get|set|delete) COMPREPLY=($(compgen -W \"" + kinds + "\" -- \"$current\"));;\n"
                        + "        key) COMPREPLY=($(compgen -W \"issue list revoke rotate\" -- \"$current\"));;\n"
                        + "        --output) COMPREPLY=($(compgen -W \"table json\" -- \"$current\"));;\n"
                        + "        *) COMPREPLY=($(compgen -W \"" + commands + "\" -- \"$current\"));;\n"
                        + "    esac\n"
                        + "}\n"
                        + "complete -o default -F _cranberrybendctl cranberrybendctl");
    }
}
