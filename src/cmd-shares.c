/*
 * fireflyvalve shares: dominant share by member.
 */

#include "command.h"

/**
 * FvCmd_Shares - run the command
 * @command: its entry in the command table
 * @argc: number of arguments
 * @argv: the arguments
 *
 * Return: the exit code.
 */
int
FvCmd_Shares(const fv_command_t *command, int argc, char **argv)
{
    return FvClient_RunGetCommand(command, argc, argv, "/v1/shares");
}
