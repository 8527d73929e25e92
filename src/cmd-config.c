/*
 * fireflyvalve config: the active configuration.
 */

#include "command.h"

static int
run_show(const fv_command_t *command, int argc, char **argv)
{
    return FvClient_RunGetCommand(command, argc, argv, "/v1/config");
}

static int
run_status(const fv_command_t *command, int argc, char **argv)
{
    return FvClient_RunGetCommand(command, argc, argv, "/v1/config/status");
}

static const fv_command_t subcommands[] = {
    {"config show", "Shows the active configuration", "[options]", run_show},
    {"config status", "Shows the version in force on each host", "[options]",
     run_status},
    {.name = NULL},
};

/**
 * FvCmd_Config - run the command
 * @command: its entry in the command table
 * @argc: number of arguments
 * @argv: the arguments
 *
 * Return: the exit code.
 */
int
FvCmd_Config(const fv_command_t *command, int argc, char **argv)
{
    return FvCommand_RunSubcommand(command, subcommands, argc, argv);
}
