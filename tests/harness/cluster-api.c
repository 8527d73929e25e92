/*
 * Requests to the hosts and to the fakes of a test cell.
 */

#include "cluster.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

/* Added to a request's own wait time to get the client's timeout. */
#define API_MARGIN_MS 10000

/**
 * FvApi_MemberToken - a member's bearer token
 * @member: the member
 * @token: filled in
 * @size: size of @token
 */
void
FvApi_MemberToken(const char *member, char *token, size_t size)
{
    snprintf(token, size, "bearer-token-of-%s", member);
}

/**
 * FvApi_HostUrl - URL under which callers reach a host
 * @cluster: the cell
 * @host: index of the host
 * @path: path and query
 * @url: filled in
 * @size: size of @url
 */
void
FvApi_HostUrl(const cluster_t *cluster, int host, const char *path, char *url,
              size_t size)
{
    snprintf(url, size, "http://%s%s",
             FvCluster_RouteAddress(cluster, ROUTE_CALLER, 0, host), path);
}

static void
copy_text(const json_t *document, const char *name, char *target, size_t size)
{
    const char *text = json_string_value(json_object_get(document, name));

    if (text != NULL) {
        snprintf(target, size, "%s", text);
    }
}

static int64_t
read_int(const json_t *document, const char *name)
{
    return json_integer_value(json_object_get(document, name));
}

/* Reads a job document, or the problem document of an error response. */
static void
read_job(const json_t *document, job_reply_t *reply)
{
    const json_t *workers = json_object_get(document, "workers");
    const char *worker = json_string_value(json_array_get(workers, 0));

    copy_text(document, "key", reply->key, sizeof(reply->key));
    copy_text(document, "state", reply->state, sizeof(reply->state));
    copy_text(document, "outcome", reply->outcome, sizeof(reply->outcome));
    copy_text(document, "reason", reply->reason, sizeof(reply->reason));
    copy_text(document, "detail", reply->reason, sizeof(reply->reason));
    reply->attempts = (int)read_int(document, "attempts");
    reply->answer_length = read_int(document, "answer_length");
    reply->waited_ms = read_int(document, "waited_ms");
    reply->ran_ms = read_int(document, "ran_ms");
    reply->retry_after_ms = read_int(document, "retry_after_ms");
    if (worker != NULL) {
        snprintf(reply->worker, sizeof(reply->worker), "%s", worker);
    }
}

static void
call_job_api(http_session_t *session, const http_call_t *call,
             job_reply_t *reply)
{
    json_t *document = NULL;

    *reply = (job_reply_t){0};
    if (session != NULL) {
        FvHttpSession_Run(session, call, &reply->http);
    }
    else {
        FvHttp_Run(call, &reply->http);
    }
    reply->status = reply->http.status;
    if (reply->http.outcome[0] != 0) {
        snprintf(reply->key, sizeof(reply->key), "%.*s",
                 (int)sizeof(reply->key) - 1, reply->http.job);
        snprintf(reply->state, sizeof(reply->state), "ended");
        snprintf(reply->outcome, sizeof(reply->outcome), "%s",
                 reply->http.outcome);
        reply->answer_length = (int64_t)reply->http.body_length;
        return;
    }
    document = FvHttp_ReplyJson(&reply->http);
    if (document != NULL) {
        read_job(document, reply);
        json_decref(document);
    }
}

/**
 * FvApi_EncodeBase64 - encode bytes for a JSON field
 * @data: the bytes
 * @length: number of bytes
 *
 * Return: a new JSON string.
 */
json_t *
FvApi_EncodeBase64(const void *data, size_t length)
{
    size_t size =
        sodium_base64_encoded_len(length, sodium_base64_VARIANT_ORIGINAL);
    char *text = malloc(size);
    json_t *encoded;

    if (text == NULL) {
        abort();
    }
    sodium_bin2base64(text, size, data, length,
                      sodium_base64_VARIANT_ORIGINAL);
    encoded = json_string(text);
    free(text);
    return encoded;
}

static void
set_payload(json_t *body, const submit_t *submit)
{
    if (submit->payload == NULL) {
        return;
    }
    if (submit->payload_length == 0) {
        json_object_set_new(body, "payload", json_string(submit->payload));
        return;
    }
    json_object_set_new(
        body, "payload_base64",
        FvApi_EncodeBase64(submit->payload, submit->payload_length));
}

static void
set_positive(json_t *body, const char *name, int64_t value)
{
    if (value > 0) {
        json_object_set_new(body, name, json_integer(value));
    }
}

static char *
submit_body(const submit_t *submit)
{
    json_t *body = json_pack("{s:s}", "workload", submit->workload);
    char *text;

    set_payload(body, submit);
    set_positive(body, "deadline_ms", submit->deadline_ms);
    set_positive(body, "tasks", submit->tasks);
    set_positive(body, "wait_ms", submit->wait_ms);
    text = json_dumps(body, JSON_COMPACT);
    json_decref(body);
    if (text == NULL) {
        abort();
    }
    return text;
}

/**
 * FvApi_Submit - POST /v1/jobs
 * @cluster: the cell
 * @host: index of the host
 * @submit: the job
 * @reply: filled in; freed with FvApi_FreeJobReply()
 */
void
FvApi_Submit(cluster_t *cluster, int host, const submit_t *submit,
             job_reply_t *reply)
{
    char *body = submit_body(submit);
    char token[128];
    char url[Fv_URL_SIZE];
    http_call_t call = {.method = "POST",
                        .url = url,
                        .token = token,
                        .idempotency_key = submit->key,
                        .body = body,
                        .body_length = strlen(body),
                        .timeout_ms = submit->timeout_ms > 0
                                          ? submit->timeout_ms
                                          : submit->wait_ms + API_MARGIN_MS};

    FvApi_MemberToken(submit->member, token, sizeof(token));
    FvApi_HostUrl(cluster, host,
                  submit->raw ? "/v1/jobs?answer=raw" : "/v1/jobs", url,
                  sizeof(url));
    call_job_api(submit->session, &call, reply);
    free(body);
}

/**
 * FvApi_GetJob - GET /v1/jobs/KEY
 * @cluster: the cell
 * @host: index of the host
 * @member: the member
 * @key: the job
 * @wait_ms: how long the host may wait for the job to end
 * @reply: filled in; freed with FvApi_FreeJobReply()
 */
void
FvApi_GetJob(cluster_t *cluster, int host, const char *member, const char *key,
             int64_t wait_ms, job_reply_t *reply)
{
    char path[Fv_KEY_SIZE + 64];
    char token[128];
    char url[Fv_URL_SIZE + 64];
    http_call_t call = {
        .url = url, .token = token, .timeout_ms = wait_ms + API_MARGIN_MS};

    FvApi_MemberToken(member, token, sizeof(token));
    snprintf(path, sizeof(path), "/v1/jobs/%s?wait_ms=%lld", key,
             (long long)wait_ms);
    FvApi_HostUrl(cluster, host, path, url, sizeof(url));
    call_job_api(NULL, &call, reply);
}

/**
 * FvApi_Cancel - POST /v1/jobs/KEY/cancel
 * @cluster: the cell
 * @host: index of the host
 * @member: the member
 * @key: the job
 * @reply: filled in; freed with FvApi_FreeJobReply()
 */
void
FvApi_Cancel(cluster_t *cluster, int host, const char *member, const char *key,
             job_reply_t *reply)
{
    char path[Fv_KEY_SIZE + 64];
    char token[128];
    char url[Fv_URL_SIZE + 64];
    http_call_t call = {.method = "POST", .url = url, .token = token};

    FvApi_MemberToken(member, token, sizeof(token));
    snprintf(path, sizeof(path), "/v1/jobs/%s/cancel", key);
    FvApi_HostUrl(cluster, host, path, url, sizeof(url));
    call_job_api(NULL, &call, reply);
}

/**
 * FvApi_FreeJobReply - free the body of a job reply
 * @reply: the reply
 */
void
FvApi_FreeJobReply(job_reply_t *reply)
{
    FvHttp_FreeReply(&reply->http);
}

/**
 * FvApi_GetAnswer - GET /v1/jobs/KEY/answer
 * @cluster: the cell
 * @host: index of the host
 * @member: the member
 * @key: the job
 * @reply: filled in; freed with FvHttp_FreeReply()
 */
void
FvApi_GetAnswer(cluster_t *cluster, int host, const char *member,
                const char *key, http_reply_t *reply)
{
    char path[Fv_KEY_SIZE + 64];
    char token[128];
    char url[Fv_URL_SIZE + 64];
    http_call_t call = {.url = url, .token = token};

    FvApi_MemberToken(member, token, sizeof(token));
    snprintf(path, sizeof(path), "/v1/jobs/%s/answer", key);
    FvApi_HostUrl(cluster, host, path, url, sizeof(url));
    FvHttp_Run(&call, reply);
}

/**
 * FvApi_Call - send a request to a host
 * @cluster: the cell
 * @host: index of the host
 * @member: whose token is sent; NULL: none
 * @method: HTTP method
 * @path: path and query
 * @body: request body or NULL; the function takes the reference
 * @reply: set to the response's document, or to NULL when the body is not
 * JSON; may be NULL
 *
 * Return: the HTTP status; 0 without a complete response.
 */
int
FvApi_Call(cluster_t *cluster, int host, const char *member,
           const char *method, const char *path, json_t *body, json_t **reply)
{
    char *text = body != NULL ? json_dumps(body, JSON_COMPACT) : NULL;
    char token[128] = "";
    char url[Fv_URL_SIZE * 2];
    http_call_t call = {.method = method,
                        .url = url,
                        .token = member != NULL ? token : NULL,
                        .body = text,
                        .body_length = text != NULL ? strlen(text) : 0};
    http_reply_t http;

    json_decref(body);
    FvApi_MemberToken(member != NULL ? member : "", token, sizeof(token));
    FvApi_HostUrl(cluster, host, path, url, sizeof(url));
    FvHttp_Run(&call, &http);
    if (reply != NULL) {
        *reply = FvHttp_ReplyJson(&http);
    }
    FvHttp_FreeReply(&http);
    free(text);
    return http.status;
}

/**
 * FvApi_PutAnswers - PUT /v1/answers
 * @cluster: the cell
 * @host: index of the host
 * @member: the member
 * @answers: questionnaire answers; the function takes the reference
 *
 * Return: the HTTP status; 0 without a complete response.
 */
int
FvApi_PutAnswers(cluster_t *cluster, int host, const char *member,
                 json_t *answers)
{
    return FvApi_Call(cluster, host, member, "PUT", "/v1/answers", answers,
                      NULL);
}

/**
 * FvApi_GenerateProposal - POST /v1/proposals
 * @cluster: the cell
 * @host: index of the host
 * @member: the member that proposes
 * @reply: filled in
 *
 * Return: true when a proposal was generated.
 */
bool
FvApi_GenerateProposal(cluster_t *cluster, int host, const char *member,
                       proposal_reply_t *reply)
{
    json_t *document = NULL;

    *reply = (proposal_reply_t){0};
    reply->status = FvApi_Call(cluster, host, member, "POST", "/v1/proposals",
                               NULL, &document);
    copy_text(document, "id", reply->id, sizeof(reply->id));
    copy_text(document, "digest", reply->digest, sizeof(reply->digest));
    json_decref(document);
    return reply->status == 201 && reply->id[0] != 0;
}

/**
 * FvApi_Vote - approve or reject a proposal
 * @cluster: the cell
 * @host: index of the host
 * @member: the member that votes
 * @proposal: the proposal
 * @approve: whether to approve it
 *
 * Return: the HTTP status; 0 without a complete response.
 */
int
FvApi_Vote(cluster_t *cluster, int host, const char *member,
           const proposal_reply_t *proposal, bool approve)
{
    char path[Fv_KEY_SIZE + 64];

    snprintf(path, sizeof(path), "/v1/proposals/%s/%s", proposal->id,
             approve ? "approve" : "reject");
    return FvApi_Call(cluster, host, member, "POST", path,
                      json_pack("{s:s}", "digest", proposal->digest), NULL);
}

/**
 * FvApi_ConfigVersion - get the version of a host's active configuration
 * @cluster: the cell
 * @host: index of the host
 *
 * Return: the version; 0 without a configuration or a response.
 */
int64_t
FvApi_ConfigVersion(cluster_t *cluster, int host)
{
    json_t *document = NULL;
    int64_t version = 0;

    if (FvApi_Call(cluster, host, cluster->topology.members[0], "GET",
                   "/v1/config", NULL, &document) == 200) {
        version = read_int(document, "version");
    }
    json_decref(document);
    return version;
}

typedef struct version_wait {
    cluster_t *cluster;
    int64_t old_version;
} version_wait_t;

static bool
all_hosts_newer(void *context)
{
    const version_wait_t *wait = context;
    cluster_t *cluster = wait->cluster;

    for (int host = 0; host < cluster->host_count; host++) {
        if (cluster->hosts[host].process.pid != 0 &&
            FvApi_ConfigVersion(cluster, host) <= wait->old_version) {
            return false;
        }
    }
    return true;
}

static bool
put_all_answers(cluster_t *cluster, int host, const json_t *answers)
{
    for (size_t i = 0; i < cluster->topology.member_count; i++) {
        const char *member = cluster->topology.members[i];
        json_t *own = json_deep_copy(json_object_get(answers, member));

        if (own == NULL ||
            FvApi_PutAnswers(cluster, host, member, own) != 200) {
            return false;
        }
    }
    return true;
}

/**
 * FvCluster_Configure - propose, approve and activate a configuration
 * @cluster: the cell
 * @host: index of the host that receives the requests
 * @answers: JSON object with the questionnaire answers by member
 * @timeout_ms: timeout for the activation on all running hosts
 *
 * Return: false when a request failed or on timeout.
 */
bool
FvCluster_Configure(cluster_t *cluster, int host, const char *answers,
                    int64_t timeout_ms)
{
    version_wait_t wait = {cluster, FvApi_ConfigVersion(cluster, host)};
    json_t *document = json_loads(answers, 0, NULL);
    proposal_reply_t proposal;
    bool accepted =
        document != NULL && put_all_answers(cluster, host, document) &&
        FvApi_GenerateProposal(cluster, host, cluster->topology.members[0],
                               &proposal);

    for (size_t i = 0; accepted && i < cluster->topology.member_count; i++) {
        accepted = FvApi_Vote(cluster, host, cluster->topology.members[i],
                              &proposal, true) == 200;
    }
    json_decref(document);
    return accepted && FvWait_Until(all_hosts_newer, &wait, timeout_ms);
}

/**
 * FvCluster_ControlPlatform - send a command to fake-platform
 * @cluster: the cell
 * @path: path on the control port, for example /store
 * @body: arguments; the function takes the reference
 *
 * Return: true when the command was accepted.
 */
bool
FvCluster_ControlPlatform(cluster_t *cluster, const char *path, json_t *body)
{
    char url[Fv_URL_SIZE];

    snprintf(url, sizeof(url), "http://%s%s", cluster->platform_control, path);
    return FvHttp_PostJson(url, body, NULL) == 200;
}

static int64_t
read_count(const char *address, const char *name)
{
    char url[Fv_URL_SIZE];
    json_t *counts;
    int64_t count = -1;

    snprintf(url, sizeof(url), "http://%s/counts", address);
    counts = FvHttp_GetJson(url);
    if (json_object_get(counts, name) != NULL) {
        count = read_int(counts, name);
    }
    json_decref(counts);
    return count;
}

/**
 * FvCluster_PlatformCounter - read a counter of fake-platform
 * @cluster: the cell
 * @name: for example txn
 *
 * Return: the count; -1 for an unknown name or without a response.
 */
int64_t
FvCluster_PlatformCounter(cluster_t *cluster, const char *name)
{
    return read_count(cluster->platform_control, name);
}

/**
 * FvCluster_DumpStore - read all keys and values of the store
 * @cluster: the cell
 *
 * Return: a new document, or NULL without a response.
 */
json_t *
FvCluster_DumpStore(cluster_t *cluster)
{
    char url[Fv_URL_SIZE];

    snprintf(url, sizeof(url), "http://%s/dump", cluster->platform_control);
    return FvHttp_GetJson(url);
}

/**
 * FvCluster_SetHostListState - change the state of a host list entry
 * @cluster: the cell
 * @name: a host or worker
 * @state: live, leaving or gone
 *
 * Readers see the change after the topology's list_lag_ms.
 *
 * Return: true when the change was accepted.
 */
bool
FvCluster_SetHostListState(cluster_t *cluster, const char *name,
                           const char *state)
{
    return FvCluster_ControlPlatform(
        cluster, "/hosts/state",
        json_pack("{s:s, s:s}", "name", name, "state", state));
}

/**
 * FvCluster_SetWorkerMode - inject a fault into workers or clear it
 * @cluster: the cell
 * @rack: index of the rack
 * @worker: name of a worker of the rack, or * for all
 * @mode: up, fail_all, hang or leaving
 *
 * Return: true when the mode was accepted.
 */
bool
FvCluster_SetWorkerMode(cluster_t *cluster, int rack, const char *worker,
                        const char *mode)
{
    char url[Fv_URL_SIZE];

    snprintf(url, sizeof(url), "http://%s/control",
             cluster->racks[rack].address);
    return FvHttp_PostJson(
               url, json_pack("{s:s, s:s}", "worker", worker, "mode", mode),
               NULL) == 200;
}

/**
 * FvCluster_RackCounter - read a counter of a rack's fake-worker
 * @cluster: the cell
 * @rack: index of the rack
 * @name: for example started
 *
 * Return: the count; -1 for an unknown name or without a response.
 */
int64_t
FvCluster_RackCounter(cluster_t *cluster, int rack, const char *name)
{
    return read_count(cluster->racks[rack].address, name);
}

/**
 * FvCluster_ReadRecords - read the event records of all workers
 * @cluster: the cell
 * @records: filled in, ordered by time; freed with FvRecords_Free()
 *
 * Return: false when a file cannot be read.
 */
bool
FvCluster_ReadRecords(cluster_t *cluster, records_t *records)
{
    bool valid = true;

    *records = (records_t){0};
    for (int rack = 0; rack < cluster->rack_count; rack++) {
        valid =
            FvRecords_Read(records, cluster->racks[rack].record_path) && valid;
    }
    return valid;
}
