/*
 * fireflyvalve usage: resource-seconds of the member.
 */

#include "command.h"

/**
 * FvCmd_Usage - run the command
 * @command: its entry in the command table
 * @argc: number of arguments
 * @argv: the arguments
 *
 * Return: the exit code.
 */
int
FvCmd_Usage(const fv_command_t *command, int argc, char **argv)
{
    return FvClient_RunGetCommand(command, argc, argv, "/v1/usage");
}
