/*
 * Client threads of a test cell.
 */

#include "caller.h"

#include "fake-server.h"
#include "thread.h"

#include <stdlib.h>
#include <string.h>

#define CALLER_TIMEOUT_MS 20000
#define CALLER_ATTEMPT_TIMEOUT_MS 3000
#define CALLER_RETRY_MS 50

static const char sample_answers[] =
    "{\"weight\": 1, \"quota\": {\"processors\": 1000,"
    "  \"memory\": \"4 TiB\", \"tasks\": 1000}, \"workloads\": ["
    " {\"name\": \"lookup\", \"someone_waits\": true, \"may_repeat\": true,"
    "  \"may_overlap\": true, \"start_within\": \"200 ms\","
    "  \"size\": {\"processors\": 0.25, \"memory\": \"256 MiB\"},"
    "  \"run_time\": \"50 ms\"},"
    " {\"name\": \"rebuild\", \"someone_waits\": false, \"may_repeat\": true,"
    "  \"may_overlap\": false, \"size\": {\"processors\": 4,"
    "  \"memory\": \"4 GiB\"}, \"run_time\": \"2 s\", \"may_queue\": 500},"
    " {\"name\": \"fit-check\", \"someone_waits\": false,"
    "  \"may_repeat\": false, \"may_overlap\": false,"
    "  \"size\": {\"processors\": 1, \"memory\": \"1 GiB\"},"
    "  \"run_time\": \"1 s\", \"may_queue\": 500},"
    " {\"name\": \"gang\", \"someone_waits\": false, \"may_repeat\": true,"
    "  \"may_overlap\": false, \"tasks_together\": 4,"
    "  \"size\": {\"processors\": 2, \"memory\": \"2 GiB\"},"
    "  \"run_time\": \"1 s\", \"may_queue\": 500}]}";

/**
 * FvSample_NewAnswers - give several members the same answers
 * @members: names of the members
 * @count: number of members
 *
 * Return: the answers as FvCluster_Configure() takes them; freed by the
 * caller.
 */
char *
FvSample_NewAnswers(const char *const *members, size_t count)
{
    json_t *answers = json_object();
    char *text;

    for (size_t i = 0; i < count; i++) {
        json_object_set_new(answers, members[i],
                            json_loads(sample_answers, 0, NULL));
    }
    text = json_dumps(answers, JSON_COMPACT);
    json_decref(answers);
    if (text == NULL) {
        abort();
    }
    return text;
}

static void
record_outcome_seen(caller_t *caller, const char *outcome)
{
    static const char *const names[] = {"done", "failed", "cancelled",
                                        "not_run", "unknown"};

    for (unsigned i = 0; i < 5; i++) {
        if (strcmp(outcome, names[i]) == 0) {
            caller->outcomes_seen |= 1U << i;
        }
    }
}

/* Drops an incomplete reply. */
static void
save_reply(caller_t *caller, job_reply_t *reply)
{
    caller->calls++;
    if (reply->status == 0) {
        FvApi_FreeJobReply(reply);
        return;
    }
    record_outcome_seen(caller, reply->outcome);
    FvApi_FreeJobReply(&caller->reply);
    caller->reply = *reply;
}

/* Whether a retry cannot change the reply. */
static bool
is_final(const job_reply_t *reply)
{
    return reply->outcome[0] != 0 || reply->status == 409 ||
           reply->status == 400 || reply->status == 422;
}

static bool
is_alive(const caller_t *caller, int host)
{
    return caller->cluster->hosts[host].process.pid != 0;
}

static int
next_host(const caller_t *caller, int host)
{
    int count = caller->cluster->host_count;

    for (int i = 1; i <= count; i++) {
        if (is_alive(caller, (host + i) % count)) {
            return (host + i) % count;
        }
    }
    return host;
}

static void
submit_once(caller_t *caller, int host, job_reply_t *reply)
{
    submit_t submit = caller->submit;

    if (caller->key[0] != 0) {
        submit.key = caller->key;
    }
    submit.timeout_ms = caller->attempt_timeout_ms > 0
                            ? caller->attempt_timeout_ms
                            : CALLER_ATTEMPT_TIMEOUT_MS;
    submit.wait_ms = submit.wait_ms > 0 ? submit.wait_ms : 1000;
    FvApi_Submit(caller->cluster, host, &submit, reply);
}

/**
 * FvCaller_Run - submit a job until its outcome is known or time is up
 * @caller: the caller; its results are filled in
 *
 * Every call submits the same key, so this also tests that a retry attaches
 * to the existing job.
 */
void
FvCaller_Run(caller_t *caller)
{
    int64_t began_ms = FvClock_NowMs();
    int64_t timeout_ms =
        caller->timeout_ms > 0 ? caller->timeout_ms : CALLER_TIMEOUT_MS;
    int host = caller->host;
    job_reply_t reply;

    FvFake_SleepMs(caller->start_delay_ms);
    do {
        submit_once(caller, host, &reply);
        if (reply.status != 202) {
            host = next_host(caller, host);
        }
        save_reply(caller, &reply);
        if (caller->single_call || is_final(&reply)) {
            break;
        }
        FvFake_SleepMs(CALLER_RETRY_MS);
    } while (FvClock_NowMs() - began_ms < timeout_ms);
    caller->elapsed_ms = FvClock_NowMs() - began_ms;
}

static void *
run_thread(void *context)
{
    FvCaller_Run(context);
    return NULL;
}

/**
 * FvCaller_Start - run a caller in its own thread
 * @caller: must stay at its address until FvCaller_Join()
 */
void
FvCaller_Start(caller_t *caller)
{
    FvThread_Start(&caller->thread, run_thread, caller);
}

/**
 * FvCaller_Join - wait for a caller and free the body of its last reply
 * @caller: the caller; its other results remain valid
 */
void
FvCaller_Join(caller_t *caller)
{
    pthread_join(caller->thread, NULL);
    FvApi_FreeJobReply(&caller->reply);
    caller->reply.http.body = NULL;
}

/**
 * FvCallers_Start - start several callers
 * @callers: the callers
 * @count: number of callers
 */
void
FvCallers_Start(caller_t *callers, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        FvCaller_Start(&callers[i]);
    }
}

/**
 * FvCallers_Join - wait for several callers
 * @callers: the callers
 * @count: number of callers
 */
void
FvCallers_Join(caller_t *callers, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        FvCaller_Join(&callers[i]);
    }
}

/**
 * FvRng_Init - seed a random generator
 * @rng: filled in
 * @seed: used unless SEED is set in the environment
 */
void
FvRng_Init(rng_t *rng, uint64_t seed)
{
    const char *text = getenv("SEED");

    rng->seed = text != NULL ? strtoull(text, NULL, 10) : seed;
    rng->state = rng->seed;
}

/**
 * FvRng_Between - next random number in a range (splitmix64)
 * @rng: the generator
 * @low: smallest result
 * @high: largest result
 *
 * Return: a number from @low to @high.
 */
int64_t
FvRng_Between(rng_t *rng, int64_t low, int64_t high)
{
    uint64_t value = rng->state += UINT64_C(0x9e3779b97f4a7c15);

    value = (value ^ (value >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
    value = (value ^ (value >> 27)) * UINT64_C(0x94d049bb133111eb);
    value ^= value >> 31;
    return low + (int64_t)(value % (uint64_t)(high - low + 1));
}
