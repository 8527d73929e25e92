/*
 * fireflyvalve serve: the daemon.
 */

#include "command.h"
#include "daemon.h"

static int
run(const char *path)
{
    fv_settings_t settings;

    if (!FvSettings_Load(path, &settings, stderr)) {
        return Fv_EXIT_USAGE;
    }
    return FvServe_Run(&settings);
}

/**
 * FvCmd_Serve - run the command
 * @command: its entry in the command table
 * @argc: number of arguments
 * @argv: the arguments
 *
 * Return: the exit code.
 */
int
FvCmd_Serve(const fv_command_t *command, int argc, char **argv)
{
    struct arg_str *config = arg_str1(NULL, "config", "FILE", "settings file");
    struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
    struct arg_end *end = arg_end(4);
    void *table[] = {config, help, end};
    int code = FvCommand_Parse(command, argc, argv, table, end);

    if (code == Fv_PARSED) {
        code = run(config->sval[0]);
    }
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return code;
}
