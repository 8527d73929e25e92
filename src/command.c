/*
 * Parsing and help, the same for all commands.
 */

#include "command.h"

#include <string.h>

/**
 * FvCommand_PrintHelp - print usage and options of a command
 * @command: the command
 * @arguments: its argtable
 */
void
FvCommand_PrintHelp(const fv_command_t *command, void **arguments)
{
    printf("usage: fireflyvalve %s %s\n%s.\n\n", command->name, command->usage,
           command->summary);
    arg_print_glossary(stdout, arguments, "  %-24s %s\n");
}

static bool
wants_help(int argc, char **argv)
{
    for (int i = 1; i < argc && strcmp(argv[i], "--") != 0; i++) {
        if (strcmp(argv[i], "--help") == 0) {
            return true;
        }
    }
    return false;
}

/**
 * FvCommand_Parse - parse the arguments of a command
 * @command: the command
 * @argc: number of arguments, with the command's name
 * @argv: the arguments
 * @arguments: the argtable, ended by @end
 * @end: receives the errors
 *
 * --help is honoured even when required arguments are missing.
 *
 * Return: Fv_PARSED when the command is to run, else the exit code.
 */
int
FvCommand_Parse(const fv_command_t *command, int argc, char **argv,
                void **arguments, struct arg_end *end)
{
    if (arg_nullcheck(arguments) != 0) {
        fputs("fireflyvalve: out of memory\n", stderr);
        return Fv_EXIT_FAILED;
    }
    if (wants_help(argc, argv)) {
        FvCommand_PrintHelp(command, arguments);
        return Fv_EXIT_OK;
    }
    if (arg_parse(argc, argv, arguments) > 0) {
        arg_print_errors(stderr, end, command->name);
        fprintf(stderr, "usage: fireflyvalve %s %s\n", command->name,
                command->usage);
        return Fv_EXIT_USAGE;
    }
    return Fv_PARSED;
}

static void
print_subcommands(FILE *out, const fv_command_t *command,
                  const fv_command_t *table)
{
    fprintf(out, "usage: fireflyvalve %s %s\n%s.\n\n", command->name,
            command->usage, command->summary);
    for (; table->name != NULL; table++) {
        fprintf(out, "  %-18s %s\n", table->name, table->summary);
    }
}

/**
 * FvCommand_RunSubcommand - run one of a command's subcommands
 * @command: the command
 * @table: its subcommands, ended by an entry without a name; their names
 *         start with the name of the command, as in "config show"
 * @argc: number of arguments, with the command's name
 * @argv: the arguments
 *
 * Return: the exit code.
 */
int
FvCommand_RunSubcommand(const fv_command_t *command, const fv_command_t *table,
                        int argc, char **argv)
{
    size_t prefix = strlen(command->name) + 1;

    if (argc > 1 && strcmp(argv[1], "--help") == 0) {
        print_subcommands(stdout, command, table);
        return Fv_EXIT_OK;
    }
    for (const fv_command_t *sub = table; argc > 1 && sub->name != NULL;
         sub++) {
        if (strcmp(sub->name + prefix, argv[1]) == 0) {
            return sub->run(sub, argc - 1, argv + 1);
        }
    }
    print_subcommands(stderr, command, table);
    return Fv_EXIT_USAGE;
}
