/*
 * fireflyvalve submit: submit a job and optionally wait until it ends.
 */

#include "command.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

/* Limit of one long poll; below the timeouts of load balancers on the path. */
#define Fv_SUBMIT_POLL_MAX_MS 20000

typedef struct fv_submit_arguments {
    fv_client_arguments_t common;
    struct arg_str *workload;
    struct arg_str *key;
    struct arg_str *payload;
    struct arg_str *payload_file;
    struct arg_int *deadline_ms;
    struct arg_int *tasks;
    struct arg_int *wait_ms;
    struct arg_lit *raw;
    struct arg_end *end;
} fv_submit_arguments_t;

typedef struct fv_submission {
    fv_client_t *client;
    char key[Fv_KEY_SIZE];
    json_t *body;
    int64_t wait_until_ms;
    bool raw;
    bool as_json;
} fv_submission_t;

static bool
read_file(const char *path, fv_buffer_t *content)
{
    FILE *file = strcmp(path, "-") == 0 ? stdin : fopen(path, "re");
    char chunk[4096];
    size_t count;

    if (file == NULL) {
        fprintf(stderr, "fireflyvalve: %s: %s\n", path, strerror(errno));
        return false;
    }
    while ((count = fread(chunk, 1, sizeof(chunk), file)) > 0 &&
           content->length <= Fv_PAYLOAD_MAX_BYTES) {
        FvBuffer_Append(content, chunk, count);
    }
    if (file != stdin) {
        fclose(file);
    }
    if (content->length > Fv_PAYLOAD_MAX_BYTES) {
        fprintf(stderr, "fireflyvalve: %s: at most %d bytes are allowed\n",
                path, Fv_PAYLOAD_MAX_BYTES);
        return false;
    }
    return true;
}

static bool
set_payload(fv_submission_t *submission,
            const fv_submit_arguments_t *arguments)
{
    fv_buffer_t content = {0};
    char *base64;
    bool ok;

    if (arguments->payload->count > 0) {
        json_object_set_new(submission->body, "payload",
                            json_string(arguments->payload->sval[0]));
        return true;
    }
    if (arguments->payload_file->count == 0) {
        return true;
    }
    ok = read_file(arguments->payload_file->sval[0], &content);
    if (ok) {
        base64 = FvText_EncodeBase64(content.data, content.length);
        json_object_set_new(submission->body, "payload_base64",
                            json_string(base64 != NULL ? base64 : ""));
        free(base64);
    }
    FvBuffer_Clear(&content);
    return ok;
}

static bool
set_integer(fv_submission_t *submission, const char *name,
            const struct arg_int *argument)
{
    if (argument->count == 0) {
        return true;
    }
    if (argument->ival[0] < 0) {
        fprintf(stderr, "fireflyvalve: %s must not be negative\n", name);
        return false;
    }
    json_object_set_new(submission->body, name,
                        json_integer(argument->ival[0]));
    return true;
}

/* A generated key is printed before the submission, so that a retry can use
 * it. */
static bool
set_key(fv_submission_t *submission, const struct arg_str *argument)
{
    if (argument->count == 0) {
        FvText_RandomHex(submission->key, Fv_NONCE_SIZE);
        fprintf(stderr, "key %s\n", submission->key);
        return true;
    }
    if (!FvText_IsName(argument->sval[0], Fv_KEY_SIZE - 1)) {
        fputs("fireflyvalve: --key: 1 to 128 of A-Z a-z 0-9 . _ -\n", stderr);
        return false;
    }
    return FvText_Copy(submission->key, sizeof(submission->key),
                       argument->sval[0]);
}

static bool
build_request(fv_submission_t *submission,
              const fv_submit_arguments_t *arguments)
{
    int wait_ms =
        arguments->wait_ms->count > 0 ? arguments->wait_ms->ival[0] : 0;

    submission->body =
        json_pack("{s:s}", "workload", arguments->workload->sval[0]);
    submission->raw = arguments->raw->count > 0;
    submission->as_json = arguments->common.json->count > 0;
    submission->wait_until_ms = FvClock_NowMs() + wait_ms;
    return set_payload(submission, arguments) &&
           set_integer(submission, "deadline_ms", arguments->deadline_ms) &&
           set_integer(submission, "tasks", arguments->tasks) &&
           set_key(submission, arguments->key);
}

static int64_t
next_wait_ms(const fv_submission_t *submission)
{
    int64_t remaining_ms = submission->wait_until_ms - FvClock_NowMs();

    if (remaining_ms <= 0) {
        return 0;
    }
    return remaining_ms < Fv_SUBMIT_POLL_MAX_MS ? remaining_ms
                                                : Fv_SUBMIT_POLL_MAX_MS;
}

static int
post_job(fv_submission_t *submission, fv_client_reply_t *reply)
{
    int64_t wait_ms = next_wait_ms(submission);
    fv_client_request_t request = {
        .method = "POST",
        .path = submission->raw ? "/v1/jobs?answer=raw" : "/v1/jobs",
        .body = submission->body,
        .key = submission->key,
        .wait_ms = wait_ms};

    json_object_set_new(submission->body, "wait_ms", json_integer(wait_ms));
    return FvClient_Call(submission->client, &request, reply);
}

static int
poll_status(fv_submission_t *submission, fv_client_reply_t *reply)
{
    char path[Fv_URL_SIZE];
    int64_t wait_ms = next_wait_ms(submission);
    fv_client_request_t request = {
        .method = "GET", .path = path, .wait_ms = wait_ms};

    snprintf(path, sizeof(path), "/v1/jobs/%s?wait_ms=%d", submission->key,
             (int)wait_ms);
    return FvClient_Call(submission->client, &request, reply);
}

static int
print_answer(fv_submission_t *submission, fv_client_reply_t *reply)
{
    char path[Fv_URL_SIZE];
    fv_client_request_t request = {.method = "GET", .path = path};
    int code;

    snprintf(path, sizeof(path), "/v1/jobs/%s/answer", submission->key);
    code = FvClient_Call(submission->client, &request, reply);
    if (code == Fv_EXIT_OK) {
        fwrite(reply->body.data, 1, reply->body.length, stdout);
    }
    return code;
}

static int
print_result(fv_submission_t *submission, fv_client_reply_t *reply)
{
    int code = FvJobResult_ExitCode(reply->json);

    if (submission->raw && code == Fv_EXIT_OK) {
        return print_answer(submission, reply);
    }
    if (submission->raw) {
        FvPrint_Document(stderr, reply->json);
    }
    else {
        FvPrint_Reply(reply, submission->as_json);
    }
    return code;
}

static int
submit(fv_submission_t *submission)
{
    fv_client_reply_t reply = {0};
    int code = post_job(submission, &reply);

    /* With answer=raw, the reply is the job's answer if the job is done. */
    if (code == Fv_EXIT_OK && submission->raw &&
        strcmp(reply.outcome, "done") == 0) {
        fwrite(reply.body.data, 1, reply.body.length, stdout);
        goto out;
    }
    while (code == Fv_EXIT_OK && !FvJobResult_IsFinal(reply.json) &&
           next_wait_ms(submission) > 0) {
        code = poll_status(submission, &reply);
    }
    if (code == Fv_EXIT_OK) {
        code = print_result(submission, &reply);
    }
out:
    FvClientReply_Clear(&reply);
    return code;
}

static int
run(const fv_submit_arguments_t *arguments)
{
    fv_submission_t submission = {0};
    int code = Fv_EXIT_USAGE;

    if (arguments->payload->count + arguments->payload_file->count > 1) {
        fputs("fireflyvalve: give --payload or --payload-file, not both\n",
              stderr);
        return Fv_EXIT_USAGE;
    }
    submission.client = FvClient_Open(&arguments->common);
    if (submission.client != NULL && build_request(&submission, arguments)) {
        code = submit(&submission);
    }
    json_decref(submission.body);
    FvClient_Close(submission.client);
    return code;
}

/**
 * FvCmd_Submit - run the command
 * @command: its entry in the command table
 * @argc: number of arguments
 * @argv: the arguments
 *
 * Return: the exit code.
 */
int
FvCmd_Submit(const fv_command_t *command, int argc, char **argv)
{
    fv_submit_arguments_t arguments = {
        .common = FvClient_NewArguments(),
        .workload = arg_str1(NULL, "workload", "NAME",
                             "workload of the member's contract"),
        .key = arg_str0(NULL, "key", "KEY",
                        "names the job; made up when missing"),
        .payload = arg_str0(NULL, "payload", "TEXT", "payload"),
        .payload_file = arg_str0(NULL, "payload-file", "FILE",
                                 "file with the payload; - for stdin"),
        .deadline_ms =
            arg_int0(NULL, "deadline-ms", "N", "must end within this time"),
        .tasks = arg_int0(NULL, "tasks", "N", "tasks of a gang"),
        .wait_ms =
            arg_int0(NULL, "wait-ms", "N", "wait this long for the end (0)"),
        .raw = arg_lit0(NULL, "raw", "print the answer itself"),
        .end = arg_end(8),
    };
    void *table[] = {arguments.workload,    arguments.key,
                     arguments.payload,     arguments.payload_file,
                     arguments.deadline_ms, arguments.tasks,
                     arguments.wait_ms,     arguments.raw,
                     arguments.common.host, arguments.common.token_file,
                     arguments.common.json, arguments.common.help,
                     arguments.end};
    int code = FvCommand_Parse(command, argc, argv, table, arguments.end);

    if (code == Fv_PARSED) {
        code = run(&arguments);
    }
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return code;
}
