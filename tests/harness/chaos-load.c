/*
 * Mixed load for a test cell: jobs with claims, some of them with retries, a
 * second caller or a cancellation, a stream of lookups, and operators whose
 * configuration changes race.
 */

#include "chaos.h"

#include "fake-server.h"
#include "thread.h"

#include <stdlib.h>
#include <string.h>

#define JOB_INTERVAL_MS 130
#define LOOKUP_PAUSE_MS 25
#define LOOKUP_TIMEOUT_MS 3000
#define LONG_ANSWER_REPEATS 4000
#define ANSWER_RETRY_MS 200
#define CANCEL_BURST_WINDOW_MS 4000
/* Longer than the delay of a job's second caller. */
#define THREAD_START_LEAD_MS 500

typedef struct job_kind {
    const char *workload;
    int share_percent;
    int64_t run_min_ms;
    int64_t run_max_ms;
    int tasks;
} job_kind_t;

static const job_kind_t job_kinds[] = {
    {"rebuild", 45, 100, 2500, 1},
    {"fit-check", 40, 50, 1200, 1},
    {"gang", 15, 200, 1500, 4},
};

static void
sleep_until(const chaos_t *chaos, int64_t at_ms)
{
    int64_t remaining_ms = at_ms - FvChaos_ElapsedMs(chaos);

    if (remaining_ms > 0) {
        FvFake_SleepMs(remaining_ms);
    }
}

static char *
repeat_text(const char *text, int count)
{
    size_t length = strlen(text);
    char *repeated = malloc(length * (size_t)count + 1);

    if (repeated == NULL) {
        abort();
    }
    for (int i = 0; i < count; i++) {
        memcpy(repeated + length * (size_t)i, text, length);
    }
    repeated[length * (size_t)count] = 0;
    return repeated;
}

static char *
make_payload(int64_t run_ms, const char *answer)
{
    json_t *program = json_pack("{s:I, s:s}", "run_ms", (json_int_t)run_ms,
                                "answer", answer);
    char *payload = json_dumps(program, JSON_COMPACT);

    json_decref(program);
    if (payload == NULL) {
        abort();
    }
    return payload;
}

static bool
one_in(rng_t *rng, int64_t count)
{
    return FvRng_Between(rng, 1, count) == 1;
}

static int
random_host(chaos_t *chaos)
{
    return (int)FvRng_Between(&chaos->scenario->rng, 0,
                              chaos->scenario->cluster.host_count - 1);
}

static const job_kind_t *
random_kind(rng_t *rng)
{
    int64_t percent = FvRng_Between(rng, 1, 100);
    const job_kind_t *kind = job_kinds;

    while (percent > kind->share_percent) {
        percent -= kind->share_percent;
        kind++;
    }
    return kind;
}

static chaos_job_t *
add_job(chaos_t *chaos, const char *member, const char *workload,
        const char *key)
{
    chaos_job_t *job = &chaos->jobs[chaos->job_count++];

    job->chaos = chaos;
    job->caller = FvScenario_AddCaller(chaos->scenario, random_host(chaos),
                                       workload, key, 1);
    free((void *)job->caller->submit.payload);
    job->caller->submit.payload = NULL;
    job->caller->submit.member = member;
    job->caller->submit.raw = one_in(&chaos->scenario->rng, 3);
    return job;
}

/* A caller with a short timeout abandons the host that handles its job and
 * retries the same key at another host. */
static void
plan_caller_behavior(chaos_job_t *job, int64_t start_delay_ms)
{
    chaos_t *chaos = job->chaos;
    rng_t *rng = &chaos->scenario->rng;

    job->start_delay_ms = start_delay_ms;
    job->caller->timeout_ms = chaos->jobs_deadline_ms - start_delay_ms;
    if (one_in(rng, 4)) {
        job->caller->attempt_timeout_ms = FvRng_Between(rng, 50, 800);
    }
    if (one_in(rng, 8)) {
        job->cancel_after_ms = start_delay_ms + FvRng_Between(rng, 20, 1500);
        job->cancel_host = random_host(chaos);
    }
}

static void
plan_job(chaos_t *chaos, int number, int64_t start_delay_ms)
{
    rng_t *rng = &chaos->scenario->rng;
    const job_kind_t *kind = random_kind(rng);
    const topology_t *topology = &chaos->scenario->cluster.topology;
    const char *member = topology->members[FvRng_Between(rng, 0, 1)];
    int64_t run_ms = FvRng_Between(rng, kind->run_min_ms, kind->run_max_ms);
    int repeats = one_in(rng, 10) ? LONG_ANSWER_REPEATS : 1;
    int callers = one_in(rng, 4) ? 2 : 1;
    char key[Fv_KEY_SIZE];
    char *answer;

    snprintf(key, sizeof(key), "%s-%d", kind->workload, number);
    answer = repeat_text(key, repeats);
    for (int i = 0; i < callers && chaos->job_count < CHAOS_JOBS_MAX; i++) {
        chaos_job_t *job = add_job(chaos, member, kind->workload, key);

        job->caller->submit.payload = make_payload(run_ms, answer);
        job->answer = repeat_text(answer, kind->tasks);
        plan_caller_behavior(job,
                             start_delay_ms + i * FvRng_Between(rng, 0, 300));
    }
    free(answer);
}

/**
 * FvChaos_PlanLoad - choose the jobs with claims and their callers
 * @chaos: the run; its faults must be planned
 */
void
FvChaos_PlanLoad(chaos_t *chaos)
{
    int number = 0;

    for (int64_t at_ms = 0; at_ms < chaos->load_ms; at_ms += JOB_INTERVAL_MS) {
        plan_job(chaos, number++,
                 at_ms + FvRng_Between(&chaos->scenario->rng, 0, 100));
    }
}

static bool
is_answer_correct(const chaos_job_t *job, const http_reply_t *reply)
{
    return reply->body_length == strlen(job->answer) &&
           memcmp(reply->body, job->answer, reply->body_length) == 0;
}

/* Any host must be able to return the answer of a finished job, so an error
 * is retried at the next host. */
static void
fetch_answer(chaos_job_t *job)
{
    chaos_t *chaos = job->chaos;
    cluster_t *cluster = &chaos->scenario->cluster;
    const caller_t *caller = job->caller;
    int host = caller->host;
    http_reply_t reply;
    int status;

    do {
        FvApi_GetAnswer(cluster, host, caller->submit.member, caller->key,
                        &reply);
        status = reply.status;
        if (status == 200 && !is_answer_correct(job, &reply)) {
            FvChaos_Fail(chaos,
                         "the answer of %s has %zu instead of %zu bytes",
                         caller->key, reply.body_length, strlen(job->answer));
        }
        FvHttp_FreeReply(&reply);
        if (status != 200) {
            host = (host + 1) % cluster->host_count;
            FvFake_SleepMs(ANSWER_RETRY_MS);
        }
    } while (status != 200 &&
             FvChaos_ElapsedMs(chaos) < chaos->jobs_deadline_ms);
    if (status != 200) {
        FvChaos_Fail(chaos, "the answer of %s was not found: status %d",
                     caller->key, status);
    }
}

static void *
run_job(void *context)
{
    chaos_job_t *job = context;
    caller_t *caller = job->caller;
    const job_reply_t *reply = &caller->reply;

    sleep_until(job->chaos, job->start_delay_ms);
    FvCaller_Run(caller);
    if (strcmp(reply->outcome, "done") != 0) {
        return NULL;
    }
    /* Any other status means that the answer is currently not available. */
    if (caller->submit.raw && reply->status == 200 &&
        reply->http.outcome[0] != 0) {
        if (!is_answer_correct(job, &reply->http)) {
            FvChaos_Fail(job->chaos,
                         "%s was reported done with %zu instead of %zu bytes",
                         caller->key, reply->http.body_length,
                         strlen(job->answer));
        }
        return NULL;
    }
    fetch_answer(job);
    return NULL;
}

static void
cancel_at(chaos_job_t *job, int host)
{
    const caller_t *caller = job->caller;
    job_reply_t reply;

    FvApi_Cancel(&job->chaos->scenario->cluster, host, caller->submit.member,
                 caller->key, &reply);
    FvApi_FreeJobReply(&reply);
}

static void *
run_cancel(void *context)
{
    chaos_job_t *job = context;

    sleep_until(job->chaos, job->cancel_after_ms);
    cancel_at(job, job->cancel_host);
    return NULL;
}

static void *
run_burst_cancel(void *context)
{
    cancel_burst_call_t *cancel = context;

    cancel_at(cancel->job, cancel->host);
    return NULL;
}

/**
 * FvChaos_StartCancelBurst - cancel the most recent jobs all at once
 * @chaos: the run
 * @first_host: gets the first request; the other hosts follow in turn
 */
void
FvChaos_StartCancelBurst(chaos_t *chaos, int first_host)
{
    int64_t now_ms = FvChaos_ElapsedMs(chaos);

    for (int i = 0; i < chaos->job_count; i++) {
        chaos_job_t *job = &chaos->jobs[i];
        cancel_burst_call_t *cancel =
            &chaos->cancel_burst[chaos->cancel_burst_count];

        if (chaos->cancel_burst_count == CHAOS_CANCEL_BURST_MAX ||
            job->start_delay_ms > now_ms ||
            job->start_delay_ms < now_ms - CANCEL_BURST_WINDOW_MS) {
            continue;
        }
        cancel->job = job;
        cancel->host = (first_host + chaos->cancel_burst_count++) %
                       chaos->scenario->cluster.host_count;
        FvThread_Start(&cancel->thread, run_burst_cancel, cancel);
    }
}

static void
check_lookup_reply(chaos_lookup_thread_t *thread, const char *answer,
                   const job_reply_t *reply)
{
    chaos_lookup_t *lookup = &thread->lookups[thread->count];

    if (strcmp(reply->outcome, "done") == 0) {
        thread->done++;
        if (reply->http.body_length != strlen(answer) ||
            memcmp(reply->http.body, answer, strlen(answer)) != 0) {
            FvChaos_Fail(thread->chaos, "lookup %s got a wrong answer",
                         lookup->key);
        }
    }
    lookup->not_run = strcmp(reply->outcome, "not_run") == 0;
    thread->not_run += lookup->not_run;
}

static void
run_lookup(chaos_lookup_thread_t *thread, int host)
{
    chaos_t *chaos = thread->chaos;
    chaos_lookup_t *lookup = &thread->lookups[thread->count];
    const topology_t *topology = &chaos->scenario->cluster.topology;
    submit_t submit = {.member = topology->members[thread->index % 2],
                       .key = lookup->key,
                       .workload = "lookup",
                       .deadline_ms = LOOKUP_TIMEOUT_MS / 2,
                       .wait_ms = LOOKUP_TIMEOUT_MS,
                       .timeout_ms = LOOKUP_TIMEOUT_MS,
                       .raw = true};
    job_reply_t reply;

    snprintf(lookup->key, sizeof(lookup->key), "lookup-%d-%d", thread->index,
             thread->count);
    submit.payload = make_payload(5, lookup->key);
    FvApi_Submit(&chaos->scenario->cluster, host, &submit, &reply);
    check_lookup_reply(thread, lookup->key, &reply);
    FvApi_FreeJobReply(&reply);
    free((void *)submit.payload);
}

static void *
run_lookups(void *context)
{
    chaos_lookup_thread_t *thread = context;
    chaos_t *chaos = thread->chaos;
    int host = thread->index;

    while (!atomic_load(&chaos->stop_load) &&
           thread->count < CHAOS_LOOKUPS_MAX) {
        host = (host + 1) % chaos->scenario->cluster.host_count;
        run_lookup(thread, host);
        thread->count++;
        FvFake_SleepMs(LOOKUP_PAUSE_MS);
    }
    return NULL;
}

/* Starts each caller's thread shortly before its first call. Starting all of
 * them with the load would need several hundred threads at once. */
static void *
run_job_starter(void *context)
{
    chaos_t *chaos = context;

    for (int i = 0; i < chaos->job_count; i++) {
        chaos_job_t *job = &chaos->jobs[i];

        sleep_until(chaos, job->start_delay_ms - THREAD_START_LEAD_MS);
        FvThread_Start(&job->caller->thread, run_job, job);
        if (job->cancel_after_ms > 0) {
            FvThread_Start(&job->cancel_thread, run_cancel, job);
        }
    }
    return NULL;
}

/**
 * FvChaos_StartLoad - start all callers
 * @chaos: the run; its load must be planned
 */
void
FvChaos_StartLoad(chaos_t *chaos)
{
    chaos->began_ms = FvClock_NowMs();
    FvThread_Start(&chaos->job_starter, run_job_starter, chaos);
    for (int i = 0; i < CHAOS_LOOKUP_THREADS; i++) {
        chaos_lookup_thread_t *thread = &chaos->lookups[i];

        thread->chaos = chaos;
        thread->index = i;
        thread->lookups = calloc(CHAOS_LOOKUPS_MAX, sizeof(chaos_lookup_t));
        if (thread->lookups == NULL) {
            abort();
        }
        FvThread_Start(&thread->thread, run_lookups, thread);
    }
}

/**
 * FvChaos_JoinLoad - wait for all callers
 * @chaos: the run
 */
void
FvChaos_JoinLoad(chaos_t *chaos)
{
    atomic_store(&chaos->stop_load, true);
    pthread_join(chaos->job_starter, NULL);
    for (int i = 0; i < CHAOS_LOOKUP_THREADS; i++) {
        pthread_join(chaos->lookups[i].thread, NULL);
    }
    for (int i = 0; i < chaos->cancel_burst_count; i++) {
        pthread_join(chaos->cancel_burst[i].thread, NULL);
    }
    for (int i = 0; i < chaos->job_count; i++) {
        if (chaos->jobs[i].cancel_after_ms > 0) {
            pthread_join(chaos->jobs[i].cancel_thread, NULL);
        }
        FvCaller_Join(chaos->jobs[i].caller);
    }
}

/**
 * FvChaos_FreeLoad - free the memory of the planned load
 * @chaos: the run
 */
void
FvChaos_FreeLoad(chaos_t *chaos)
{
    for (int i = 0; i < chaos->job_count; i++) {
        free(chaos->jobs[i].answer);
    }
    for (int i = 0; i < CHAOS_LOOKUP_THREADS; i++) {
        free(chaos->lookups[i].lookups);
    }
}

/* Proposes a change of the member's own answers and has all members approve
 * it. */
static void
change_answers(chaos_operator_t *operator, int weight)
{
    cluster_t *cluster = &operator->chaos->scenario->cluster;
    const topology_t *topology = &cluster->topology;
    const char *member = topology->members[operator->index];
    char *text =
        FvSample_NewAnswers(topology->members, topology->member_count);
    json_t *all_answers = json_loads(text, 0, NULL);
    json_t *own_answers = json_deep_copy(json_object_get(all_answers, member));
    proposal_reply_t proposal;

    free(text);
    json_decref(all_answers);
    json_object_set_new(own_answers, "weight", json_integer(weight));
    if (FvApi_PutAnswers(cluster, operator->host, member, own_answers) !=
            200 ||
        !FvApi_GenerateProposal(cluster, operator->host, member, &proposal)) {
        return;
    }
    for (size_t i = 0; i < topology->member_count; i++) {
        if (FvApi_Vote(cluster, operator->host, topology->members[i],
                       &proposal, true) != 200) {
            return;
        }
    }
    operator->approved_count++;
}

static void *
run_operator(void *context)
{
    chaos_operator_t *operator= context;

    for (int i = 0; !atomic_load(&operator->chaos->stop_operators); i++) {
        change_answers(operator, 2 + i % 4);
        FvFake_SleepMs(100);
    }
    return NULL;
}

/**
 * FvChaos_StartOperators - start one operator per member that makes proposals
 * @chaos: the run
 * @first_host: host of the first operator; the second uses the next host
 */
void
FvChaos_StartOperators(chaos_t *chaos, int first_host)
{
    atomic_store(&chaos->stop_operators, false);
    for (int i = 0; i < CHAOS_OPERATORS; i++) {
        chaos_operator_t *operator= & chaos->operators[i];

        operator->chaos = chaos;
        operator->index = i;
        operator->host =(first_host + i) % chaos->scenario->cluster.host_count;
        FvThread_Start(&operator->thread, run_operator, operator);
    }
}

/**
 * FvChaos_JoinOperators - stop the operators and wait for them
 * @chaos: the run
 */
void
FvChaos_JoinOperators(chaos_t *chaos)
{
    atomic_store(&chaos->stop_operators, true);
    for (int i = 0; i < CHAOS_OPERATORS; i++) {
        pthread_join(chaos->operators[i].thread, NULL);
    }
}
