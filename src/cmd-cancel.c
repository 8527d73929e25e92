/*
 * fireflyvalve cancel: cancel a job.
 */

#include "command.h"

static int
run(const fv_client_arguments_t *common, const char *key)
{
    char path[Fv_URL_SIZE];
    /* Cancelling is idempotent; the key allows the client to retry it. */
    fv_client_request_t request = {.method = "POST", .path = path, .key = key};

    if (!FvClient_CheckJobKey(key)) {
        return Fv_EXIT_USAGE;
    }
    snprintf(path, sizeof(path), "/v1/jobs/%s/cancel", key);
    return FvClient_RunJobRequest(common, &request);
}

/**
 * FvCmd_Cancel - run the command
 * @command: its entry in the command table
 * @argc: number of arguments
 * @argv: the arguments
 *
 * Return: the exit code.
 */
int
FvCmd_Cancel(const fv_command_t *command, int argc, char **argv)
{
    fv_client_arguments_t common = FvClient_NewArguments();
    struct arg_str *key = arg_str1(NULL, NULL, "KEY", "the job's key");
    struct arg_end *end = arg_end(4);
    void *table[] = {key,         common.host, common.token_file,
                     common.json, common.help, end};
    int code = FvCommand_Parse(command, argc, argv, table, end);

    if (code == Fv_PARSED) {
        code = run(&common, key->sval[0]);
    }
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return code;
}
