/*
 * HTTP client for the commands. Tries the given entry hosts in turn; a retry
 * carries the same Idempotency-Key, so a job is not submitted twice.
 */

#include "command.h"

#include <ctype.h>
#include <curl/curl.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define Fv_CLIENT_HOSTS_MAX 32
#define Fv_CLIENT_TOKEN_SIZE 1024
#define Fv_CLIENT_CONNECT_TIMEOUT_MS 3000
#define Fv_CLIENT_REPLY_TIMEOUT_MS 15000
#define Fv_CLIENT_REPLY_MAX_BYTES (Fv_ANSWER_MAX_BYTES + 1024 * 1024)

struct fv_client {
    CURL *curl;
    char hosts[Fv_CLIENT_HOSTS_MAX][Fv_URL_SIZE];
    int host_count;
    int current_host; /* index of the host to call first */
    char token[Fv_CLIENT_TOKEN_SIZE];
};

/**
 * FvClient_NewArguments - create the arguments shared by all client commands
 *
 * Return: new argtable entries.
 */
fv_client_arguments_t
FvClient_NewArguments(void)
{
    return (fv_client_arguments_t){
        .host = arg_str0(NULL, "host", "URL[,URL...]",
                         "entry hosts (FIREFLYVALVE_URL)"),
        .token_file = arg_str0(NULL, "token-file", "FILE",
                               "member's token (FIREFLYVALVE_TOKEN_FILE)"),
        .json = arg_lit0(NULL, "json", "print the JSON reply"),
        .help = arg_lit0(NULL, "help", "print this help"),
    };
}

static const char *
argument_or_environment(const struct arg_str *argument, const char *variable)
{
    return argument->count > 0 ? argument->sval[0] : getenv(variable);
}

static bool
read_hosts(fv_client_t *client, const char *list)
{
    while (list != NULL && *list != '\0') {
        size_t length = strcspn(list, ",");
        size_t trimmed = length;

        while (trimmed > 0 && list[trimmed - 1] == '/') {
            trimmed--;
        }
        if (trimmed >= Fv_URL_SIZE ||
            client->host_count == Fv_CLIENT_HOSTS_MAX) {
            fputs("fireflyvalve: too many or too long URLs\n", stderr);
            return false;
        }
        if (trimmed > 0) {
            memcpy(client->hosts[client->host_count++], list, trimmed);
        }
        list += length + (list[length] == ',');
    }
    if (client->host_count == 0) {
        fputs("fireflyvalve: give --host or set FIREFLYVALVE_URL\n", stderr);
    }
    return client->host_count > 0;
}

static bool
read_token(fv_client_t *client, const char *path)
{
    FILE *file;
    size_t length;

    if (path == NULL) {
        fputs("fireflyvalve: give --token-file or set "
              "FIREFLYVALVE_TOKEN_FILE\n",
              stderr);
        return false;
    }
    file = fopen(path, "re");
    if (file == NULL) {
        fprintf(stderr, "fireflyvalve: %s: %s\n", path, strerror(errno));
        return false;
    }
    length = fread(client->token, 1, sizeof(client->token) - 1, file);
    fclose(file);
    while (length > 0 && isspace((unsigned char)client->token[length - 1])) {
        length--;
    }
    client->token[length] = '\0';
    if (length == 0 || strpbrk(client->token, "\r\n") != NULL) {
        fprintf(stderr,
                "fireflyvalve: %s: must contain a token on a single line\n",
                path);
        return false;
    }
    return true;
}

/**
 * FvClient_Open - create a client from arguments and environment variables
 * @arguments: parsed arguments
 *
 * Return: the client, or NULL after a message on standard error.
 */
fv_client_t *
FvClient_Open(const fv_client_arguments_t *arguments)
{
    fv_client_t *client = calloc(1, sizeof(*client));

    if (client == NULL) {
        return NULL;
    }
    curl_global_init(CURL_GLOBAL_DEFAULT);
    client->curl = curl_easy_init();
    if (client->curl == NULL ||
        !read_hosts(client, argument_or_environment(arguments->host,
                                                    "FIREFLYVALVE_URL")) ||
        !read_token(client,
                    argument_or_environment(arguments->token_file,
                                            "FIREFLYVALVE_TOKEN_FILE"))) {
        FvClient_Close(client);
        return NULL;
    }
    return client;
}

/**
 * FvClient_Close - release a client
 * @client: the client, or NULL
 */
void
FvClient_Close(fv_client_t *client)
{
    if (client == NULL) {
        return;
    }
    curl_easy_cleanup(client->curl);
    curl_global_cleanup();
    explicit_bzero(client->token, sizeof(client->token));
    free(client);
}

static size_t
receive_body(char *data, size_t size, size_t count, void *context)
{
    fv_client_reply_t *reply = context;
    size_t length = size * count;

    if (reply->body.length + length > Fv_CLIENT_REPLY_MAX_BYTES ||
        !FvBuffer_Append(&reply->body, data, length)) {
        return 0;
    }
    return length;
}

static size_t
receive_header(char *data, size_t size, size_t count, void *context)
{
    static const char name[] = "Fireflyvalve-Outcome:";
    fv_client_reply_t *reply = context;
    size_t length = size * count;
    size_t start = strlen(name);

    if (length > start && strncasecmp(data, name, start) == 0) {
        while (start < length && data[start] == ' ') {
            start++;
        }
        snprintf(reply->outcome, sizeof(reply->outcome), "%.*s",
                 (int)strcspn(data + start, "\r\n"), data + start);
    }
    return length;
}

static struct curl_slist *
make_headers(const fv_client_t *client, const fv_client_request_t *request)
{
    char line[Fv_CLIENT_TOKEN_SIZE + 64];
    struct curl_slist *headers = NULL;

    snprintf(line, sizeof(line), "Authorization: Bearer %s", client->token);
    headers = curl_slist_append(headers, line);
    explicit_bzero(line, sizeof(line));
    headers = curl_slist_append(headers, "Content-Type: application/json");
    /* Without this, curl waits for 100 Continue before larger bodies. */
    headers = curl_slist_append(headers, "Expect:");
    if (request->key != NULL) {
        snprintf(line, sizeof(line), "Idempotency-Key: %s", request->key);
        headers = curl_slist_append(headers, line);
    }
    return headers;
}

static CURLcode
perform_request(fv_client_t *client, const fv_client_request_t *request,
                const char *body, fv_client_reply_t *reply)
{
    char url[Fv_URL_SIZE * 2];
    struct curl_slist *headers = make_headers(client, request);
    CURL *curl = client->curl;
    CURLcode code;

    snprintf(url, sizeof(url), "%s%s", client->hosts[client->current_host],
             request->path);
    curl_easy_reset(curl);
    curl_easy_setopt(curl, CURLOPT_URL, url);
    curl_easy_setopt(curl, CURLOPT_PROTOCOLS_STR, "http,https");
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS,
                     (long)Fv_CLIENT_CONNECT_TIMEOUT_MS);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS,
                     (long)(request->wait_ms + Fv_CLIENT_REPLY_TIMEOUT_MS));
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, receive_body);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, reply);
    curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, receive_header);
    curl_easy_setopt(curl, CURLOPT_HEADERDATA, reply);
    if (body != NULL || strcmp(request->method, "GET") != 0) {
        curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body ? body : "");
    }
    curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, request->method);
    code = curl_easy_perform(curl);
    curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &reply->status);
    curl_slist_free_all(headers);
    return code;
}

/* A request that the host may have received is retried only if it is
 * idempotent. */
static bool
may_try_next_host(CURLcode code, const fv_client_request_t *request,
                  long status)
{
    bool is_retryable =
        request->key != NULL || strcmp(request->method, "GET") == 0;

    if (code == CURLE_OK) {
        return status == 503;
    }
    return is_retryable || code == CURLE_COULDNT_CONNECT ||
           code == CURLE_COULDNT_RESOLVE_HOST;
}

static bool
parse_json(fv_client_reply_t *reply)
{
    reply->json = json_loadb((const char *)reply->body.data,
                             reply->body.length, JSON_DECODE_ANY, NULL);
    return reply->json != NULL;
}

static int
report_problem(const fv_client_reply_t *reply)
{
    const char *detail = FvJson_String(reply->json, "detail");
    const char *outcome = FvJson_String(reply->json, "outcome");
    const json_t *faults = json_object_get(reply->json, "faults");
    fv_outcome_t job_outcome;

    fprintf(stderr, "fireflyvalve: request failed with status %ld: %s\n",
            reply->status, detail ? detail : "no detail given");
    if (json_is_array(faults)) {
        FvPrint_Document(stderr, faults);
    }
    if (outcome != NULL && FvOutcome_Parse(outcome, &job_outcome) &&
        job_outcome == Fv_OUTCOME_NOT_RUN) {
        return Fv_EXIT_NOT_RUN;
    }
    return reply->status >= 500 ? Fv_EXIT_UNREACHABLE : Fv_EXIT_REFUSED;
}

/**
 * FvClient_Call - send a request to the first host that serves it
 * @client: the client
 * @request: the request
 * @reply: filled in; release with FvClientReply_Clear()
 *
 * Return: Fv_EXIT_OK for a 2xx status, else the exit code after a message on
 * standard error.
 */
int
FvClient_Call(fv_client_t *client, const fv_client_request_t *request,
              fv_client_reply_t *reply)
{
    char *body =
        request->body ? json_dumps(request->body, JSON_COMPACT) : NULL;
    CURLcode code = CURLE_OK;

    for (int i = 0; i < client->host_count; i++) {
        FvClientReply_Clear(reply);
        code = perform_request(client, request, body, reply);
        if (!may_try_next_host(code, request, reply->status)) {
            break;
        }
        if (i + 1 < client->host_count) {
            client->current_host =
                (client->current_host + 1) % client->host_count;
        }
    }
    free(body);
    if (code != CURLE_OK) {
        fprintf(stderr, "fireflyvalve: %s: %s\n",
                client->hosts[client->current_host], curl_easy_strerror(code));
        return Fv_EXIT_UNREACHABLE;
    }
    parse_json(reply);
    return reply->status / 100 == 2 ? Fv_EXIT_OK : report_problem(reply);
}

/**
 * FvClientReply_Clear - release what a reply holds
 * @reply: the reply; may be used again
 */
void
FvClientReply_Clear(fv_client_reply_t *reply)
{
    FvBuffer_Clear(&reply->body);
    json_decref(reply->json);
    *reply = (fv_client_reply_t){0};
}

static int
ignore_reply(const json_t *reply)
{
    (void)reply;
    return Fv_EXIT_OK;
}

static int
run_request(const fv_client_arguments_t *arguments,
            const fv_client_request_t *request,
            int (*exit_code)(const json_t *reply))
{
    fv_client_t *client = FvClient_Open(arguments);
    fv_client_reply_t reply = {0};
    int code;

    if (client == NULL) {
        return Fv_EXIT_USAGE;
    }
    code = FvClient_Call(client, request, &reply);
    if (code == Fv_EXIT_OK) {
        FvPrint_Reply(&reply, arguments->json->count > 0);
        code = exit_code(reply.json);
    }
    FvClientReply_Clear(&reply);
    FvClient_Close(client);
    return code;
}

/**
 * FvClient_RunRequest - send one request and print the reply
 * @arguments: parsed arguments
 * @request: the request
 *
 * Return: the exit code.
 */
int
FvClient_RunRequest(const fv_client_arguments_t *arguments,
                    const fv_client_request_t *request)
{
    return run_request(arguments, request, ignore_reply);
}

/**
 * FvClient_RunJobRequest - send one request and print the job it returns
 * @arguments: parsed arguments
 * @request: the request
 *
 * Return: the exit code of the job's outcome, or that of the failed request.
 */
int
FvClient_RunJobRequest(const fv_client_arguments_t *arguments,
                       const fv_client_request_t *request)
{
    return run_request(arguments, request, FvJobResult_ExitCode);
}

/**
 * FvClient_CheckJobKey - check the form of a job's key
 * @key: the key
 *
 * Return: false after a message on standard error when it is not valid.
 */
bool
FvClient_CheckJobKey(const char *key)
{
    bool valid = FvText_IsName(key, Fv_KEY_SIZE - 1);

    if (!valid) {
        fputs("fireflyvalve: KEY: 1 to 128 of A-Z a-z 0-9 . _ -\n", stderr);
    }
    return valid;
}

/**
 * FvClient_RunGetCommand - run a command that prints one document
 * @command: the command
 * @argc: number of arguments, with the command's name
 * @argv: the arguments
 * @path: path of the GET request
 *
 * Return: the exit code.
 */
int
FvClient_RunGetCommand(const fv_command_t *command, int argc, char **argv,
                       const char *path)
{
    fv_client_arguments_t common = FvClient_NewArguments();
    struct arg_end *end = arg_end(4);
    void *table[] = {common.host, common.token_file, common.json, common.help,
                     end};
    fv_client_request_t request = {.method = "GET", .path = path};
    int code = FvCommand_Parse(command, argc, argv, table, end);

    if (code == Fv_PARSED) {
        code = FvClient_RunRequest(&common, &request);
    }
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return code;
}
