/*
 * fireflyvalve proposal: questionnaire answers, proposals and votes.
 */

#include "command.h"

#include <string.h>

static json_t *
read_answers(const char *path)
{
    char reason[Fv_REASON_SIZE] = "";
    const char *suffix = strrchr(path, '.');
    json_error_t error;
    json_t *answers;

    if (suffix != NULL && strcmp(suffix, ".toml") == 0) {
        answers = FvToml_ReadFile(path, reason);
    }
    else {
        answers = json_load_file(path, JSON_REJECT_DUPLICATES, &error);
        if (answers == NULL) {
            snprintf(reason, sizeof(reason), "line %d, column %d: %.80s",
                     error.line, error.column, error.text);
        }
    }
    if (answers == NULL) {
        fprintf(stderr, "fireflyvalve: %s: %s\n", path, reason);
    }
    return answers;
}

static int
run_answer(const fv_command_t *command, int argc, char **argv)
{
    fv_client_arguments_t common = FvClient_NewArguments();
    struct arg_str *file =
        arg_str1(NULL, NULL, "FILE", "answers, as .toml or JSON");
    struct arg_end *end = arg_end(4);
    void *table[] = {file,        common.host, common.token_file,
                     common.json, common.help, end};
    fv_client_request_t request = {.method = "PUT", .path = "/v1/answers"};
    int code = FvCommand_Parse(command, argc, argv, table, end);

    if (code == Fv_PARSED) {
        json_t *answers = read_answers(file->sval[0]);

        request.body = answers;
        code = answers != NULL ? FvClient_RunRequest(&common, &request)
                               : Fv_EXIT_USAGE;
        json_decref(answers);
    }
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return code;
}

static int
run_generate(const fv_command_t *command, int argc, char **argv)
{
    fv_client_arguments_t common = FvClient_NewArguments();
    struct arg_end *end = arg_end(4);
    void *table[] = {common.host, common.token_file, common.json, common.help,
                     end};
    fv_client_request_t request = {.method = "POST", .path = "/v1/proposals"};
    int code = FvCommand_Parse(command, argc, argv, table, end);

    if (code == Fv_PARSED) {
        code = FvClient_RunRequest(&common, &request);
    }
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return code;
}

static int
run_list(const fv_command_t *command, int argc, char **argv)
{
    return FvClient_RunGetCommand(command, argc, argv, "/v1/proposals");
}

static int
check_id(const char *id)
{
    if (!FvText_IsName(id, Fv_KEY_SIZE - 1)) {
        fputs("fireflyvalve: ID: 1 to 128 of A-Z a-z 0-9 . _ -\n", stderr);
        return Fv_EXIT_USAGE;
    }
    return Fv_PARSED;
}

static int
run_view(const fv_command_t *command, int argc, char **argv,
         const char *suffix)
{
    fv_client_arguments_t common = FvClient_NewArguments();
    struct arg_str *id = arg_str1(NULL, NULL, "ID", "the proposal");
    struct arg_end *end = arg_end(4);
    void *table[] = {id,          common.host, common.token_file,
                     common.json, common.help, end};
    char path[Fv_URL_SIZE];
    fv_client_request_t request = {.method = "GET", .path = path};
    int code = FvCommand_Parse(command, argc, argv, table, end);

    if (code == Fv_PARSED) {
        code = check_id(id->sval[0]);
    }
    if (code == Fv_PARSED) {
        snprintf(path, sizeof(path), "/v1/proposals/%s%s", id->sval[0],
                 suffix);
        code = FvClient_RunRequest(&common, &request);
    }
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return code;
}

static int
run_show(const fv_command_t *command, int argc, char **argv)
{
    return run_view(command, argc, argv, "");
}

static int
run_diff(const fv_command_t *command, int argc, char **argv)
{
    return run_view(command, argc, argv, "/diff");
}

/* The digest is required so that a vote applies to exactly the reviewed
 * content. */
static int
run_vote(const fv_command_t *command, int argc, char **argv, const char *vote)
{
    fv_client_arguments_t common = FvClient_NewArguments();
    struct arg_str *id = arg_str1(NULL, NULL, "ID", "the proposal");
    struct arg_str *digest =
        arg_str1(NULL, "digest", "DIGEST", "digest that the review showed");
    struct arg_end *end = arg_end(4);
    void *table[] = {id,          digest,      common.host, common.token_file,
                     common.json, common.help, end};
    char path[Fv_URL_SIZE];
    fv_client_request_t request = {.method = "POST", .path = path};
    int code = FvCommand_Parse(command, argc, argv, table, end);

    if (code == Fv_PARSED) {
        code = check_id(id->sval[0]);
    }
    if (code == Fv_PARSED) {
        json_t *body = json_pack("{s:s}", "digest", digest->sval[0]);

        snprintf(path, sizeof(path), "/v1/proposals/%s/%s", id->sval[0], vote);
        request.body = body;
        request.key = id->sval[0]; /* votes are idempotent: allows retries */
        code = FvClient_RunRequest(&common, &request);
        json_decref(body);
    }
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return code;
}

static int
run_approve(const fv_command_t *command, int argc, char **argv)
{
    return run_vote(command, argc, argv, "approve");
}

static int
run_reject(const fv_command_t *command, int argc, char **argv)
{
    return run_vote(command, argc, argv, "reject");
}

static const fv_command_t subcommands[] = {
    {"proposal answer", "Saves the member's questionnaire answers",
     "FILE [options]", run_answer},
    {"proposal generate", "Generates a proposal from all answers", "[options]",
     run_generate},
    {"proposal list", "Lists proposals and their votes", "[options]",
     run_list},
    {"proposal show", "Shows a proposal", "ID [options]", run_show},
    {"proposal diff", "Shows contracts before and after", "ID [options]",
     run_diff},
    {"proposal approve", "Approves a proposal", "ID --digest DIGEST [options]",
     run_approve},
    {"proposal reject", "Rejects a proposal", "ID --digest DIGEST [options]",
     run_reject},
    {.name = NULL},
};

/**
 * FvCmd_Proposal - run the command
 * @command: its entry in the command table
 * @argc: number of arguments
 * @argv: the arguments
 *
 * Return: the exit code.
 */
int
FvCmd_Proposal(const fv_command_t *command, int argc, char **argv)
{
    return FvCommand_RunSubcommand(command, subcommands, argc, argv);
}
