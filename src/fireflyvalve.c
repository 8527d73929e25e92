/*
 * Entry point: finds the command in the command table and runs it.
 */

#include "command.h"

#include <signal.h>
#include <string.h>

static const fv_command_t commands[] = {
    {"serve", "Runs the daemon of an entry host", "--config FILE",
     FvCmd_Serve},
    {"entry", "Runs an entry host on the users' platform", "[--config FILE]",
     FvCmd_Entry},
    {"submit", "Submits a job", "--workload NAME [options]", FvCmd_Submit},
    {"status", "Shows a job or its answer", "KEY [options]", FvCmd_Status},
    {"cancel", "Cancels a job", "KEY [options]", FvCmd_Cancel},
    {"hosts", "Lists entry hosts as one host sees them", "[options]",
     FvCmd_Hosts},
    {"workers", "Lists workers held by one host", "[options]", FvCmd_Workers},
    {"shares", "Shows the dominant share by member", "[options]",
     FvCmd_Shares},
    {"usage", "Shows the member's resource-seconds", "[options]", FvCmd_Usage},
    {"proposal", "Answers, proposals and votes",
     "answer|generate|list|show|diff|approve|reject [arguments]",
     FvCmd_Proposal},
    {"config", "Shows the active configuration", "show|status [options]",
     FvCmd_Config},
    {"check-config", "Checks a settings file", "FILE | --list",
     FvCmd_CheckConfig},
    {"version", "Prints the version", "[--json]", FvCmd_Version},
};

#define Fv_COMMAND_COUNT (sizeof(commands) / sizeof(commands[0]))

static void
print_commands(FILE *out)
{
    fputs("usage: fireflyvalve COMMAND [arguments]\n\n", out);
    for (size_t i = 0; i < Fv_COMMAND_COUNT; i++) {
        fprintf(out, "  %-14s %s\n", commands[i].name, commands[i].summary);
    }
    fputs("\nfireflyvalve COMMAND --help explains a command.\n", out);
}

int
main(int argc, char **argv)
{
    signal(SIGPIPE, SIG_IGN);
    if (argc < 2 || strcmp(argv[1], "--help") == 0) {
        print_commands(stdout);
        return Fv_EXIT_OK;
    }
    for (size_t i = 0; i < Fv_COMMAND_COUNT; i++) {
        if (strcmp(argv[1], commands[i].name) == 0) {
            return commands[i].run(&commands[i], argc - 1, argv + 1);
        }
    }
    fprintf(stderr, "fireflyvalve: unknown command %s\n\n", argv[1]);
    print_commands(stderr);
    return Fv_EXIT_USAGE;
}
