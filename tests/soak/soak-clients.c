/*
 * Clients of the soak. Each keeps its connections open until the host closes
 * them, submits and cancels jobs, asks for their state, and checks the
 * answers.
 */

#include "soak.h"

#include "fake-server.h"

#include <stdlib.h>
#include <string.h>

#define SOAK_SUBMIT_ATTEMPTS 4
#define SOAK_CALL_TIMEOUT_MS 3000
#define SOAK_KEPT_JOBS 16 /* latest accepted jobs of a client */

/* One of so many jobs is repeated. */
#define SOAK_JOBS_PER_REPEATED_ONE 8
#define SOAK_REPEATS 4
#define SOAK_REPEAT_INTERVAL_MS 400

/* A request that ends without an answer earlier than this after it was sent
 * may not have been read. */
#define SOAK_LOSS_SLACK_MS 200

typedef struct soak_client {
    soak_t *soak;
    uint64_t random;
    kept_connection_t connections[ENTRY_CELL_HOSTS_MAX];
    int64_t opened_ms[ENTRY_CELL_HOSTS_MAX];
    soak_job_t *jobs[SOAK_KEPT_JOBS];
    uint32_t job_count;
} soak_client_t;

/**
 * FvSoakClients_CountReply - count the answer to a request
 * @soak: the soak
 * @status: its status; 0: none
 */
void
FvSoakClients_CountReply(soak_t *soak, int status)
{
    pthread_mutex_lock(&soak->lock);
    soak->reply_counts[status / 100 < 6 ? status / 100 : 5]++;
    pthread_mutex_unlock(&soak->lock);
}

/**
 * FvSoakClients_CheckLoss - count a request that ended without a whole answer,
 * unless the soak killed the host or suspended it meanwhile
 * @soak: the soak
 * @host: the host
 * @opened_ms: when the connection was opened
 * @sent_ms: when the request was sent
 * @outcome: what became of it
 * @request: what it was, for the output
 */
void
FvSoakClients_CheckLoss(soak_t *soak, int host, int64_t opened_ms,
                        int64_t sent_ms, kept_outcome_t outcome,
                        const char *request)
{
    int64_t now_ms = FvClock_NowMs();
    const soak_host_t *state = &soak->host[host];

    pthread_mutex_lock(&soak->lock);
    if (outcome == KEPT_TIMED_OUT || state->suspended ||
        state->killed_ms >= opened_ms || state->resumed_ms >= sent_ms) {
        pthread_mutex_unlock(&soak->lock);
        return;
    }
    if (outcome == KEPT_CLOSED && now_ms - sent_ms < SOAK_LOSS_SLACK_MS) {
        soak->closed_early++;
    }
    else {
        soak->lost++;
        printf("LOST %s at host %d: %s after %lld ms, %lld ms after SIGTERM\n",
               request, host, outcome == KEPT_CUT ? "cut" : "closed",
               (long long)(now_ms - sent_ms),
               (long long)(now_ms - state->terminated_ms));
    }
    pthread_mutex_unlock(&soak->lock);
}

static void
note_wrong_answer(soak_t *soak, const soak_job_t *job, int host, int status,
                  const char *state)
{
    pthread_mutex_lock(&soak->lock);
    soak->wrong_answers++;
    pthread_mutex_unlock(&soak->lock);
    printf("WRONG ANSWER for job %s at host %d: status=%d state=%s\n", job->id,
           host, status, state);
}

static int
call_host(soak_client_t *client, int host, const char *method,
          const soak_job_t *job, const char *body, kept_answer_t *answer)
{
    soak_t *soak = client->soak;
    kept_connection_t *connection = &client->connections[host];
    char path[64];
    char request[96];
    int64_t sent_ms;
    kept_outcome_t outcome;

    *answer = (kept_answer_t){0};
    if (connection->fd >= 0 && FvKept_IsClosedByPeer(connection)) {
        FvKept_Close(connection);
    }
    if (connection->fd < 0) {
        client->opened_ms[host] = FvClock_NowMs();
        if (!FvKept_Open(connection, FvEntryCell_Port(&soak->cell, host,
                                                      ENTRY_PORT_CALLERS))) {
            FvSoakClients_CountReply(soak, 0);
            return 0;
        }
    }
    snprintf(path, sizeof(path), "/%s/%s", job->queue, job->id);
    snprintf(request, sizeof(request), "%s %s", method, path);
    sent_ms = FvClock_NowMs();
    outcome = KEPT_CLOSED;
    connection->api_key = job->key;
    if (FvKept_Send(connection, method, path, body)) {
        outcome = FvKept_Receive(connection, SOAK_CALL_TIMEOUT_MS, answer);
    }
    if (outcome != KEPT_ANSWERED) {
        FvSoakClients_CheckLoss(soak, host, client->opened_ms[host], sent_ms,
                                outcome, request);
        answer->status = 0;
    }
    if (outcome != KEPT_ANSWERED || connection->close_announced) {
        FvKept_Close(connection);
    }
    FvSoakClients_CountReply(soak, answer->status);
    if (answer->status == 401 || answer->status == 403) {
        note_wrong_answer(soak, job, host, answer->status, "refused key");
    }
    return answer->status;
}

static int
any_host(soak_client_t *client)
{
    return (int)FvSoak_Random(&client->random, (uint32_t)client->soak->hosts);
}

static void
read_state(const kept_answer_t *answer, char *state, size_t size)
{
    json_t *document = json_loads(answer->body, JSON_DISABLE_EOF_CHECK, NULL);

    FvJson_CopyString(document, "state", state, size);
    json_decref(document);
}

/**
 * FvSoakClients_NewJob - add a job that is not submitted yet
 * @soak: the soak
 * @random: state of the random numbers
 * @queue: its queue; NULL: any
 *
 * Return: the job, or NULL when there are too many.
 */
soak_job_t *
FvSoakClients_NewJob(soak_t *soak, uint64_t *random, const char *queue)
{
    static const char *const queues[] = {"fast", "plain", "slow", "long"};
    soak_job_t *job = NULL;

    pthread_mutex_lock(&soak->lock);
    if (soak->job_count < SOAK_JOBS_MAX) {
        job = &soak->jobs[soak->job_count++];
        snprintf(job->id, sizeof(job->id), "%08x%08x",
                 FvSoak_Random(random, UINT32_MAX), soak->job_count);
        job->queue = queue != NULL ? queue : queues[FvSoak_Random(random, 4)];
        job->key = FvSoakKeys_OfJob(soak, soak->job_count);
        job->cap = FvSoakKeys_Cap(soak);
        job->state = SOAK_UNKNOWN;
    }
    pthread_mutex_unlock(&soak->lock);
    return job;
}

/**
 * FvSoakClients_BuildBody - build the submission of a job
 * @random: state of the random numbers
 * @job: the job
 * @body: receives it
 * @size: size of @body
 *
 * Plain jobs need no tickets, so that only their connection ties a start to a
 * life of its worker. Fast and plain jobs have one step, slow and long ones
 * two. The second step of a long job starts seconds after the job was
 * accepted. The occurrences of a repeated job overlap, and outlast changes of
 * the leader.
 */
void
FvSoakClients_BuildBody(uint64_t *random, const soak_job_t *job, char *body,
                        size_t size)
{
    bool is_long = strcmp(job->queue, "long") == 0;
    bool two_steps = is_long || strcmp(job->queue, "slow") == 0;
    uint32_t cpu = is_long ? 50 : 200 + FvSoak_Random(random, 8) * 200;
    uint32_t run_ms = is_long     ? 2500 + FvSoak_Random(random, 2500)
                      : two_steps ? 50 + FvSoak_Random(random, 900)
                                  : 50 + FvSoak_Random(random, 200);
    bool plain = strcmp(job->queue, "plain") == 0;
    char schedule[128] = "";
    const char *label = FvSoak_Random(random, 4) == 0 || plain
                            ? ",\"requiredLabel\":\"a\""
                            : "";
    char step[192];
    char owner[48] = "";

    /* The public route belongs to no customer. */
    if (job->cap > 0 && !plain) {
        snprintf(owner, sizeof(owner), " customer=%lu cap=%d",
                 strtoul(job->id + 8, NULL, 16) % 2 + 1, job->cap);
    }
    snprintf(step, sizeof(step),
             "{\"count\":%u,\"cpu\":%u,\"memMb\":10,\"estimatedMs\":%u%s",
             1 + FvSoak_Random(random, 3), cpu, run_ms, label);
    if (strtoul(job->id + 8, NULL, 16) % SOAK_JOBS_PER_REPEATED_ONE == 0) {
        snprintf(schedule, sizeof(schedule),
                 "\"repeatCount\":%d,\"startAtMs\":%lld,\"intervalMs\":%d,",
                 SOAK_REPEATS, (long long)FvClock_WallMs(),
                 SOAK_REPEAT_INTERVAL_MS);
    }
    snprintf(
        body, size,
        "{\"taskSpec\":\"run_ms=%u cpu=%u%s%s%s\",%s\"steps\":[%s}%s%s%s]}",
        run_ms, cpu, plain ? " no_ticket" : "",
        label[0] != '\0' ? " label=a" : "", owner, schedule, step,
        two_steps ? "," : "", two_steps ? step : "",
        two_steps ? ",\"after\":[0]}" : "");
}

static void
submit(soak_client_t *client, soak_job_t *job)
{
    bool rejected = true;
    char body[768];
    kept_answer_t answer;

    FvSoakClients_BuildBody(&client->random, job, body, sizeof(body));
    for (int i = 0; i < SOAK_SUBMIT_ATTEMPTS; i++) {
        int status =
            call_host(client, any_host(client), "POST", job, body, &answer);

        if (status == 200) {
            job->state = SOAK_ACCEPTED;
            client->jobs[client->job_count++ % SOAK_KEPT_JOBS] = job;
            return;
        }
        rejected = rejected && (status == 503 || status == 429);
        FvFake_SleepMs(200 + FvSoak_Random(&client->random, 800));
    }
    job->state = rejected ? SOAK_REFUSED : SOAK_UNKNOWN;
}

/**
 * FvSoakClients_NoteCancelled - note the answer to a job's cancellation
 * @job: the job
 * @host: the host that answered
 * @status: the answer; 0: none
 */
void
FvSoakClients_NoteCancelled(soak_job_t *job, int host, int status)
{
    job->cancel_status = status;
    job->cancel_host = host;
    if (status == 200 || status == 410) {
        job->cancelled_ms = FvClock_NowMs();
        job->state = SOAK_CANCELLED;
    }
    else {
        job->state = SOAK_MAY_BE_CANCELLED;
    }
}

static void
cancel(soak_client_t *client, soak_job_t *job)
{
    int host = any_host(client);
    kept_answer_t answer;

    FvSoakClients_NoteCancelled(
        job, host, call_host(client, host, "DELETE", job, NULL, &answer));
}

static void
ask_state(soak_client_t *client, soak_job_t *job)
{
    int host = any_host(client);
    bool ended = job->state == SOAK_ENDED;
    char state[32] = "";
    kept_answer_t answer;
    int status = call_host(client, host, "GET", job, NULL, &answer);

    if (status == 200) {
        read_state(&answer, state, sizeof(state));
    }
    if (status == 200 && ended &&
        (strcmp(state, "queued") == 0 || strcmp(state, "running") == 0) &&
        FvSoakSplits_IsStale(client->soak, host)) {
        return;
    }
    if (status == 410 ||
        (status == 200 && ended && strcmp(state, "completed") != 0)) {
        note_wrong_answer(client->soak, job, host, status, state);
    }
    else if (strcmp(state, "completed") == 0) {
        job->state = SOAK_ENDED;
    }
}

/* Cancels or asks about one of the latest jobs that this client had accepted.
 */
static void
visit_job(soak_client_t *client)
{
    uint32_t known = client->job_count < SOAK_KEPT_JOBS ? client->job_count
                                                        : SOAK_KEPT_JOBS;
    soak_job_t *job;

    if (known == 0) {
        return;
    }
    job = client->jobs[FvSoak_Random(&client->random, known)];
    if (job->state == SOAK_ACCEPTED &&
        FvSoak_Random(&client->random, 6) == 0) {
        cancel(client, job);
    }
    else if (job->state == SOAK_ACCEPTED || job->state == SOAK_ENDED) {
        ask_state(client, job);
    }
}

static void *
run_client(void *context)
{
    soak_client_t *client = context;
    soak_t *soak = client->soak;

    while (!atomic_load(&soak->finished)) {
        if (FvSoak_Random(&client->random, 2) == 0) {
            soak_job_t *job =
                FvSoakClients_NewJob(soak, &client->random, NULL);

            if (job == NULL) {
                break;
            }
            submit(client, job);
            if (job->state == SOAK_ACCEPTED &&
                FvSoak_Random(&client->random, 20) == 0) {
                cancel(client, job);
            }
        }
        else {
            visit_job(client);
        }
        FvFake_SleepMs(FvSoak_Random(&client->random, 100));
    }
    for (int i = 0; i < soak->hosts; i++) {
        FvKept_Close(&client->connections[i]);
    }
    free(client);
    return NULL;
}

/**
 * FvSoakClients_Start - start the clients
 * @soak: the soak; its member finished ends them
 * @threads: receives them
 *
 * Return: false when one cannot be started.
 */
bool
FvSoakClients_Start(soak_t *soak, pthread_t *threads)
{
    for (int i = 0; i < soak->clients; i++) {
        soak_client_t *client = calloc(1, sizeof(*client));

        if (client == NULL) {
            return false;
        }
        client->soak = soak;
        client->random = (soak->seed * 1000 + (uint64_t)i) * 2 + 1;
        for (int h = 0; h < soak->hosts; h++) {
            client->connections[h].fd = -1;
        }
        if (pthread_create(&threads[i], NULL, run_client, client) != 0) {
            free(client);
            return false;
        }
    }
    return true;
}

/**
 * FvSoakClients_Call - send one request about a job on a new connection
 * @soak: the soak
 * @random: state of the random numbers that choose the host
 * @method: the method
 * @job: the job
 * @state: receives the job's state in the answer, or ""
 * @size: size of @state
 *
 * Return: the status; 0 without an answer.
 */
int
FvSoakClients_Call(soak_t *soak, uint64_t *random, const char *method,
                   const soak_job_t *job, char *state, size_t size)
{
    char path[64];
    int status;

    snprintf(path, sizeof(path), "/%s/%s", job->queue, job->id);
    status = FvEntryCell_CallAs(
        &soak->cell, (int)FvSoak_Random(random, (uint32_t)soak->hosts),
        job->key, method, path, NULL, state, size);
    FvSoakClients_CountReply(soak, status);
    return status;
}
