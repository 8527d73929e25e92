/*
 * fireflyvalve check-config: check a settings file, or list the settings.
 */

#include "command.h"

static int
run(const struct arg_str *file, bool list)
{
    fv_settings_t settings;

    if (list) {
        FvSettings_PrintTable(stdout);
        return Fv_EXIT_OK;
    }
    if (file->count == 0) {
        fputs("fireflyvalve: FILE or --list is required\n", stderr);
        return Fv_EXIT_USAGE;
    }
    if (!FvSettings_Load(file->sval[0], &settings, stderr)) {
        return Fv_EXIT_USAGE;
    }
    printf("%s: ok\n", file->sval[0]);
    return Fv_EXIT_OK;
}

/**
 * FvCmd_CheckConfig - run the command
 * @command: its entry in the command table
 * @argc: number of arguments
 * @argv: the arguments
 *
 * Return: the exit code.
 */
int
FvCmd_CheckConfig(const fv_command_t *command, int argc, char **argv)
{
    struct arg_str *file = arg_str0(NULL, NULL, "FILE", "settings file");
    struct arg_lit *list = arg_lit0(NULL, "list", "list all settings");
    struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
    struct arg_end *end = arg_end(4);
    void *table[] = {file, list, help, end};
    int code = FvCommand_Parse(command, argc, argv, table, end);

    if (code == Fv_PARSED) {
        code = run(file, list->count > 0);
    }
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return code;
}
