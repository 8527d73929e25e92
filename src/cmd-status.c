/*
 * fireflyvalve status: the state of a job, or its answer.
 */

#include "command.h"

#include <string.h>

/* The server's limit for one long poll. */
#define Fv_STATUS_WAIT_MAX_MS 60000

static bool
check_arguments(const char *key, int wait_ms)
{
    if (!FvClient_CheckJobKey(key)) {
        return false;
    }
    if (wait_ms < 0 || wait_ms > Fv_STATUS_WAIT_MAX_MS) {
        fputs("fireflyvalve: --wait-ms: 0 to 60000\n", stderr);
        return false;
    }
    return true;
}

/* Writes the answer unchanged, since it may be binary. */
static int
fetch_answer(const fv_client_arguments_t *common,
             const fv_client_request_t *request)
{
    fv_client_t *client = FvClient_Open(common);
    fv_client_reply_t reply = {0};
    int code;

    if (client == NULL) {
        return Fv_EXIT_USAGE;
    }
    code = FvClient_Call(client, request, &reply);
    if (code == Fv_EXIT_OK) {
        fwrite(reply.body.data, 1, reply.body.length, stdout);
    }
    FvClientReply_Clear(&reply);
    FvClient_Close(client);
    return code;
}

static int
run(const fv_client_arguments_t *common, const char *key, int wait_ms,
    bool answer)
{
    char path[Fv_URL_SIZE];
    fv_client_request_t request = {
        .method = "GET", .path = path, .wait_ms = wait_ms};

    if (!check_arguments(key, wait_ms)) {
        return Fv_EXIT_USAGE;
    }
    snprintf(path, sizeof(path), "/v1/jobs/%s%s?wait_ms=%d", key,
             answer ? "/answer" : "", wait_ms);
    return answer ? fetch_answer(common, &request)
                  : FvClient_RunJobRequest(common, &request);
}

/**
 * FvCmd_Status - run the command
 * @command: its entry in the command table
 * @argc: number of arguments
 * @argv: the arguments
 *
 * Return: the exit code.
 */
int
FvCmd_Status(const fv_command_t *command, int argc, char **argv)
{
    fv_client_arguments_t common = FvClient_NewArguments();
    struct arg_str *key = arg_str1(NULL, NULL, "KEY", "the job's key");
    struct arg_int *wait_ms =
        arg_int0(NULL, "wait-ms", "N", "wait this long for the end (0)");
    struct arg_lit *answer =
        arg_lit0(NULL, "answer", "print the answer itself");
    struct arg_end *end = arg_end(6);
    void *table[] = {
        key,         wait_ms,     answer, common.host, common.token_file,
        common.json, common.help, end};
    int code = FvCommand_Parse(command, argc, argv, table, end);

    if (code == Fv_PARSED) {
        code =
            run(&common, key->sval[0],
                wait_ms->count > 0 ? wait_ms->ival[0] : 0, answer->count > 0);
    }
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return code;
}
