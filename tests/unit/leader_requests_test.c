/*
 * What a leader tells callers, by what it knows about its own leadership:
 * while it certainly leads, after its lease has expired, after a suspension,
 * and once the store has shown that it leads.
 */

#include "cell-leader.h"
#include "fake_kv.h"

#include <limits.h>
#include <stdlib.h>

#define UNKNOWN "5c0e7a21d94b0001"
#define KNOWN "5c0e7a21d94b0002"
#define ENDED "5c0e7a21d94b0003"
#define OTHER_UNKNOWN "5c0e7a21d94b0004"
#define QUEUE "slow"
#define BODY                                                                  \
    "{\"taskSpec\":\"\",\"steps\":[{\"count\":1,\"cpu\":100,\"memMb\":10,"    \
    "\"estimatedMs\":100}]}"
#define RENEWAL 7 /* number of the renewal that proves the lease */
#define WRITE_MS 50

static struct event_base *base;
static fv_leader_t leader;
static bool may_send_orders;
static int64_t lease_left_ms;
static uint32_t proofs;
static uint32_t deposed;
static uint32_t answers;
static fv_reply_t answer; /* the latest one */
static char answer_text[64];

static fv_cell_queue_t queue = {
    .name = QUEUE, .service = "app", .attempts_max = 3};
static bool has_config = true;
static fv_cell_config_t config = {.queue_count = 1, .queues = &queue};

static bool
on_may_send_orders(void *context, int64_t now_ms)
{
    (void)context;
    (void)now_ms;
    return may_send_orders;
}

static int64_t
on_lease_left_ms(void *context, int64_t now_ms)
{
    (void)context;
    (void)now_ms;
    return lease_left_ms;
}

static uint64_t
on_prove_lease(void *context)
{
    (void)context;
    proofs++;
    return RENEWAL;
}

static const fv_cell_config_t *
on_config(void *context)
{
    (void)context;
    return has_config ? &config : NULL;
}

static void
on_lost(void *context)
{
    (void)context;
    deposed++;
}

static void
on_event(evutil_socket_t fd, short what, void *context)
{
    (void)fd;
    (void)what;
    (void)context;
}

static const fv_sched_ops_t ops = {.decode = FvPlatform_DecodeJobSpec,
                                   .record = FvLeaderRecord_Write};
static const fv_entry_settings_t settings = {
    .host = "akl-1", .keep_ended_s = 120, .store_value_max_bytes = 1048576};

static void
on_reply(void *context, const fv_cell_message_t *reply)
{
    (void)context;
    answers++;
    answer = (fv_reply_t)reply->number;
    FvText_Copy(answer_text, sizeof(answer_text), reply->name);
}

/* Sends a request of a customer, or of none. Returns its answer, 0 when there
 * is none yet. */
static fv_reply_t
request_of(const char *customer, fv_verb_t verb, const char *job)
{
    answers = 0;
    FvLeader_HandleRequest(
        &leader,
        &(fv_cell_message_t){.kind = Fv_CELL_MESSAGE_REQUEST,
                             .id = 1,
                             .number = verb,
                             .name = QUEUE,
                             .key = job,
                             .customer = customer,
                             .body = verb == Fv_VERB_SUBMIT ? BODY : "",
                             .body_length =
                                 verb == Fv_VERB_SUBMIT ? strlen(BODY) : 0},
        on_reply, &leader);
    return answers > 0 ? answer : (fv_reply_t)0;
}

static fv_reply_t
request(fv_verb_t verb, const char *job)
{
    return request_of(NULL, verb, job);
}

/* Has the store take what waits to be written. */
static void
write_records(void)
{
    fake_kv_run_loop(base, WRITE_MS);
    if (fake_kv_count(FAKE_KV_GRANT) > 0 &&
        !fake_kv_latest(FAKE_KV_GRANT)->answered) {
        fake_kv_answer(
            fake_kv_latest(FAKE_KV_GRANT),
            (fv_kv_result_t){.error = Fv_KV_OK, .lease = 3, .ttl_ms = 600000});
        fake_kv_run_loop(base, WRITE_MS);
    }
    fake_kv_answer(fake_kv_latest(FAKE_KV_TXN),
                   (fv_kv_result_t){.error = Fv_KV_OK, .revision = 1000});
}

/* Opens a leader that has accepted one job and knows of one that has ended. */
static void
open_leader(void)
{
    static const int64_t revisions[Fv_RECORD_STREAMS] = {11};

    fake_kv_reset();
    base = event_base_new();
    may_send_orders = true;
    lease_left_ms = 800;
    proofs = 0;
    deposed = 0;
    leader = (fv_leader_t){
        .base = base,
        .settings = &settings,
        .events = {.may_send_orders = on_may_send_orders,
                   .lease_left_ms = on_lease_left_ms,
                   .prove_lease = on_prove_lease,
                   .config = on_config},
        .epoch = 900,
        .serving = true,
    };
    FvSched_Init(&leader.sched, &ops,
                 &(fv_sched_timeouts_t){.lease_ms = 4500, .stop_max_ms = 900});
    leader.pass_timer = event_new(base, -1, 0, on_event, NULL);
    leader.records = FvRecordWriter_New(
        base, NULL,
        &(fv_records_owner_t){
            .epoch = 900, .retention_ms = 180000, .lost = on_lost},
        revisions);
    FvLeaderRecord_RememberEnded(&leader, ENDED, "completed",
                                 &(fv_job_owner_t){0});
    CU_ASSERT_EQUAL(request(Fv_VERB_SUBMIT, KNOWN), 0);
    write_records();
    CU_ASSERT_EQUAL(answer, Fv_REPLY_ACCEPTED);
}

static void
close_leader(void)
{
    fv_ended_job_t *ended;
    fv_ended_job_t *next;

    FvLeader_DropReplies(&leader, NULL);
    for (uint32_t i = 0; i < fake_kv.count; i++) {
        if (!fake_kv.calls[i].answered) {
            fake_kv_answer(&fake_kv.calls[i],
                           (fv_kv_result_t){.error = Fv_KV_UNAVAILABLE});
        }
    }
    FvRecordWriter_Free(leader.records);
    FvSched_Clear(&leader.sched);
    for (ended = leader.ended; ended != NULL; ended = next) {
        next = ended->hh.next;
        /* uthash unlinks the entry, which the analyzer does not see. */
        /* NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
        HASH_DEL(leader.ended, ended);
        free(ended);
    }
    event_free(leader.pass_timer);
    event_base_free(base);
}

/* What stands in the store is told by any host that has read it. */
static void
check_recorded_answers(void)
{
    CU_ASSERT_EQUAL(request(Fv_VERB_SUBMIT, KNOWN), Fv_REPLY_ACCEPTED);
    CU_ASSERT_EQUAL(request(Fv_VERB_SUBMIT, ENDED), Fv_REPLY_ACCEPTED);
    CU_ASSERT_EQUAL(request(Fv_VERB_CANCEL, ENDED), Fv_REPLY_STATE);
    CU_ASSERT_EQUAL(request(Fv_VERB_STATE, ENDED), Fv_REPLY_STATE);
    CU_ASSERT_STRING_EQUAL(answer_text, "completed");
}

static void
test_certain_leader(void)
{
    open_leader();
    check_recorded_answers();
    CU_ASSERT_EQUAL(request(Fv_VERB_STATE, KNOWN), Fv_REPLY_STATE);
    CU_ASSERT_STRING_EQUAL(answer_text, "queued");
    CU_ASSERT_EQUAL(request(Fv_VERB_WAITING, ""), Fv_REPLY_COUNT);
    CU_ASSERT_EQUAL(proofs, 0);
    close_leader();
}

/* The process was suspended: its successor may have ended the known job,
 * accepted the unknown one and refused nothing. */
static void
test_suspended_leader(void)
{
    open_leader();
    may_send_orders = false;
    check_recorded_answers();
    CU_ASSERT_EQUAL(request(Fv_VERB_STATE, KNOWN), Fv_REPLY_NOT_READY);
    CU_ASSERT_EQUAL(request(Fv_VERB_CANCEL, KNOWN), Fv_REPLY_NOT_READY);
    CU_ASSERT_EQUAL(request(Fv_VERB_WAITING, ""), Fv_REPLY_NOT_READY);
    CU_ASSERT_EQUAL(request(Fv_VERB_STATE, UNKNOWN), Fv_REPLY_NOT_READY);
    CU_ASSERT_EQUAL(request(Fv_VERB_CANCEL, UNKNOWN), Fv_REPLY_NOT_READY);
    CU_ASSERT_EQUAL(request(Fv_VERB_SUBMIT, UNKNOWN), Fv_REPLY_NOT_READY);
    close_leader();
}

/* The leader is cut off from the store and gives orders for known work yet. */
static void
test_leader_beyond_its_lease(void)
{
    open_leader();
    lease_left_ms = -2000;
    check_recorded_answers();
    CU_ASSERT_EQUAL(request(Fv_VERB_STATE, KNOWN), Fv_REPLY_STATE);
    CU_ASSERT_EQUAL(request(Fv_VERB_WAITING, ""), Fv_REPLY_NOT_READY);
    CU_ASSERT_EQUAL(request(Fv_VERB_CANCEL, KNOWN), 0);
    CU_ASSERT_EQUAL(request(Fv_VERB_CANCEL, OTHER_UNKNOWN), 0);
    CU_ASSERT_EQUAL(request(Fv_VERB_STATE, UNKNOWN), 0);
    FvLeaderRequest_ExpireQuestions(&leader, FvClock_NowMs() + 1000);
    CU_ASSERT_EQUAL(answers, 1);
    CU_ASSERT_EQUAL(answer, Fv_REPLY_NOT_READY);
    close_leader();
}

/* The renewal that was under way when the question came does not count. */
static void
test_unknown_job_needs_a_later_renewal(void)
{
    open_leader();
    CU_ASSERT_EQUAL(request(Fv_VERB_STATE, UNKNOWN), 0);
    CU_ASSERT_EQUAL(proofs, 1);
    FvLeader_LeaseProved(&leader, RENEWAL - 1, 0);
    CU_ASSERT_EQUAL(answers, 0);
    FvLeader_LeaseProved(&leader, RENEWAL, 0);
    CU_ASSERT_EQUAL(answers, 1);
    CU_ASSERT_EQUAL(answer, Fv_REPLY_GONE);
    FvLeader_LeaseProved(&leader, RENEWAL + 1, 0);
    CU_ASSERT_EQUAL(answers, 1);
    close_leader();
}

/* Leases of lost workers expire by the confirmed lead alone. */
static void
test_renewal_confirms_the_lead(void)
{
    open_leader();
    FvLeader_LeaseProved(&leader, RENEWAL, 77);
    CU_ASSERT_EQUAL(leader.sched.lead_confirmed_ms, 77);
    FvLeader_LeaseProved(&leader, RENEWAL + 1, 76);
    CU_ASSERT_EQUAL(leader.sched.lead_confirmed_ms, 77);
    close_leader();
}

/* The job is submitted while a question about it waits for the renewal. */
static void
test_job_accepted_before_the_renewal(void)
{
    open_leader();
    CU_ASSERT_EQUAL(request(Fv_VERB_STATE, UNKNOWN), 0);
    CU_ASSERT_EQUAL(request(Fv_VERB_SUBMIT, UNKNOWN), 0);
    write_records();
    CU_ASSERT_EQUAL(answer, Fv_REPLY_ACCEPTED);
    FvLeader_LeaseProved(&leader, RENEWAL, 0);
    CU_ASSERT_EQUAL(answer, Fv_REPLY_STATE);
    close_leader();
}

static void
test_unknown_job_is_barred_before_the_answer(void)
{
    open_leader();
    CU_ASSERT_EQUAL(request(Fv_VERB_CANCEL, UNKNOWN), 0);
    CU_ASSERT_EQUAL(request(Fv_VERB_SUBMIT, UNKNOWN), Fv_REPLY_NOT_READY);
    answers = 0;
    write_records();
    CU_ASSERT_EQUAL(answers, 1);
    CU_ASSERT_EQUAL(answer, Fv_REPLY_GONE);
    CU_ASSERT_STRING_EQUAL(fake_kv_latest(FAKE_KV_TXN)->puts[0].key,
                           Fv_KEY_ENDED UNKNOWN);
    may_send_orders = false;
    CU_ASSERT_EQUAL(request(Fv_VERB_SUBMIT, UNKNOWN), Fv_REPLY_REFUSED);
    CU_ASSERT_EQUAL(request(Fv_VERB_STATE, UNKNOWN), Fv_REPLY_GONE);
    CU_ASSERT_EQUAL(request(Fv_VERB_CANCEL, UNKNOWN), Fv_REPLY_GONE);
    close_leader();
}

/* Guards against callers that fill a leader's memory with questions about jobs
 * that nobody knows. */
static void
test_questions_are_bounded(void)
{
    uint32_t held = 0;

    open_leader();
    while (held < 100000 && request(Fv_VERB_STATE, UNKNOWN) == 0) {
        held++;
    }
    CU_ASSERT_EQUAL(held, 8192);
    CU_ASSERT_EQUAL(answer, Fv_REPLY_NOT_READY);
    FvLeader_LeaseProved(&leader, RENEWAL, 0);
    CU_ASSERT_EQUAL(answer, Fv_REPLY_GONE);
    CU_ASSERT_EQUAL(request(Fv_VERB_STATE, UNKNOWN), 0);
    close_leader();
}

/* Guards against cancellations of jobs that nobody knows which fill the memory
 * of this and all later leaders. */
static void
test_barred_jobs_are_bounded(void)
{
    char job[Fv_JOB_ID_SIZE];
    uint32_t barred = 0;

    open_leader();
    leader.sched.job_memory_max_bytes = 100000;
    while (barred < 1000) {
        snprintf(job, sizeof(job), "%016x", barred + 1);
        if (request(Fv_VERB_CANCEL, job) != 0) {
            break;
        }
        barred++;
    }
    CU_ASSERT(barred > 20 && barred < 200);
    CU_ASSERT_EQUAL(answer, Fv_REPLY_NOT_READY);
    close_leader();
}

/* Guards against repeated requests for one job that fill a leader's memory
 * while its record is written. */
static void
test_waiting_requests_are_bounded(void)
{
    open_leader();
    for (int i = 0; i < 1000; i++) {
        CU_ASSERT_EQUAL(request(Fv_VERB_CANCEL, UNKNOWN), 0);
    }
    answers = 0;
    write_records();
    CU_ASSERT_EQUAL(answers, 256);
    CU_ASSERT_EQUAL(answer, Fv_REPLY_GONE);
    close_leader();
}

/* The store refuses the record, since another host leads. */
static void
test_deposed_leader_acknowledges_no_cancellation(void)
{
    static const char *const jobs[] = {UNKNOWN, KNOWN};

    for (int i = 0; i < 2; i++) {
        open_leader();
        CU_ASSERT_EQUAL(request(Fv_VERB_CANCEL, jobs[i]), 0);
        fake_kv_run_loop(base, WRITE_MS);
        fake_kv_answer(
            fake_kv_latest(FAKE_KV_GRANT),
            (fv_kv_result_t){.error = Fv_KV_OK, .lease = 3, .ttl_ms = 600000});
        fake_kv_run_loop(base, WRITE_MS);
        fake_kv_answer_item(fake_kv_latest(FAKE_KV_TXN), Fv_KV_CONFLICT,
                            Fv_KEY_LEADER, "akl-2", 1200);
        CU_ASSERT_EQUAL(answers, 0);
        CU_ASSERT_EQUAL(deposed, 1);
        close_leader();
    }
}

/* A cancellation that was never sent to the store is given back, and the job
 * may be submitted. */
static void
test_withdrawn_cancellation(void)
{
    open_leader();
    CU_ASSERT_EQUAL(request(Fv_VERB_CANCEL, UNKNOWN), 0);
    FvRecordWriter_WithdrawUnsent(leader.records);
    CU_ASSERT_EQUAL(answers, 1);
    CU_ASSERT_EQUAL(answer, Fv_REPLY_NOT_READY);
    CU_ASSERT_EQUAL(request(Fv_VERB_SUBMIT, UNKNOWN), 0);
    close_leader();
}

static void
test_replies_to_a_lost_host_are_dropped(void)
{
    open_leader();
    CU_ASSERT_EQUAL(request(Fv_VERB_STATE, UNKNOWN), 0);
    CU_ASSERT_EQUAL(request(Fv_VERB_CANCEL, OTHER_UNKNOWN), 0);
    FvLeader_DropReplies(&leader, &leader);
    FvLeader_LeaseProved(&leader, RENEWAL, 0);
    write_records();
    CU_ASSERT_EQUAL(answers, 0);
    CU_ASSERT_EQUAL(request(Fv_VERB_STATE, UNKNOWN), 0);
    FvLeader_LeaseProved(&leader, RENEWAL, 0);
    CU_ASSERT_EQUAL(answers, 1);
    close_leader();
}

/* The accepted jobs take all memory that the smallest host has for them. */
static void
test_memory_for_jobs_is_used_up(void)
{
    open_leader();
    leader.sched.job_memory_max_bytes =
        FvSched_JobMemoryBytes(&leader.sched) * 2 - 1;
    CU_ASSERT_EQUAL(request(Fv_VERB_SUBMIT, UNKNOWN), Fv_REPLY_REFUSED);
    CU_ASSERT(strtol(answer_text, NULL, 10) > 0); /* Retry-After */
    CU_ASSERT_EQUAL(request(Fv_VERB_STATE, UNKNOWN), 0);
    check_recorded_answers();
    /* The known job ends. */
    FvSched_CancelJob(&leader.sched, FvSched_FindJob(&leader.sched, KNOWN),
                      FvClock_NowMs());
    write_records();
    CU_ASSERT_EQUAL(request(Fv_VERB_SUBMIT, UNKNOWN), 0);
    write_records();
    CU_ASSERT_EQUAL(answer, Fv_REPLY_ACCEPTED);
    /* It can never be accepted. */
    leader.sched.job_memory_max_bytes = 100;
    CU_ASSERT_EQUAL(request(Fv_VERB_SUBMIT, OTHER_UNKNOWN),
                    Fv_REPLY_MALFORMED);
    close_leader();
}

/* Submits UNKNOWN for a customer of a cell with customers. */
static void
open_leader_with_customers(void)
{
    open_leader();
    config.has_customers = true;
    CU_ASSERT_EQUAL(request_of("east", Fv_VERB_SUBMIT, UNKNOWN), 0);
    CU_ASSERT_EQUAL(request_of("west", Fv_VERB_STATE, UNKNOWN),
                    Fv_REPLY_NOT_READY);
    write_records();
    CU_ASSERT_EQUAL(answer, Fv_REPLY_ACCEPTED);
}

static void
close_leader_with_customers(void)
{
    config.has_customers = false;
    config.customer_count = 0;
    queue.is_public = false;
    close_leader();
}

static void
expect_owner_only(void)
{
    static const char *const others[] = {NULL, "", "west"};

    for (size_t i = 0; i < sizeof(others) / sizeof(others[0]); i++) {
        CU_ASSERT_EQUAL(request_of(others[i], Fv_VERB_STATE, UNKNOWN),
                        Fv_REPLY_FORBIDDEN);
        CU_ASSERT_EQUAL(request_of(others[i], Fv_VERB_CANCEL, UNKNOWN),
                        Fv_REPLY_FORBIDDEN);
        CU_ASSERT_EQUAL(request_of(others[i], Fv_VERB_SUBMIT, UNKNOWN),
                        Fv_REPLY_FORBIDDEN);
    }
    CU_ASSERT_EQUAL(request_of("east", Fv_VERB_SUBMIT, UNKNOWN),
                    Fv_REPLY_ACCEPTED);
    CU_ASSERT_EQUAL(request_of("east", Fv_VERB_STATE, UNKNOWN),
                    Fv_REPLY_STATE);
}

/* Also once the job has ended, and by the record of its end. */
static void
test_job_of_another_customer(void)
{
    fv_job_owner_t owner = {.customer = "east", .queue = QUEUE};
    fv_buffer_t record = {0};
    const char *state;

    open_leader_with_customers();
    expect_owner_only();
    /* It was submitted while the cell had no customers. */
    CU_ASSERT_EQUAL(request_of("west", Fv_VERB_STATE, KNOWN), Fv_REPLY_STATE);
    CU_ASSERT_EQUAL(request_of("east", Fv_VERB_CANCEL, UNKNOWN), 0);
    write_records();
    CU_ASSERT_EQUAL(answer, Fv_REPLY_STATE);
    expect_owner_only();
    FvLeaderRecord_EncodeEnded("cancelled", &owner, &record);
    CU_ASSERT_STRING_EQUAL((const char *)record.data, "cancelled");
    owner = (fv_job_owner_t){0};
    CU_ASSERT_TRUE(FvLeaderRecord_DecodeEnded(&record, &state, &owner));
    FvLeaderRecord_RememberEnded(&leader, UNKNOWN, state, &owner);
    expect_owner_only();
    FvBuffer_Clear(&record);
    close_leader_with_customers();
}

/* The job's route, or the whole cell, is opened to all later. */
static void
test_job_of_a_route_made_public(void)
{
    open_leader_with_customers();
    queue.is_public = true;
    CU_ASSERT_EQUAL(request_of("", Fv_VERB_STATE, UNKNOWN), Fv_REPLY_STATE);
    queue.is_public = false;
    config.has_customers = false;
    CU_ASSERT_EQUAL(request_of("", Fv_VERB_STATE, UNKNOWN), Fv_REPLY_STATE);
    close_leader_with_customers();
}

static void
test_question_of_another_customer(void)
{
    open_leader();
    config.has_customers = true;
    CU_ASSERT_EQUAL(request_of("west", Fv_VERB_STATE, UNKNOWN), 0);
    CU_ASSERT_EQUAL(request_of("east", Fv_VERB_SUBMIT, UNKNOWN), 0);
    write_records();
    FvLeader_LeaseProved(&leader, RENEWAL, 0);
    CU_ASSERT_EQUAL(answer, Fv_REPLY_FORBIDDEN);
    close_leader_with_customers();
}

/* Its configuration may have the key of the call that others have removed. */
static void
test_suspended_leader_with_customers(void)
{
    open_leader_with_customers();
    may_send_orders = false;
    CU_ASSERT_EQUAL(request_of("east", Fv_VERB_SUBMIT, UNKNOWN),
                    Fv_REPLY_NOT_READY);
    CU_ASSERT_EQUAL(request_of("west", Fv_VERB_STATE, ENDED),
                    Fv_REPLY_NOT_READY);
    close_leader_with_customers();
}

static void
test_odd_records_of_ended_jobs(void)
{
    static const struct {
        const char *value;
        size_t length;
        const char *customer;
        const char *queue;
        bool good;
    } records[] = {
        {"failed", 6, "", "", true},
        {"failed\0east\0q", 13, "east", "q", true},
        {"failed\0east\0q\0more", 18, "east", "q", true},
        {"failed\0east", 11, "east", "", true},
        {"failed\0", 7, "", "", true},
        {"failed\0"
         "0123456789012345678901234567890123456789012345678901234567890123456"
         "789\0q",
         79, "", "", false},
    };

    for (size_t i = 0; i < sizeof(records) / sizeof(records[0]); i++) {
        fv_buffer_t value = {0};
        fv_job_owner_t owner;
        const char *state;

        FvBuffer_Append(&value, records[i].value, records[i].length);
        CU_ASSERT_EQUAL(FvLeaderRecord_DecodeEnded(&value, &state, &owner),
                        records[i].good);
        CU_ASSERT_STRING_EQUAL(state, "failed");
        CU_ASSERT_STRING_EQUAL(owner.customer, records[i].customer);
        CU_ASSERT_STRING_EQUAL(owner.queue, records[i].queue);
        FvBuffer_Clear(&value);
    }
}

static fv_cell_customer_t east = {.name = "east"};

/* Sets the rate and the cap of a customer, in a cell without workers. */
static void
set_customer(double weight, int64_t cap_cpu_millis)
{
    east.weight = weight;
    east.job_rate = weight;
    east.cpu_millis_max = cap_cpu_millis;
    config.has_customers = true;
    config.customer_count = 1;
    config.customers = &east;
    config.version++;
}

/* A task above its customer's cap would wait for ever. */
static void
test_job_above_its_customers_cap(void)
{
    open_leader();
    set_customer(5, 99);
    CU_ASSERT_EQUAL(request_of("east", Fv_VERB_SUBMIT, UNKNOWN),
                    Fv_REPLY_REFUSED);
    CU_ASSERT(strtol(answer_text, NULL, 10) > 0);
    CU_ASSERT_PTR_NULL(FvSched_FindJob(&leader.sched, UNKNOWN));
    set_customer(5, 100);
    CU_ASSERT_EQUAL(request_of("east", Fv_VERB_SUBMIT, UNKNOWN), 0);
    write_records();
    close_leader_with_customers();
}

/* A host that was just started leads before it has a configuration. It has
 * read the jobs, and would start their tasks without regard to the caps. */
static void
test_leader_without_configuration(void)
{
    open_leader();
    has_config = false;
    CU_ASSERT_TRUE(FvLeader_ApplyCustomers(&leader));
    FvText_Copy(leader.sched.jobs->customer, Fv_NAME_SIZE, "east");
    FvSched_ReleaseStages(&leader.sched, leader.sched.jobs, 0, 0);
    CU_ASSERT_FALSE(FvLeader_ApplyCustomers(&leader));
    has_config = true;
    set_customer(5, 700);
    CU_ASSERT_TRUE(FvLeader_ApplyCustomers(&leader));
    CU_ASSERT_EQUAL(
        FvSched_FindCustomer(&leader.sched, "east")->cap.cpu_millis, 700);
    close_leader_with_customers();
}

/* Only the second job of one second is beyond the rate; those on a public
 * route have none. Callers that are refused at one time come back at different
 * times. */
static void
test_excess_in_a_full_cell(void)
{
    long least = LONG_MAX;
    long most = 0;

    open_leader();
    set_customer(1, 0);
    CU_ASSERT_EQUAL(request_of("east", Fv_VERB_SUBMIT, UNKNOWN), 0);
    for (int i = 0; i < 40; i++) {
        long retry_after_s;

        CU_ASSERT_EQUAL(request_of("east", Fv_VERB_SUBMIT, OTHER_UNKNOWN),
                        Fv_REPLY_EXCESS);
        retry_after_s = strtol(answer_text, NULL, 10);
        least = retry_after_s < least ? retry_after_s : least;
        most = retry_after_s > most ? retry_after_s : most;
    }
    CU_ASSERT(least >= 1 && most <= 10 && most - least >= 4);
    CU_ASSERT_PTR_NULL(FvSched_FindJob(&leader.sched, OTHER_UNKNOWN));
    queue.is_public = true;
    CU_ASSERT_EQUAL(request_of("", Fv_VERB_SUBMIT, OTHER_UNKNOWN), 0);
    write_records();
    close_leader_with_customers();
}

/* A new leader does not know the workers yet, and gets what came while nobody
 * led at one time. */
static void
test_excess_at_a_new_leader(void)
{
    open_leader();
    set_customer(1, 0);
    leader.sched.hold_inherited_tasks = true;
    CU_ASSERT_EQUAL(request_of("east", Fv_VERB_SUBMIT, UNKNOWN), 0);
    CU_ASSERT_EQUAL(request_of("east", Fv_VERB_SUBMIT, OTHER_UNKNOWN), 0);
    CU_ASSERT_TRUE(FvSched_FindJob(&leader.sched, OTHER_UNKNOWN)->excess);
    write_records();
    close_leader_with_customers();
}

int
main(void)
{
    static const test_case_t cases[] = {
        {"jobs are accepted that the next leader can't hold in memory",
         test_memory_for_jobs_is_used_up},
        {"tasks of lost workers never start again, since no renewal confirms "
         "the lead",
         test_renewal_confirms_the_lead},
        {"a leader within its lease asks the store before an answer",
         test_certain_leader},
        {"a suspended leader answers for its successor",
         test_suspended_leader},
        {"a leader beyond its lease answers for its successor",
         test_leader_beyond_its_lease},
        {"an unknown job is absent by a renewal sent before the question",
         test_unknown_job_needs_a_later_renewal},
        {"a job accepted while a question waits is reported as absent",
         test_job_accepted_before_the_renewal},
        {"a job is accepted after its cancellation was answered",
         test_unknown_job_is_barred_before_the_answer},
        {"questions about unknown jobs take all memory",
         test_questions_are_bounded},
        {"cancellations of unknown jobs take all memory",
         test_barred_jobs_are_bounded},
        {"requests for one job take all memory",
         test_waiting_requests_are_bounded},
        {"a deposed leader acknowledges a cancellation",
         test_deposed_leader_acknowledges_no_cancellation},
        {"a cancellation that was not recorded is acknowledged",
         test_withdrawn_cancellation},
        {"a reply to a lost host is kept or mixed up",
         test_replies_to_a_lost_host_are_dropped},
        {"a customer reads, cancels or takes over the job of another",
         test_job_of_another_customer},
        {"a job cannot be reached on a route that was made public",
         test_job_of_a_route_made_public},
        {"a question that waits tells of a job of another customer",
         test_question_of_another_customer},
        {"a suspended leader answers a call by a removed key",
         test_suspended_leader_with_customers},
        {"the record of an ended job loses its state by its owner",
         test_odd_records_of_ended_jobs},
        {"a job is accepted that its customer's cap never admits",
         test_job_above_its_customers_cap},
        {"a leader without a configuration starts tasks of customers",
         test_leader_without_configuration},
        {"excess is accepted in a full cell, or other jobs are refused",
         test_excess_in_a_full_cell},
        {"a new leader refuses jobs because it knows no workers",
         test_excess_at_a_new_leader},
    };

    return Fv_RUN_SUITE("leader_requests", cases);
}
