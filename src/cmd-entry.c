/*
 * "fireflyvalve entry": runs an entry host on the users' platform.
 */

#include "command.h"
#include "entry.h"

#include <stdlib.h>

/* The platform passes the path of the settings file in this variable. */
#define Fv_ENTRY_SETTINGS_VARIABLE "FIREFLYVALVE_NODE_FILE"

/**
 * FvCmd_Entry - run the command
 * @command: its entry in the command table
 * @argc: number of arguments
 * @argv: the arguments
 *
 * Return: the exit code.
 */
int
FvCmd_Entry(const fv_command_t *command, int argc, char **argv)
{
    struct arg_str *config = arg_str0(NULL, "config", "FILE", "settings file");
    struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
    struct arg_end *end = arg_end(4);
    void *table[] = {config, help, end};
    int code = FvCommand_Parse(command, argc, argv, table, end);
    const char *path = getenv(Fv_ENTRY_SETTINGS_VARIABLE);

    if (code == Fv_PARSED) {
        path = config->count > 0 ? config->sval[0] : path;
        if (path == NULL) {
            fprintf(stderr,
                    "fireflyvalve entry: no settings file: give "
                    "--config or set " Fv_ENTRY_SETTINGS_VARIABLE "\n");
            code = Fv_EXIT_USAGE;
        }
        else {
            code = FvEntry_Run(path);
        }
    }
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return code;
}
