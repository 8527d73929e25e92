/*
 * fireflyvalve version: the version of the program.
 */

#include "command.h"

/**
 * FvCmd_Version - run the command
 * @command: its entry in the command table
 * @argc: number of arguments
 * @argv: the arguments
 *
 * Return: the exit code.
 */
int
FvCmd_Version(const fv_command_t *command, int argc, char **argv)
{
    struct arg_lit *json = arg_lit0(NULL, "json", "print JSON");
    struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
    struct arg_end *end = arg_end(4);
    void *table[] = {json, help, end};
    int code = FvCommand_Parse(command, argc, argv, table, end);

    if (code == Fv_PARSED && json->count > 0) {
        printf("{\n  \"version\": \"%s\"\n}\n", Fv_VERSION);
    }
    else if (code == Fv_PARSED) {
        printf("fireflyvalve %s\n", Fv_VERSION);
    }
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return code == Fv_PARSED ? Fv_EXIT_OK : code;
}
