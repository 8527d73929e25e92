/*
 * Declarations for the command line: the command table, the client that calls
 * an entry host, and output.
 */

#ifndef COMMAND_H
#define COMMAND_H

#include "fireflyvalve.h"

#include <argtable2.h>

/* Exit codes of every command; docs/operating.md explains them. */
typedef enum fv_exit {
    Fv_EXIT_OK,
    Fv_EXIT_FAILED, /* the job failed, or the command itself did */
    Fv_EXIT_USAGE,  /* wrong arguments or settings */
    Fv_EXIT_NOT_RUN,
    Fv_EXIT_UNKNOWN,
    Fv_EXIT_CANCELLED,
    Fv_EXIT_REFUSED,     /* by the server, with a 4xx status */
    Fv_EXIT_UNREACHABLE, /* no host replied, or none could serve */
    Fv_EXIT_PENDING      /* the job has not ended yet */
} fv_exit_t;

typedef struct fv_command fv_command_t;

struct fv_command {
    const char *name;
    const char *summary;
    const char *usage; /* arguments, as shown after the name */
    int (*run)(const fv_command_t *command, int argc, char **argv);
};

/* command.c: parsing and help, the same for all commands. */
#define Fv_PARSED (-1) /* no exit code: the command is to run */

int FvCommand_Parse(const fv_command_t *command, int argc, char **argv,
                    void **arguments, struct arg_end *end);
void FvCommand_PrintHelp(const fv_command_t *command, void **arguments);
int FvCommand_RunSubcommand(const fv_command_t *command,
                            const fv_command_t *table, int argc, char **argv);

/* client.c: calls to an entry host. */
typedef struct fv_client fv_client_t;

typedef struct fv_client_request {
    const char *method;
    const char *path;
    const json_t *body; /* NULL: none */
    const char *key;    /* Idempotency-Key; NULL: none */
    int64_t wait_ms;    /* long-poll time, added to the timeout */
} fv_client_request_t;

typedef struct fv_client_reply {
    long status;
    char outcome[16]; /* Fireflyvalve-Outcome header */
    fv_buffer_t body;
    json_t *json; /* the parsed body, or NULL if it is not JSON */
} fv_client_reply_t;

/* The arguments shared by all client commands. */
typedef struct fv_client_arguments {
    struct arg_str *host;
    struct arg_str *token_file;
    struct arg_lit *json;
    struct arg_lit *help;
} fv_client_arguments_t;

fv_client_arguments_t FvClient_NewArguments(void);
fv_client_t *FvClient_Open(const fv_client_arguments_t *arguments);
void FvClient_Close(fv_client_t *client);
int FvClient_Call(fv_client_t *client, const fv_client_request_t *request,
                  fv_client_reply_t *reply);
void FvClientReply_Clear(fv_client_reply_t *reply);
int FvClient_RunGetCommand(const fv_command_t *command, int argc, char **argv,
                           const char *path);
int FvClient_RunRequest(const fv_client_arguments_t *arguments,
                        const fv_client_request_t *request);
int FvClient_RunJobRequest(const fv_client_arguments_t *arguments,
                           const fv_client_request_t *request);
bool FvClient_CheckJobKey(const char *key);

/* print.c: JSON documents as readable text. */
void FvPrint_Document(FILE *out, const json_t *document);
void FvPrint_Json(FILE *out, const json_t *document);
void FvPrint_Reply(const fv_client_reply_t *reply, bool as_json);

/* cmd-*.c */
int FvCmd_Serve(const fv_command_t *command, int argc, char **argv);
int FvCmd_Entry(const fv_command_t *command, int argc, char **argv);
int FvCmd_Submit(const fv_command_t *command, int argc, char **argv);
int FvCmd_Status(const fv_command_t *command, int argc, char **argv);
int FvCmd_Cancel(const fv_command_t *command, int argc, char **argv);
int FvCmd_Hosts(const fv_command_t *command, int argc, char **argv);
int FvCmd_Workers(const fv_command_t *command, int argc, char **argv);
int FvCmd_Shares(const fv_command_t *command, int argc, char **argv);
int FvCmd_Usage(const fv_command_t *command, int argc, char **argv);
int FvCmd_Proposal(const fv_command_t *command, int argc, char **argv);
int FvCmd_Config(const fv_command_t *command, int argc, char **argv);
int FvCmd_CheckConfig(const fv_command_t *command, int argc, char **argv);
int FvCmd_Version(const fv_command_t *command, int argc, char **argv);

/* job-result.c: exit code and output for a job document. */
int FvJobResult_ExitCode(const json_t *job);
bool FvJobResult_IsFinal(const json_t *job);

#endif
