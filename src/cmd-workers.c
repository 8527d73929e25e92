/*
 * fireflyvalve workers: workers held by one host.
 */

#include "command.h"

/**
 * FvCmd_Workers - run the command
 * @command: its entry in the command table
 * @argc: number of arguments
 * @argv: the arguments
 *
 * Return: the exit code.
 */
int
FvCmd_Workers(const fv_command_t *command, int argc, char **argv)
{
    return FvClient_RunGetCommand(command, argc, argv, "/v1/workers");
}
